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
	// groupRanks are divided evenly over the agents.
	groupRanks = 4
	// stepsAhead is so large that engines outlive an agent's restart.
	stepsAhead = 150
	// holdTime is how long a group must not step to count as holding.
	holdTime = 300 * time.Millisecond
	// settleTime lets what was counted before a shift of popularity be reported.
	settleTime = 300 * time.Millisecond
	// groupsText has short intervals, so that the balancer soon has its history.
	groupsText = `groups:
- {name: drafting, layers: 2, experts: 16, ranks: 4, slots: 5, tokenMicros: 1,
   interval: 30ms, expertBytes: 1000, storeBytesPerSecond: 1e9}
`
)

// groupSite is a group of four ranks in lock-step, over two agents, and three
// control replicas.
type groupSite struct {
	*site
	steps   []string
	standin *process
	// decided holds the first step of each map that was seen in force.
	decided map[uint64]uint64
	// policies counts the policies stated so far.
	policies int
}

func newGroupSite(t *testing.T) *groupSite {
	t.Helper()
	g := &groupSite{steps: ports(t, hosts), decided: map[uint64]uint64{}, site: &site{
		control: ports(t, replicas), controlAdmin: ports(t, replicas),
		engines:    ports(t, groupRanks),
		agentAddrs: ports(t, hosts), agentAdmin: ports(t, hosts),
	}}
	groups := filepath.Join(t.TempDir(), "groups.yaml")
	if err := os.WriteFile(groups, []byte(groupsText), 0o600); err != nil {
		t.Fatal(err)
	}
	g.startControl(t, "-groups", groups)
	var askAt []string
	for rank := range groupRanks {
		askAt = append(askAt, g.steps[rank*hosts/groupRanks])
	}
	g.standin = start(t, "standin", "standin-endpoint", "-engine-listen", strings.Join(g.engines, ","), "-checks-fencing", "-group", groupName, "-group-agents", strings.Join(askAt, ","), "-group-experts", "16")
	for i := range hosts {
		g.agents = append(g.agents, start(t, fmt.Sprintf("agent-%d", i), "lilackeel-agent", g.rankAgentArgs(t, i)...))
	}
	g.accept(t, &controlv1.Intent{Id: "first", Operator: "e2e", Models: []*fleetv1.Model{{Name: "draft", Pool: groupName, Version: "1"}}})
	g.awaitSteps(t, "the first steps", 20)
	return g
}

func (g *groupSite) rankAgentArgs(t *testing.T, i int) []string {
	t.Helper()
	text := "endpoints:\n"
	for rank, engine := range g.engines {
		if rank*hosts/groupRanks == i {
			text += fmt.Sprintf("- {id: engine-%d, pool: %s, kind: engine, url: \"http://%s\", model: draft, version: \"1\", slots: 8, group: %s, rank: %d, checks_fencing: true}\n",
				rank, groupName, engine, groupName, rank)
		}
	}
	file := filepath.Join(t.TempDir(), "endpoints.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"-name", fmt.Sprintf("agent-%d", i), "-zone", "a", "-listen", g.agentAddrs[i], "-steps-listen", g.steps[i],
		"-control", strings.Join(g.control, ","), "-endpoints", file, "-admin-listen", g.agentAdmin[i], "-poll-interval", "6ms",
		"-steps-ahead", fmt.Sprint(stepsAhead)}
}

// shift makes another expert the most popular one, and states a new policy, by
// which the leader balances the group anew.
func (g *groupSite) shift(t *testing.T, expert int) {
	t.Helper()
	g.tell(t, 0, "/standin/popularity", standin.Popularity{Shift: expert})
	time.Sleep(settleTime)
	g.policies++
	g.accept(t, &controlv1.Intent{Id: fmt.Sprintf("policy-%d", g.policies), Operator: "e2e",
		Policies: []*fleetv1.BalancePolicy{{Group: groupName, Evenness: 1 - float64(g.policies)/1000, MaxMoves: 8, StoreShare: 1}}})
}

// setFaults switches the faults of one engine.
func (g *groupSite) setFaults(t *testing.T, rank int, faults standin.Faults) {
	t.Helper()
	g.tell(t, rank, "/standin/faults", faults)
}

