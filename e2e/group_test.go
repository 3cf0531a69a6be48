package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin"
)

const (
	groupName = "drafting"
	// groupRanks are divided evenly among the agents.
	groupRanks = 4
	// stepsAhead is large enough for the engines to keep stepping while an agent restarts.
	stepsAhead = 150
	// blockedTime is the time without a step after which a group counts as blocked.
	blockedTime = 300 * time.Millisecond
	// reportDelay is the time to wait until the counts from before a shift of popularity have
	// been reported.
	reportDelay = 300 * time.Millisecond
	// groupsText uses short intervals so that the balancer quickly collects its history.
	groupsText = `groups:
- {name: drafting, layers: 2, experts: 16, ranks: 4, slots: 5, tokenMicros: 1,
   interval: 30ms, expertBytes: 1000, storeBytesPerSecond: 1e9}
`
)

// groupSite is a group of four ranks that run in lockstep, spread over two agents, with three
// control replicas.
type groupSite struct {
	*site
	stepsAddrs  []string
	standinProc *process
	// activateSteps holds the first step of each committed map that was observed, by epoch.
	activateSteps map[uint64]uint64
	// policyCount is the number of policies set so far.
	policyCount int
}

func newGroupSite(t *testing.T) *groupSite {
	t.Helper()
	g := &groupSite{stepsAddrs: freeAddrs(t, hosts), activateSteps: map[uint64]uint64{}, site: &site{
		controlAddrs: freeAddrs(t, replicas), controlAdminAddrs: freeAddrs(t, replicas),
		engineAddrs: freeAddrs(t, groupRanks),
		agentAddrs:  freeAddrs(t, hosts), agentAdminAddrs: freeAddrs(t, hosts),
	}}
	groups := filepath.Join(t.TempDir(), "groups.yaml")
	if err := os.WriteFile(groups, []byte(groupsText), 0o600); err != nil {
		t.Fatal(err)
	}
	g.startControl(t, "-groups", groups)
	var rankAgents []string
	for rank := range groupRanks {
		rankAgents = append(rankAgents, g.stepsAddrs[rank*hosts/groupRanks])
	}
	g.standinProc = startProcess(t, "standin", "standin-endpoint", "-engine-listen", strings.Join(g.engineAddrs, ","), "-checks-fencing", "-group", groupName, "-group-agents", strings.Join(rankAgents, ","), "-group-experts", "16")
	for i := range hosts {
		g.agentProcs = append(g.agentProcs, startProcess(t, fmt.Sprintf("agent-%d", i), "lilackeel-agent", g.rankAgentArgs(t, i)...))
	}
	g.acceptIntent(t, &controlv1.Intent{Id: "first", Operator: "e2e", Models: []*fleetv1.Model{{Name: "draft", Pool: groupName, Version: "1"}}})
	g.awaitSteps(t, "the first steps", 20)
	return g
}

func (g *groupSite) rankAgentArgs(t *testing.T, i int) []string {
	t.Helper()
	text := "endpoints:\n"
	for rank, engine := range g.engineAddrs {
		if rank*hosts/groupRanks == i {
			text += fmt.Sprintf("- {id: engine-%d, pool: %s, kind: engine, url: \"http://%s\", model: draft, version: \"1\", slots: 8, group: %s, rank: %d, checks_fencing: true}\n",
				rank, groupName, engine, groupName, rank)
		}
	}
	file := filepath.Join(t.TempDir(), "endpoints.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"-name", fmt.Sprintf("agent-%d", i), "-zone", "a", "-listen", g.agentAddrs[i], "-steps-listen", g.stepsAddrs[i],
		"-control", strings.Join(g.controlAddrs, ","), "-endpoints", file, "-admin-listen", g.agentAdminAddrs[i], "-poll-interval", "6ms",
		"-steps-ahead", fmt.Sprint(stepsAhead)}
}

// shiftPopularity makes another expert the most popular one and sets a new policy, which makes
// the leader rebalance the group.
func (g *groupSite) shiftPopularity(t *testing.T, expert int) {
	t.Helper()
	g.post(t, 0, "/standin/popularity", standin.Popularity{Shift: expert})
	time.Sleep(reportDelay)
	g.policyCount++
	g.acceptIntent(t, &controlv1.Intent{Id: fmt.Sprintf("policy-%d", g.policyCount), Operator: "e2e",
		Policies: []*fleetv1.BalancePolicy{{Group: groupName, Evenness: 1 - float64(g.policyCount)/1000, MaxMoves: 8, StoreShare: 1}}})
}

// setFaults replaces the injected faults of one engine.
func (g *groupSite) setFaults(t *testing.T, rank int, faults standin.Faults) {
	t.Helper()
	g.post(t, rank, "/standin/faults", faults)
}

