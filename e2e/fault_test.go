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

// faultsOf names the faults that signals bring about.
var faultsOf = map[syscall.Signal][]proof.Fault{syscall.SIGKILL: {proof.Kill}, syscall.SIGSTOP: {proof.Freeze}}

// outcomeAnswered, outcomeNotRun and outcomeUnknown are what entries state.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// A planned stop of an entry, an agent and a control replica at once cuts none
// of 200 open streams, also when another control replica is killed or frozen at
// that moment, so that none of them has a quorum.
func TestPlannedStopCutsNoStream(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"all is well": 0, "killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) { stopUnderStreams(t, signal) })
	}
}

func stopUnderStreams(t *testing.T, signal syscall.Signal) {
	const streams, tokens = 200, 150
	proof.Cell{Promise: proof.GracefulShutdown, Faults: append([]proof.Fault{proof.Restart}, faultsOf[signal]...), Step: "streams open", Combined: true, SeparateProcesses: true,
		Guard: "the wait of agent and of entry for calls in flight, each alone"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c := s.caller()
	var begun atomic.Int64
	c.OnFirstByte = func() { begun.Add(1) }
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
		if n := begun.Load(); n < streams {
			return fmt.Errorf("%d of %d", n, streams)
		}
		return nil
	})
	s.controls[1].signal(signal)
	stopping := []*process{s.fronts[0], s.agents[0], s.controls[0]}
	for _, p := range stopping {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range stopping {
		is.Equal(p.stop(t), 0)
	}
	wg.Wait()
	whole := 0
	for i, result := range results {
		if result.Complete {
			whole++
		} else {
			t.Logf("stream %d: status %d, outcome %q, %d bytes", i, result.Status, result.Outcome, len(result.Body))
		}
	}
	is.Equal(whole, streams)
}

// Accepted intents survive kill -9 of each control replica in turn, and the
// revision never goes back.
func TestKilledReplicasKeepConfiguration(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "between intents", SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	var last uint64
	for round := range 6 {
		victim := s.controls[round%replicas]
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			victim.kill()
		}()
		name := fmt.Sprintf("branch-%d", round)
		revision := s.accept(t, &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}})
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
	s.ask(t, "read the configuration", func(ctx context.Context, c controlv1.ControlClient) error {
		response, err := c.GetConfiguration(ctx, &controlv1.GetConfigurationRequest{})
		configuration = response.GetConfiguration()
		return err
	})
	return configuration
}

// A disk is lost, the replica rejoins with a blank one, and right after the
// repair a second replica is lost: the accepted configuration is still there
// and new intents are accepted.
func TestSecondLossAfterRepair(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "after the repair", Combined: true, SeparateProcesses: true}.Log(t)
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "call repeated after the repair", Combined: true, SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "endpoint set leaving before the loss", Combined: true, SeparateProcesses: true,
		Guard: "the wanted state outweighs the announced one (package contract)"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c, w := s.caller(), &swap{body: "kept.", key: caller.NewKey()}
	w.send(c, 0)
	s.accept(t, leave("leave", "desk-0"))
	s.accept(t, &controlv1.Intent{Id: "before", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "before", Importance: 1}}})
	s.controls[2].kill()
	is.NoErr(os.RemoveAll(s.data[2]))
	s.controls[2].args = append(s.controls[2].args, "-join")
	s.controls[2].run(t)
	eventually(t, "the replica is a voter again", func() error { return ready(s.controlAdmin[2]) })
	s.awaitVoters(t)
	s.controls[0].kill()
	revision := s.accept(t, &controlv1.Intent{Id: "after", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "after", Importance: 1}}})
	is.True(revision > 0)
	names := ""
	for _, w := range s.configuration(t).GetWorkspaces() {
		names += w.GetName() + " "
	}
	is.Equal(names, "after before crew ")
	s.awaitServing(t)
	w.send(c, 1)
	w.check(t, s.runs(t, w.body))
	for i := range 20 {
		_, _ = c.Call(context.Background(), i%hosts, http.MethodPut, notesPath, []byte(fmt.Sprintf("later-%d", i)), "")
	}
	is.Equal(string(bytes.TrimSpace(s.list(t, 0, notesPath))), "[]") // the leaving endpoint ran none
}

