package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin/caller"
)

// faultsBySignal maps signals to the faults that they cause.
var faultsBySignal = map[syscall.Signal][]proof.Fault{syscall.SIGKILL: {proof.Kill}, syscall.SIGSTOP: {proof.Freeze}}

// The outcomes that entries state.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// A graceful stop of an entry, an agent and a control replica at the same time interrupts none
// of 200 open streams, even if another control replica is killed or frozen at that moment, so
// that the control replicas have no quorum.
func TestGracefulStopInterruptsNoStream(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"no other fault": 0, "killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) { testStopWithOpenStreams(t, signal) })
	}
}

func testStopWithOpenStreams(t *testing.T, signal syscall.Signal) {
	const streams, tokens = 200, 150
	proof.Cell{Promise: proof.GracefulShutdown, Faults: append([]proof.Fault{proof.Restart}, faultsBySignal[signal]...), Step: "streams open", Combined: true, SeparateProcesses: true,
		Guard: "the agent's and the entry's wait for calls in flight, each alone"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c := s.caller()
	var streaming atomic.Int64
	c.OnFirstByte = func() { streaming.Add(1) }
	results := make([]caller.Result, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			result, err := c.Chat(context.Background(), i, fmt.Sprintf("stream %d", i), tokens)
			results[i] = result
			if err != nil {
				t.Errorf("stream %d: %v", i, err)
			}
		})
	}
	eventually(t, "all streams begin", func() error {
		if n := streaming.Load(); n < streams {
			return fmt.Errorf("%d of %d", n, streams)
		}
		return nil
	})
	s.controlProcs[1].signal(signal)
	stopping := []*process{s.entryProcs[0], s.agentProcs[0], s.controlProcs[0]}
	for _, p := range stopping {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range stopping {
		is.Equal(p.stop(t), 0)
	}
	wg.Wait()
	complete := 0
	for i, result := range results {
		if result.Complete {
			complete++
		} else {
			t.Logf("stream %d: status %d, outcome %q, %d bytes", i, result.Status, result.Outcome, len(result.Body))
		}
	}
	is.Equal(complete, streams)
}

// Accepted intents survive SIGKILL of each control replica in turn, and the revision never
// decreases.
func TestKilledReplicasKeepConfiguration(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "between intents", SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	var last uint64
	for round := range 6 {
		victim := s.controlProcs[round%replicas]
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			victim.kill()
		}()
		name := fmt.Sprintf("branch-%d", round)
		revision := s.acceptIntent(t, &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}})
		is.True(revision > last)
		last = revision
		<-killed
		victim.run(t)
	}
	configuration := s.configuration(t)
	names := map[string]bool{}
	for _, w := range configuration.GetWorkspaces() {
		names[w.GetName()] = true
	}
	for round := range 6 {
		is.True(names[fmt.Sprintf("branch-%d", round)])
	}
	is.True(configuration.GetRevision() >= last)
}

// configuration reads the accepted configuration through a quorum.
func (s *site) configuration(t *testing.T) *fleetv1.Configuration {
	t.Helper()
	var configuration *fleetv1.Configuration
	s.callControl(t, "read the configuration", func(ctx context.Context, c controlv1.ControlClient) error {
		response, err := c.GetConfiguration(ctx, &controlv1.GetConfigurationRequest{})
		configuration = response.GetConfiguration()
		return err
	})
	return configuration
}