func (g *groupSite) tell(t *testing.T, rank int, path string, what any) {
	t.Helper()
	body, err := json.Marshal(what)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+g.engines[rank]+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// ran returns the steps that the ranks have recorded.
func (g *groupSite) ran(t *testing.T) standin.Steps {
	t.Helper()
	var steps standin.Steps
	eventually(t, "read the steps", func() error {
		response, err := http.Get("http://" + g.engines[0] + "/standin/steps")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(&steps)
	})
	return steps
}

// awaitSteps waits until the group has run so many more steps.
func (g *groupSite) awaitSteps(t *testing.T, what string, more uint64) {
	t.Helper()
	from := g.ran(t).Next
	eventually(t, what, func() error {
		if next := g.ran(t).Next; next < from+more {
			return fmt.Errorf("the group is at step %d, from %d", next, from)
		}
		return nil
	})
}

// mapRecord reads the record of the group's map through a quorum.
func (g *groupSite) mapRecord(t *testing.T) *fleetv1.MapRecord {
	t.Helper()
	var record *fleetv1.MapRecord
	g.ask(t, "read the map", func(ctx context.Context, c controlv1.ControlClient) error {
		response, err := c.ReadMap(ctx, &controlv1.ReadMapRequest{Group: groupName})
		record = response.GetRecord()
		return err
	})
	return record
}

// awaitPreparing waits until a switch is begun and not decided, and returns its
// epoch.
func (g *groupSite) awaitPreparing(t *testing.T) uint64 {
	t.Helper()
	var epoch uint64
	eventually(t, "a switch begins", func() error {
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
	eventually(t, "the map comes into force", func() error {
		records := g.ran(t).Records
		if last := records[len(records)-1]; last.Epochs[0] < epoch {
			return fmt.Errorf("steps to %d run with epoch %d, want %d", last.To, last.Epochs[0], epoch)
		}
		return nil
	})
}

// leader returns the number of the control replica that leads.
func (g *groupSite) leader(t *testing.T) int {
	t.Helper()
	var status *controlv1.StatusResponse
	g.ask(t, "status", func(ctx context.Context, c controlv1.ControlClient) (err error) {
		status, err = c.Status(ctx, &controlv1.StatusRequest{})
		return err
	})
	return int(status.GetLeader()) - 1
}

// checkOneMap checks that every step ran once and with one map on all ranks, and
// that each map was used from the step on that was decided.
func (g *groupSite) checkOneMap(t *testing.T) {
	t.Helper()
	is := is.New(t)
	records := g.ran(t).Records
	next := records[0].From
	for _, record := range records {
		t.Logf("steps %d to %d: epochs %v, mean %v", record.From, record.To, record.Epochs, record.Time/time.Duration(record.To-record.From+1))
		is.Equal(record.From, next) // no step is left out or run twice
		next = record.To + 1
		for _, used := range record.Epochs {
			is.Equal(used, record.Epochs[0]) // one map
		}
		if decided, known := g.decided[record.Epochs[0]]; known {
			is.Equal(record.From, decided)
		}
	}
}

// holdMaps keeps all ranks from loading maps, or lets them go on, so that a switch
// is prepared for as long as a test needs. The last rank ignores fencing tokens.
func (g *groupSite) holdMaps(t *testing.T, hold bool) {
	t.Helper()
	for rank := range g.engines {
		g.setFaults(t, rank, standin.Faults{HoldMaps: hold, IgnoreFencing: rank == groupRanks-1})
	}
}

// switchUnder begins a switch to a map for another popular expert, brings about
// a fault while it is prepared, and waits until the group runs with a new map.
// The fault lets the ranks load the map at the moment of its choice.
func (g *groupSite) switchUnder(t *testing.T, popular int, fault func()) {
	t.Helper()
	began := time.Now()
	g.holdMaps(t, true)
	g.shift(t, popular)
	epoch := g.awaitPreparing(t)
	begun := time.Now()
	fault()
	g.awaitEpoch(t, epoch)
	t.Logf("popular %d: epoch %d began after %v and was overtaken %v later", popular, epoch, begun.Sub(began), time.Since(begun))
	if record := g.mapRecord(t); record.GetState() == fleetv1.MapState_MAP_STATE_COMMITTED {
		g.decided[record.GetEpoch()] = record.GetActivateStep()
	}
	g.awaitSteps(t, "steps with the new map", 20)
}

// awaitHold waits until the group takes no further step for a while.
func (g *groupSite) awaitHold(t *testing.T) {
	t.Helper()
	var last uint64
	eventually(t, "the group holds", func() error {
		before := last
		if last = g.ran(t).Next; last != before {
			return fmt.Errorf("the group is at step %d", last)
		}
		time.Sleep(holdTime)
		if next := g.ran(t).Next; next != last {
			return fmt.Errorf("the group went on from step %d to %d", last, next)
		}
		return nil
	})
}

// killLeader kills the control replica that leads and starts it again.
func (g *groupSite) killLeader(t *testing.T) {
	t.Helper()
	leader := g.controls[g.leader(t)]
	leader.kill()
	leader.run(t)
}

// leaveUndecided lets all ranks promise a step, but cuts the leader off from its
// quorum so that it cannot decide, and kills it once the group has reached that
// step.
func (g *groupSite) leaveUndecided(t *testing.T) {
	t.Helper()
	leader := g.leader(t)
	for i, replica := range g.controls {
		if i != leader {
			replica.signal(syscall.SIGSTOP)
		}
	}
	g.holdMaps(t, false)
	g.awaitHold(t)
	g.controls[leader].kill()
	for i, replica := range g.controls {
		if i != leader {
			replica.signal(syscall.SIGCONT)
		}
	}
	g.controls[leader].run(t)
}

// restartEngines kills all engines and starts them again. The group goes on
// beyond all steps that it had run, with the map in force.
func (g *groupSite) restartEngines(t *testing.T) {
	t.Helper()
	is := is.New(t)
	before := g.ran(t)
	g.standin.kill()
	g.standin.run(t)
	eventually(t, "the engines step again", func() error {
		if steps := g.ran(t); len(steps.Records) == 0 {
			return fmt.Errorf("held %d times", steps.Blocked)
		}
		return nil
	})
	after := g.ran(t).Records[0]
	is.True(after.From >= before.Next)
	for _, used := range after.Epochs {
		is.Equal(used, before.Records[len(before.Records)-1].Epochs[0])
	}
}

// In every step all ranks use one map, and the group gets going again, while a
// switch is under way and a rank stalls while the leader is killed, the leader
// is cut off after the promises and killed, all agents are killed and started
// again, or an agent is frozen, and after all engines have been killed and started
// again. The engines outlive their agents for the steps
// that were granted.
func TestOneMapInEveryStep(t *testing.T) {
	for _, cell := range []proof.Cell{
		{Faults: []proof.Fault{proof.StalledRank, proof.Kill}, Step: "switch of maps prepared, leader killed", Combined: true,
			Guard: "each granted step counted as the rank's position"},
		{Faults: []proof.Fault{proof.Freeze, proof.Kill}, Step: "switch of maps promised, leader cut off and killed", Combined: true,
			Guard: "no grant from the promised step on while undecided"},
		{Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "switch of maps prepared, all agents killed", Combined: true,
			Guard: "the granted steps that an engine reports to a new process of its agent"},
		{Faults: []proof.Fault{proof.Freeze}, Step: "switch of maps prepared, an agent frozen before it promises",
			Guard: "the decision waits for the promise of every rank"},
		{Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "all engines killed",
			Guard: "a group begins beyond all granted steps; a new machine for a new run of an engine"},
	} {
		cell.Promise, cell.SeparateProcesses = proof.OneMapPerStep, true
		cell.Log(t)
	}
	g := newGroupSite(t)
	g.switchUnder(t, 0, func() {
		g.setFaults(t, 2, standin.Faults{Stall: true})
		g.killLeader(t)
		time.Sleep(holdTime)
		g.holdMaps(t, false)
	})
	g.switchUnder(t, 5, func() { g.leaveUndecided(t) })
	g.switchUnder(t, 10, func() {
		for _, agent := range g.agents {
			agent.kill()
		}
		g.holdMaps(t, false)
		for _, agent := range g.agents {
			agent.run(t)
		}
	})
	g.switchUnder(t, 15, func() {
		g.setFaults(t, 2, standin.Faults{})
		g.setFaults(t, 3, standin.Faults{})
		time.Sleep(holdTime) // the ranks of the agent report that they are prepared
		g.agents[1].signal(syscall.SIGSTOP)
		g.holdMaps(t, false)
		g.awaitHold(t)
		g.agents[1].signal(syscall.SIGCONT)
	})
	g.checkOneMap(t)
	g.restartEngines(t)
}