func (g *groupSite) post(t *testing.T, rank int, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+g.engineAddrs[rank]+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// readSteps returns the steps that the ranks have recorded.
func (g *groupSite) readSteps(t *testing.T) standin.Steps {
	t.Helper()
	var steps standin.Steps
	eventually(t, "read the steps", func() error {
		response, err := http.Get("http://" + g.engineAddrs[0] + "/standin/steps")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(&steps)
	})
	return steps
}

// awaitSteps waits until the group has run the given number of further steps.
func (g *groupSite) awaitSteps(t *testing.T, label string, more uint64) {
	t.Helper()
	from := g.readSteps(t).Next
	eventually(t, label, func() error {
		if next := g.readSteps(t).Next; next < from+more {
			return fmt.Errorf("the group is at step %d, started from %d", next, from)
		}
		return nil
	})
}

// mapRecord reads the record of the group's map through a quorum.
func (g *groupSite) mapRecord(t *testing.T) *fleetv1.MapRecord {
	t.Helper()
	var record *fleetv1.MapRecord
	g.callControl(t, "read the map", func(ctx context.Context, c controlv1.ControlClient) error {
		response, err := c.ReadMap(ctx, &controlv1.ReadMapRequest{Group: groupName})
		record = response.GetRecord()
		return err
	})
	return record
}

// awaitPreparing waits until a map switch has begun and is undecided, and returns its epoch.
func (g *groupSite) awaitPreparing(t *testing.T) uint64 {
	t.Helper()
	var epoch uint64
	eventually(t, "a map switch begins", func() error {
		record := g.mapRecord(t)
		if epoch = record.GetEpoch(); record.GetState() != fleetv1.MapState_MAP_STATE_PREPARING {
			return fmt.Errorf("epoch %d is %v", epoch, record.GetState())
		}
		return nil
	})
	return epoch
}

// awaitEpoch waits until all ranks run with the given epoch or a later one.
func (g *groupSite) awaitEpoch(t *testing.T, epoch uint64) {
	t.Helper()
	eventually(t, "the map takes effect", func() error {
		records := g.readSteps(t).Records
		if last := records[len(records)-1]; last.Epochs[0] < epoch {
			return fmt.Errorf("steps up to %d ran with epoch %d, want at least %d", last.To, last.Epochs[0], epoch)
		}
		return nil
	})
}

// leader returns the index of the control replica that leads.
func (g *groupSite) leader(t *testing.T) int {
	t.Helper()
	var status *controlv1.StatusResponse
	g.callControl(t, "status", func(ctx context.Context, c controlv1.ControlClient) (err error) {
		status, err = c.Status(ctx, &controlv1.StatusRequest{})
		return err
	})
	return int(status.GetLeader()) - 1
}

// checkOneMap checks that every step ran once and with the same map on all ranks, and that each
// map was used from its activation step on.
func (g *groupSite) checkOneMap(t *testing.T) {
	t.Helper()
	is := is.New(t)
	records := g.readSteps(t).Records
	next := records[0].From
	for _, record := range records {
		t.Logf("steps %d to %d: epochs %v, mean %v", record.From, record.To, record.Epochs, record.Time/time.Duration(record.To-record.From+1))
		is.Equal(record.From, next) // no step is skipped or repeated
		next = record.To + 1
		for _, used := range record.Epochs {
			is.Equal(used, record.Epochs[0]) // all ranks use the same map
		}
		if activateStep, known := g.activateSteps[record.Epochs[0]]; known {
			is.Equal(record.From, activateStep)
		}
	}
}

// holdMaps blocks all ranks from loading maps, or unblocks them, so that a switch stays in
// preparation for as long as a test needs. The last rank ignores fencing tokens.
func (g *groupSite) holdMaps(t *testing.T, hold bool) {
	t.Helper()
	for rank := range g.engineAddrs {
		g.setFaults(t, rank, standin.Faults{HoldMaps: hold, IgnoreFencing: rank == groupRanks-1})
	}
}

// switchMapDuring starts a switch to a map for another popular expert, runs fault while the
// switch is in preparation, and waits until the group runs with a new map. fault must unblock
// the ranks' map loading at the moment it chooses.
func (g *groupSite) switchMapDuring(t *testing.T, popular int, fault func()) {
	t.Helper()
	start := time.Now()
	g.holdMaps(t, true)
	g.shiftPopularity(t, popular)
	epoch := g.awaitPreparing(t)
	preparingSince := time.Now()
	fault()
	g.awaitEpoch(t, epoch)
	t.Logf("most popular expert %d: epoch %d began preparing after %v; it or a later one was in force %v later", popular, epoch, preparingSince.Sub(start), time.Since(preparingSince))
	if record := g.mapRecord(t); record.GetState() == fleetv1.MapState_MAP_STATE_COMMITTED {
		g.activateSteps[record.GetEpoch()] = record.GetActivateStep()
	}
	g.awaitSteps(t, "steps with the new map", 20)
}

// awaitBlocked waits until the group has stopped stepping for blockedTime.
func (g *groupSite) awaitBlocked(t *testing.T) {
	t.Helper()
	var last uint64
	eventually(t, "the group is blocked", func() error {
		before := last
		if last = g.readSteps(t).Next; last != before {
			return fmt.Errorf("the group is at step %d", last)
		}
		time.Sleep(blockedTime)
		if next := g.readSteps(t).Next; next != last {
			return fmt.Errorf("the group advanced from step %d to %d", last, next)
		}
		return nil
	})
}

// killLeader kills the control replica that leads and restarts it.
func (g *groupSite) killLeader(t *testing.T) {
	t.Helper()
	leader := g.controlProcs[g.leader(t)]
	leader.kill()
	leader.run(t)
}

// awaitHeldMaps waits until the engine of each rank has received the order to load a map. An agent
// needs a quorum to give it.
func (g *groupSite) awaitHeldMaps(t *testing.T) {
	t.Helper()
	for rank, engine := range g.engineAddrs {
		eventually(t, fmt.Sprintf("rank %d has the order to load a map", rank), func() error {
			response, err := http.Get("http://" + engine + "/standin/held-orders")
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			var held int
			if err := json.NewDecoder(response.Body).Decode(&held); err != nil || held == 0 {
				return fmt.Errorf("%d orders are held, %v", held, err)
			}
			return nil
		})
	}
}

// isolateLeaderBeforeDecision lets all ranks promise a step, but isolates the leader from its
// quorum so that it cannot decide. It kills the leader once the group has stopped at the
// promised step.
func (g *groupSite) isolateLeaderBeforeDecision(t *testing.T) {
	t.Helper()
	g.awaitHeldMaps(t)
	leader := g.leader(t)
	for i, replica := range g.controlProcs {
		if i != leader {
			replica.signal(syscall.SIGSTOP)
		}
	}
	g.holdMaps(t, false)
	g.awaitBlocked(t)
	g.controlProcs[leader].kill()
	for i, replica := range g.controlProcs {
		if i != leader {
			replica.signal(syscall.SIGCONT)
		}
	}
	g.controlProcs[leader].run(t)
}

// restartEngines kills and restarts all engines. The group must resume after all steps that it
// had run, with the map in force.
func (g *groupSite) restartEngines(t *testing.T) {
	t.Helper()
	is := is.New(t)
	before := g.readSteps(t)
	g.standinProc.kill()
	g.standinProc.run(t)
	eventually(t, "the engines step again", func() error {
		if steps := g.readSteps(t); len(steps.Records) == 0 {
			return fmt.Errorf("no steps, blocked %d times", steps.Blocked)
		}
		return nil
	})
	after := g.readSteps(t).Records[0]
	is.True(after.From >= before.Next)
	for _, used := range after.Epochs {
		is.Equal(used, before.Records[len(before.Records)-1].Epochs[0])
	}
}

// In every step all ranks use the same map, and the group resumes stepping after each of these
// faults during a map switch: a rank stalls and the leader is killed; the leader is isolated
// after the promises and killed; all agents are killed and restarted; an agent is frozen. The
// same holds after all engines are killed and restarted. The engines keep running through a
// restart of their agents for as many steps as were granted.
func TestOneMapInEveryStep(t *testing.T) {
	for _, cell := range []proof.Cell{
		{Faults: []proof.Fault{proof.StalledRank, proof.Kill}, Step: "map switch in preparation, leader killed", Combined: true,
			Guard: "counting each granted step as the rank's position"},
		{Faults: []proof.Fault{proof.Freeze, proof.Kill}, Step: "map switch promised, leader isolated and killed", Combined: true,
			Guard: "no grant from the promised step on while undecided"},
		{Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "map switch in preparation, all agents killed", Combined: true,
			Guard: "the granted steps that an engine reports to a new process of its agent"},
		{Faults: []proof.Fault{proof.Freeze}, Step: "map switch in preparation, an agent frozen before it promises",
			Guard: "the decision waits for the promise of every rank"},
		{Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "all engines killed",
			Guard: "a group begins after all granted steps; a new state machine for each run of an engine"},
	} {
		cell.Promise, cell.SeparateProcesses = proof.OneMapPerStep, true
		cell.Log(t)
	}
	g := newGroupSite(t)
	g.switchMapDuring(t, 0, func() {
		g.setFaults(t, 2, standin.Faults{Stall: true})
		g.killLeader(t)
		time.Sleep(blockedTime)
		g.holdMaps(t, false)
	})
	g.switchMapDuring(t, 5, func() { g.isolateLeaderBeforeDecision(t) })
	g.switchMapDuring(t, 10, func() {
		for _, agent := range g.agentProcs {
			agent.kill()
		}
		g.holdMaps(t, false)
		for _, agent := range g.agentProcs {
			agent.run(t)
		}
	})
	g.switchMapDuring(t, 15, func() {
		g.setFaults(t, 2, standin.Faults{})
		g.setFaults(t, 3, standin.Faults{})
		time.Sleep(blockedTime) // the ranks of the agent report that they are prepared
		g.agentProcs[1].signal(syscall.SIGSTOP)
		g.holdMaps(t, false)
		g.awaitBlocked(t)
		g.agentProcs[1].signal(syscall.SIGCONT)
	})
	g.checkOneMap(t)
	g.restartEngines(t)
}