// A replica loses its disk and rejoins with an empty one. Right after the repair a second
// replica is lost. The accepted configuration must still be there, and new intents must be
// accepted.
func TestSecondLossAfterRepair(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "after the repair", Combined: true, SeparateProcesses: true}.Log(t)
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "call repeated after the repair", Combined: true, SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "endpoint set leaving before the loss", Combined: true, SeparateProcesses: true,
		Guard: "the wanted state takes precedence over the announced one (package contract)"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c, call := s.caller(), &nonIdempotentCall{body: "kept.", key: caller.NewKey()}
	call.send(c, 0)
	s.acceptIntent(t, leaveIntent("leave", "desk-0"))
	s.acceptIntent(t, &controlv1.Intent{Id: "before", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "before", Importance: 1}}})
	s.controlProcs[2].kill()
	is.NoErr(os.RemoveAll(s.dataDirs[2]))
	s.controlProcs[2].args = append(s.controlProcs[2].args, "-join")
	s.controlProcs[2].run(t)
	eventually(t, "the replica is a voter again", func() error { return checkReady(s.controlAdminAddrs[2]) })
	s.awaitVoters(t)
	s.controlProcs[0].kill()
	revision := s.acceptIntent(t, &controlv1.Intent{Id: "after", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "after", Importance: 1}}})
	is.True(revision > 0)
	names := ""
	for _, w := range s.configuration(t).GetWorkspaces() {
		names += w.GetName() + " "
	}
	is.Equal(names, "after before crew ")
	s.awaitServing(t)
	call.send(c, 1)
	call.check(t, s.runCount(t, call.body))
	for i := range 20 {
		_, _ = c.Call(context.Background(), i%hosts, http.MethodPut, notesPath, []byte(fmt.Sprintf("later-%d", i)), "")
	}
	is.Equal(string(bytes.TrimSpace(s.listEffects(t, 0, notesPath))), "[]") // the leaving endpoint ran none
}

// awaitVoters waits until all replicas are voters.
func (s *site) awaitVoters(t *testing.T) {
	t.Helper()
	s.callControl(t, "all replicas vote", func(ctx context.Context, c controlv1.ControlClient) error {
		members, err := c.Members(ctx, &controlv1.MembersRequest{})
		if err != nil {
			return err
		}
		if len(members.GetVoters()) != replicas || len(members.GetLearners()) != 0 {
			return fmt.Errorf("voters %v, learners %v", members.GetVoters(), members.GetLearners())
		}
		return nil
	})
}

// nonIdempotentCall is a call that is not idempotent, with the results that its callers got.
type nonIdempotentCall struct {
	body, key string
	results   []caller.Result
}

// send sends the call through entry i, with a deadline. It may be called again to repeat the
// call.
func (call *nonIdempotentCall) send(c *caller.Caller, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	result, err := c.Call(ctx, i, http.MethodPost, swapsPath, []byte(call.body), call.key)
	if err == nil {
		call.results = append(call.results, result)
	}
}

// check compares the results that callers got with the number of times the call ran.
func (call *nonIdempotentCall) check(t *testing.T, runs int) {
	t.Helper()
	if runs > 1 {
		t.Errorf("%s ran %d times", call.body, runs)
	}
	answered, notRun := 0, 0
	defer func() {
		t.Logf("%s ran %d times: %d answered, %d not run, of %d", call.body, runs, answered, notRun, len(call.results))
	}()
	for _, result := range call.results {
		switch result.Outcome {
		case outcomeAnswered:
			answered++
		case outcomeNotRun:
			notRun++
		case outcomeUnknown:
		default:
			t.Errorf("%s: status %d without an outcome: %s", call.body, result.Status, result.Body)
		}
	}
	if answered > 0 && runs != 1 {
		t.Errorf("%s was answered, but ran %d times", call.body, runs)
	}
	if notRun > 0 && notRun == len(call.results) && runs != 0 {
		t.Errorf("%s: all responses say not run, but it ran", call.body)
	}
}

// An entry freezes at some moment during a call that is not idempotent. The caller repeats the
// call through the other entry, and then the frozen entry resumes.
func TestFrozenEntryRunsCallOnce(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Freeze}, Step: "0 to 8 ms after the call is sent", SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	s := newSite(t)
	c := s.caller()
	for i := range 16 {
		call := &nonIdempotentCall{body: fmt.Sprintf("frozen-%d.", i), key: caller.NewKey()}
		var wg sync.WaitGroup
		var viaFrozen nonIdempotentCall
		viaFrozen.body, viaFrozen.key = call.body, call.key
		wg.Go(func() { viaFrozen.send(c, 0) })
		time.Sleep(time.Duration(i) * time.Millisecond / 2)
		s.entryProcs[0].signal(syscall.SIGSTOP)
		call.send(c, 1)
		s.entryProcs[0].signal(syscall.SIGCONT)
		wg.Wait()
		call.results = append(call.results, viaFrozen.results...)
		call.send(c, 1)
		call.check(t, s.runCount(t, call.body))
	}
}