// awaitVoters waits until all replicas vote and have applied the same.
func (s *site) awaitVoters(t *testing.T) {
	t.Helper()
	s.ask(t, "all replicas vote", func(ctx context.Context, c controlv1.ControlClient) error {
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

// swap is one call that is not idempotent and what callers were told of it.
type swap struct {
	body, key string
	answers   []caller.Result
}

// send sends the call once more, through entry i, bounded by a deadline.
func (w *swap) send(c *caller.Caller, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	result, err := c.Call(ctx, i, http.MethodPost, swapsPath, []byte(w.body), w.key)
	if err == nil {
		w.answers = append(w.answers, result)
	}
}

// check compares what callers were told with how often the call ran.
func (w *swap) check(t *testing.T, runs int) {
	t.Helper()
	if runs > 1 {
		t.Errorf("%s ran %d times", w.body, runs)
	}
	answered, notRun := 0, 0
	defer func() {
		t.Logf("%s ran %d times: %d answered, %d not run, of %d", w.body, runs, answered, notRun, len(w.answers))
	}()
	for _, answer := range w.answers {
		switch answer.Outcome {
		case outcomeAnswered:
			answered++
		case outcomeNotRun:
			notRun++
		case outcomeUnknown:
		default:
			t.Errorf("%s: status %d without an outcome: %s", w.body, answer.Status, answer.Body)
		}
	}
	if answered > 0 && runs != 1 {
		t.Errorf("%s was answered and ran %d times", w.body, runs)
	}
	if notRun > 0 && notRun == len(w.answers) && runs != 0 {
		t.Errorf("%s: all answers say not run, and it ran", w.body)
	}
}

// An entry freezes at some moment of a call that is not idempotent; the caller
// repeats it through the other entry; the frozen one wakes up late.
func TestFrozenEntryRunsOnce(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Freeze}, Step: "0 to 8 ms after the call is sent", SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	s := newSite(t)
	c := s.caller()
	for i := range 16 {
		w := &swap{body: fmt.Sprintf("frozen-%d.", i), key: caller.NewKey()}
		var wg sync.WaitGroup
		var early swap
		early.body, early.key = w.body, w.key
		wg.Go(func() { early.send(c, 0) })
		time.Sleep(time.Duration(i) * time.Millisecond / 2)
		s.fronts[0].signal(syscall.SIGSTOP)
		w.send(c, 1)
		s.fronts[0].signal(syscall.SIGCONT)
		wg.Wait()
		w.answers = append(w.answers, early.answers...)
		w.send(c, 1)
		w.check(t, s.runs(t, w.body))
	}
}

// An agent is killed while calls that are not idempotent run, and restarted;
// the callers repeat them through the other entry.
func TestKilledAgentRunsOnce(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "0 to 8 ms after the call is sent", SeparateProcesses: true}.Log(t)
	s := newSite(t)
	c := s.caller()
	for i := range 8 {
		swaps := make([]*swap, 8)
		var wg sync.WaitGroup
		for j := range swaps {
			swaps[j] = &swap{body: fmt.Sprintf("killed-%d-%d.", i, j), key: caller.NewKey()}
			wg.Go(func() { swaps[j].send(c, j) })
		}
		time.Sleep(time.Duration(i) * time.Millisecond)
		s.agents[i%hosts].kill()
		s.agents[i%hosts].run(t)
		wg.Wait()
		for j, w := range swaps {
			w.send(c, j+1)
			w.check(t, s.runs(t, w.body))
		}
	}
}

// An entry is frozen while an endpoint leaves, with requests waiting in its
// sockets. It wakes up and dispatches by what it knew: the agent's gate lets
// nothing pass.
func TestLateEntryReachesNoLeavingEndpoint(t *testing.T) {
	const requests = 60
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Freeze}, Step: "entry frozen over the accepted leave", SeparateProcesses: true,
		Guard: "the gate's refusal for leaving endpoints (failed 2 of 3 runs without it)"}.Log(t)
	is := is.New(t)
	s := newSite(t)
	c := s.caller()
	s.fronts[0].signal(syscall.SIGSTOP)
	revision := s.accept(t, leave("leave", "desk-0"))
	eventually(t, "the agent acts on the leave", func() error { return s.daemonActsOn(t, "agent-0", revision) })
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
	s.fronts[0].signal(syscall.SIGCONT)
	wg.Wait()
	t.Logf("%d of %d answered", answered.Load(), requests)
	is.Equal(string(bytes.TrimSpace(s.list(t, 0, notesPath))), "[]") // the leaving endpoint ran none
}

// Two control replicas are lost: once knowledge is too old to rule out an
// accepted leave, requests are refused as not run, at once and with a time to
// come back; when the replicas are back, requests are answered.
func TestLostQuorumRefusesAtOnce(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.Kill}, Step: "two of three control replicas", Combined: true, SeparateProcesses: true}.Log(t)
	s := newSite(t)
	c := s.caller()
	s.controls[0].kill()
	s.controls[1].kill()
	eventually(t, "a call is refused", func() error {
		w := &swap{body: "lost.", key: caller.NewKey()}
		w.send(c, 0)
		if len(w.answers) == 1 && w.answers[0].Outcome == outcomeNotRun {
			return nil
		}
		return fmt.Errorf("answers %+v", w.answers)
	})
	w := &swap{body: "refused.", key: caller.NewKey()}
	w.send(c, 1)
	w.check(t, s.runs(t, w.body))
	s.controls[0].run(t)
	s.controls[1].run(t)
	s.awaitServing(t)
}

// All control replicas freeze for longer than a lease, as when their hosts are
// paused together. They wake up with every lease overdue by their own clock,
// but the agents were there all the time: no endpoint may leave the table.
func TestFrozenControlExpiresNoLease(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "all control replicas, longer than a lease", Combined: true, SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	for _, p := range s.controls {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(7 * time.Second) // longer than the default lease
	for _, p := range s.controls {
		p.signal(syscall.SIGCONT)
	}
	revision := s.accept(t, &controlv1.Intent{Id: "awake", Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: "awake", Importance: 1}}})
	eventually(t, "the agents act on a new intent", func() error { return s.daemonActsOn(t, "agent-0", revision) })
	for _, admin := range s.controlAdmin {
		is.Equal(s.metric(t, admin, "lilackeel_control_leases_expired_total"), "0")
	}
}