// An agent is killed and restarted while calls that are not idempotent run. The callers repeat
// them through the other entry.
func TestKilledAgentRunsCallOnce(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "0 to 8 ms after the call is sent", SeparateProcesses: true}.Log(t)
	s := newSite(t)
	c := s.caller()
	for i := range 8 {
		calls := make([]*nonIdempotentCall, 8)
		var wg sync.WaitGroup
		for j := range calls {
			calls[j] = &nonIdempotentCall{body: fmt.Sprintf("killed-%d-%d.", i, j), key: caller.NewKey()}
			wg.Go(func() { calls[j].send(c, j) })
		}
		time.Sleep(time.Duration(i) * time.Millisecond)
		s.agentProcs[i%hosts].kill()
		s.agentProcs[i%hosts].run(t)
		wg.Wait()
		for j, call := range calls {
			call.send(c, j+1)
			call.check(t, s.runCount(t, call.body))
		}
	}
}

// An entry is frozen while an endpoint leaves, with requests waiting in its sockets. When it
// resumes, it dispatches them with its outdated configuration. The agent's gate must refuse
// them all.
func TestResumedEntryReachesNoLeavingEndpoint(t *testing.T) {
	const requests = 60
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Freeze}, Step: "entry frozen while a leave is accepted", SeparateProcesses: true,
		Guard: "the gate's refusal for leaving endpoints (failed 2 of 3 runs without it)"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c := s.caller()
	s.entryProcs[0].signal(syscall.SIGSTOP)
	revision := s.acceptIntent(t, leaveIntent("leave", "desk-0"))
	eventually(t, "the agent applies the leave", func() error { return s.daemonAtRevision(t, "agent-0", revision) })
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range requests {
		wg.Go(func() {
			result, err := c.Call(context.Background(), 0, http.MethodPut, notesPath, []byte(fmt.Sprintf("late-%d", i)), "")
			if err != nil {
				t.Errorf("request %d: %v", i, err)
			} else if result.Outcome == outcomeAnswered {
				answered.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // the requests reach the frozen entry's sockets
	s.entryProcs[0].signal(syscall.SIGCONT)
	wg.Wait()
	t.Logf("%d of %d requests answered", answered.Load(), requests)
	is.Equal(string(bytes.TrimSpace(s.listEffects(t, 0, notesPath))), "[]") // the leaving endpoint ran none
}

// Two control replicas are lost. Once the configuration is too old to rule out an accepted
// leave, requests are refused at once as not run, with a Retry-After. When the replicas are
// back, requests are answered.
func TestLostQuorumRefusesAtOnce(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.Kill}, Step: "two of three control replicas", Combined: true, SeparateProcesses: true}.Log(t)
	s := newSite(t)
	c := s.caller()
	s.controlProcs[0].kill()
	s.controlProcs[1].kill()
	eventually(t, "a call is refused", func() error {
		call := &nonIdempotentCall{body: "lost.", key: caller.NewKey()}
		call.send(c, 0)
		if len(call.results) == 1 && call.results[0].Outcome == outcomeNotRun {
			return nil
		}
		return fmt.Errorf("results %+v", call.results)
	})
	call := &nonIdempotentCall{body: "refused.", key: caller.NewKey()}
	call.send(c, 1)
	call.check(t, s.runCount(t, call.body))
	s.controlProcs[0].run(t)
	s.controlProcs[1].run(t)
	s.awaitServing(t)
}

// All control replicas freeze for longer than a lease, as when their hosts are paused together.
// When they resume, every lease is overdue by their own clock, but the agents were available
// throughout: no endpoint may leave the table.
func TestFrozenControlExpiresNoLease(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "all control replicas, longer than a lease", Combined: true, SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	for _, p := range s.controlProcs {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(7 * time.Second) // longer than the default lease
	for _, p := range s.controlProcs {
		p.signal(syscall.SIGCONT)
	}
	revision := s.acceptIntent(t, &controlv1.Intent{Id: "awake", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "awake", Importance: 1}}})
	eventually(t, "the agents apply a new intent", func() error { return s.daemonAtRevision(t, "agent-0", revision) })
	for _, admin := range s.controlAdminAddrs {
		is.Equal(s.readMetric(t, admin, "lilackeel_control_leases_expired_total"), "0")
	}
}
