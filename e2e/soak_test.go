package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/standin"
	"github.com/lilackeel/lilackeel/standin/caller"
)

// The settings of a soak: go test ./e2e -run TestSoak -args -soak.seed 1 -soak.seeds 50 -soak.length 30s
var (
	soakSeed   = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds  = flag.Uint64("soak.seeds", 1, "number of seeds")
	soakLength = flag.Duration("soak.length", 20*time.Second, "time with callers and faults for each seed")
)

const (
	// soakCallers is the number of callers at a time.
	soakCallers = 8
	// callTimeout bounds one try.
	callTimeout = 8 * time.Second
	// callTries bounds the tries of a call whose end is not known.
	callTries = 6
)

// TestSoak runs the daemons as separate processes under faults from outside, in overlapping
// series that come from a seed alone, with callers and an operator that go on all the while.
// Whatever callers saw must hold against what the endpoints have run, and nothing accepted may
// be lost.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel() // it mostly waits
			newSoak(t, seed).run(t)
		})
	}
}

// soak is one site under one plan.
type soak struct {
	*site
	ledger
	seed    uint64
	daemons []*process
	// admins are the addresses of the daemons' metrics.
	admins []string
	// links are between the replicas, to the agents, and from each entry and agent to the
	// replicas.
	links []*forwarder
	plan  plan
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{site: allocate(t, replicas), seed: seed}
	s.peers = s.link(t, s.control)
	s.advertised = s.link(t, s.agentAddrs)
	for i := range hosts {
		for _, daemon := range []string{fmt.Sprint("entry-", i), fmt.Sprint("agent-", i)} {
			s.controlOf[daemon] = s.link(t, s.control)
		}
	}
	s.startAll(t)
	s.admins = append(append(append(s.admins, s.entryAdmin...), s.agentAdmin...), s.controlAdmin...)
	s.daemons = append(append(append(s.daemons, s.fronts...), s.agents...), s.controls...)
	s.plan = newPlan(seed, len(s.daemons), len(s.links), *soakLength)
	t.Logf("daemons 0 and 1 are entries, 2 and 3 agents, the rest control replicas; plan: %v", s.plan)
	return s
}

// link puts links in front of some addresses, and returns the addresses of the links.
func (s *soak) link(t *testing.T, addrs []string) []string {
	t.Helper()
	links, fronts := forwardTo(t, addrs)
	s.links = append(s.links, links...)
	return fronts
}

func (s *soak) run(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), *soakLength)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.harm(t) })
	for i := range soakCallers {
		group.Go(func() { s.call(ctx, rand.New(rand.NewPCG(s.seed, uint64(i))), i) })
	}
	group.Go(func() { s.limit(t) })
	group.Go(func() { s.pushBack(t) })
	s.operate(ctx, t)
	group.Wait()
	quiet := time.Now()
	s.awaitServing(t)
	s.awaitVoters(t)
	s.awaitLevels(t)
	t.Logf("served again %v after the last fault", time.Since(quiet))
	for _, wrong := range s.wrongs(s.allRuns(t)) {
		t.Error(wrong)
	}
	configuration := s.configuration(t)
	names := map[string]bool{}
	for _, w := range configuration.GetWorkspaces() {
		names[w.GetName()] = true
	}
	is.Equal(s.missing(names), []string{}) // what was accepted is there
	answered := 0
	for i := range s.calls {
		if s.calls[i].answered {
			answered++
		}
	}
	whole := 0
	for i := range s.chats {
		if s.chats[i].result.Complete {
			whole++
		}
	}
	t.Logf("%d faults, %d intents, %d calls (%d answered), %d chats (%d whole)", len(s.harms), len(s.intents), len(s.calls), answered, len(s.chats), whole)
	is.True(answered > 0 && whole > 0)
}

// harm carries out the plan. What is being harmed is left alone.
func (s *soak) harm(t *testing.T) {
	var group sync.WaitGroup
	daemons, links := make([]sync.Mutex, len(s.daemons)), make([]sync.Mutex, len(s.links))
	begun := time.Now()
	for _, f := range s.plan {
		time.Sleep(time.Until(begun.Add(f.at)))
		onLink := f.kind == muted || f.kind == broken
		busy := &daemons[f.target%len(daemons)]
		if onLink {
			busy = &links[f.target]
		}
		if !busy.TryLock() {
			continue
		}
		s.mu.Lock()
		at := len(s.harms)
		s.harms = append(s.harms, harm{fault: f, begun: time.Now()})
		s.mu.Unlock()
		group.Go(func() {
			defer busy.Unlock()
			switch {
			case onLink:
				s.links[f.target].harmed(f)
			case f.kind == wiped:
				s.wipe(t)
			default:
				s.daemons[f.target].harmed(t, f)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.harms[at].end = time.Now()
		})
	}
	group.Wait()
}

const (
	// soakRate is the limit, in requests a second, that the first service names in the second
	// half of a soak, and rateWindow the time in which its requests are counted.
	soakRate   = 2
	rateWindow = 4 * time.Second
	// rateKnown is how long after the naming the count begins: a call may be under way.
	rateKnown = time.Second
)

// limit has a service name a rate limit, and counts what it gets from all entries together.
func (s *soak) limit(t *testing.T) {
	time.Sleep(*soakLength / 2)
	s.setFaults(t, 0, standin.Faults{RateLimit: strconv.Itoa(soakRate)})
	named := time.Now()
	time.Sleep(*soakLength/2 - quietTime)
	got := s.mostArrivals(t, 0, rateWindow, time.Since(named)-rateKnown)
	t.Logf("the limited service got %d requests in %v at most", got, rateWindow)
	if err := overRate(got); err != nil {
		t.Error(err)
	}
	s.setFaults(t, 0, standin.Faults{})
}

// overRate returns an error for more requests than one and a half times the limit allows, and
// five.
func overRate(got int) error {
	if allowed := int(1.5*soakRate*rateWindow.Seconds()) + 5; got > allowed {
		return fmt.Errorf("a service that names %d requests a second got %d in %v, allowed %d", soakRate, got, rateWindow, allowed)
	}
	return nil
}

const (
	// soakPause is the pause that the last service asks for in the second quarter of a soak, and
	// pauseAllowed what it may get in the rest of one, half a second after the rejection.
	soakPause    = 2 * time.Second
	pauseAllowed = 2
)

// pushBack has a service reject everything and ask for pauses, and counts what it gets in them.
func (s *soak) pushBack(t *testing.T) {
	last := len(s.services) - 1
	time.Sleep(*soakLength / 4)
	s.setFaults(t, last, standin.Faults{RetryAfter: strconv.Itoa(int(soakPause.Seconds()))})
	asked := time.Now()
	time.Sleep(*soakLength / 4)
	got, err := strconv.Atoi(strings.TrimSpace(string(s.list(t, last, "/standin/paused"))))
	if err != nil {
		t.Error(err)
	}
	restarts := s.agentRestarts(last, asked)
	t.Logf("the service that asks for pauses got %d requests in one at most; its agent was started %d times", got, restarts)
	if err := overPause(got, restarts); err != nil {
		t.Error(err)
	}
	s.setFaults(t, last, standin.Faults{})
}

// agentRestarts is how often the agent before a service has been stopped or killed since a time, or
// was down at that time.
func (s *soak) agentRestarts(service int, since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarts := 0
	for _, h := range s.harms {
		ended := h.end.IsZero() || h.end.After(since)
		if h.fault.target == len(s.fronts)+service && (h.fault.kind == stopped || h.fault.kind == killed) && ended {
			restarts++
		}
	}
	return restarts
}

// overPause returns an error for more requests than a service in a pause may get. An agent that has
// started anew knows of no pause until the first answer: each caller may have a request under way.
func overPause(got, restarts int) error {
	if allowed := pauseAllowed + restarts*soakCallers; got > allowed {
		return fmt.Errorf("a service that asked for a pause of %v got %d requests in it, allowed %d", soakPause, got, allowed)
	}
	return nil
}

// mostArrivals returns the most requests that a service got within any window of the last part of
// the time.
func (s *soak) mostArrivals(t *testing.T, service int, window, last time.Duration) int {
	path := fmt.Sprintf("/standin/arrivals?window_ms=%d&last_ms=%d", window.Milliseconds(), last.Milliseconds())
	got, err := strconv.Atoi(strings.TrimSpace(string(s.list(t, service, path))))
	if err != nil {
		t.Error(err)
	}
	return got
}

// setFaults switches the faults of a stand-in service.
func (s *soak) setFaults(t *testing.T, i int, faults standin.Faults) {
	body, err := json.Marshal(faults)
	if err != nil {
		t.Error(err)
		return
	}
	response, err := http.Post("http://"+s.services[i]+"/standin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	_ = response.Body.Close()
}

// wipe loses the disk of the last replica, which joins anew.
func (s *soak) wipe(t *testing.T) {
	last := replicas - 1
	replica := s.controls[last]
	replica.kill()
	if err := os.RemoveAll(s.data[last]); err != nil {
		t.Error(err)
	}
	if !slices.Contains(replica.args, "-join") {
		replica.args = append(replica.args, "-join")
	}
	replica.run(t)
}

// operate states an intent after the other, each confirmed before the next, and sees that the
// revision never goes back.
func (s *soak) operate(ctx context.Context, t *testing.T) {
	var last uint64
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("soak-%d", i)
		revision := s.accept(t, &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}})
		if revision <= last {
			t.Errorf("intent %d got revision %d after %d", i, revision, last)
		}
		last = revision
		note(&s.ledger, &s.intents, name)
		time.Sleep(300 * time.Millisecond)
	}
}

// call sends requests until ctx ends. Connections are kept open all the while.
func (s *soak) call(ctx context.Context, rng *rand.Rand, number int) {
	c := s.caller()
	c.Client = &http.Client{Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("soak-%d-%d-%d", s.seed, number, i)
		if rng.IntN(2) == 0 {
			s.chat(c, rng, name)
		} else {
			s.single(c, rng, name)
		}
	}
}

func (s *soak) chat(c *caller.Caller, rng *rand.Rand, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	seen := seenChat{prompt: prompt, begun: time.Now()}
	seen.result, seen.err = c.Chat(ctx, rng.IntN(hosts), prompt, 4+rng.IntN(60))
	seen.end = time.Now()
	note(&s.ledger, &s.chats, seen)
	pauseAfter(seen.err, seen.result.Status)
}

// single sends a call that must run at most once, again under its key at any entry as long as
// its end is not known.
func (s *soak) single(c *caller.Caller, rng *rand.Rand, body string) {
	key := caller.NewKey()
	seen := seenCall{body: body, refused: true}
	for range callTries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := c.Call(ctx, rng.IntN(hosts), http.MethodPost, swapsPath, []byte(body), key)
		cancel()
		seen.answered = result.Complete && strings.Contains(string(result.Body), body)
		seen.refused = seen.refused && err == nil && result.Outcome == outcomeNotRun
		pauseAfter(err, result.Status)
		if seen.answered || err == nil && result.Outcome == outcomeNotRun && seen.refused {
			break
		}
	}
	note(&s.ledger, &s.calls, seen)
}

// pauseAfter keeps callers from spinning while nothing takes their requests.
func pauseAfter(err error, status int) {
	if err != nil || status >= http.StatusBadRequest {
		time.Sleep(100 * time.Millisecond)
	}
}

// Levels of a daemon at rest. A leak of one each request would pass them within one seed.
const (
	mostGoroutines  = 300
	mostDescriptors = 150
)

// awaitLevels waits until no daemon holds more than one at rest does.
func (s *soak) awaitLevels(t *testing.T) {
	t.Helper()
	for i, daemon := range s.daemons {
		eventually(t, daemon.name+" is back at its level", func() error {
			descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", daemon.cmd.Process.Pid))
			if err != nil {
				return err
			}
			goroutines, err := strconv.Atoi(s.metric(t, s.admins[i], "go_goroutines"))
			if err != nil {
				return err
			}
			return overLevel(goroutines, len(descriptors))
		})
	}
}

func overLevel(goroutines, descriptors int) error {
	if goroutines > mostGoroutines || descriptors > mostDescriptors {
		return fmt.Errorf("%d goroutines and %d descriptors at rest", goroutines, descriptors)
	}
	return nil
}

// allRuns returns how often each body has run at all stand-in services.
func (s *soak) allRuns(t *testing.T) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for i := range s.services {
		var effects []struct {
			Body string `json:"body"`
		}
		if err := json.NewDecoder(bytes.NewReader(s.list(t, i, swapsPath))).Decode(&effects); err != nil {
			t.Fatal(err)
		}
		for _, e := range effects {
			runs[e.Body]++
		}
	}
	return runs
}

// TestTheChecksOfTheSoakCanFail puts a fault before each check.
func TestTheChecksOfTheSoakCanFail(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	end := begun.Add(time.Second)
	whole := caller.Result{Status: 200, Complete: true, Body: []byte("data: own")}
	for name, c := range map[string]struct {
		ledger *ledger
		runs   map[string]int
		wrongs int
	}{
		"all is well":         {&ledger{calls: []seenCall{{body: "a", answered: true}}, chats: []seenChat{{prompt: "own", result: whole}}}, map[string]int{"a": 1}, 0},
		"ran twice":           {&ledger{calls: []seenCall{{body: "a"}}}, map[string]int{"a": 2}, 1},
		"refused, and ran":    {&ledger{calls: []seenCall{{body: "a", refused: true}}}, map[string]int{"a": 1}, 1},
		"answered, never ran": {&ledger{calls: []seenCall{{body: "a", answered: true}}}, nil, 1},
		"answer of another":   {&ledger{chats: []seenChat{{prompt: "other", result: whole}}}, nil, 1},
		"cut by a planned stop": {&ledger{
			chats: []seenChat{{result: caller.Result{Status: 200}, err: errors.New("cut"), begun: begun, end: end}},
			harms: []harm{{fault: plannedFault{kind: stopped}, begun: begun, end: end}},
		}, nil, 1},
		"cut by a kill": {&ledger{
			chats: []seenChat{{result: caller.Result{Status: 200}, begun: begun, end: end}},
			harms: []harm{{fault: plannedFault{kind: killed}, begun: begun, end: end}},
		}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(c.ledger.wrongs(c.runs)), c.wrongs) })
	}
	is.NoErr(overLevel(mostGoroutines, mostDescriptors))
	is.True(overLevel(mostGoroutines+1, 0) != nil)
	is.True(overLevel(0, mostDescriptors+1) != nil)
	is.NoErr(overRate(17))
	is.True(overRate(18) != nil)
	is.NoErr(overPause(pauseAllowed, 0))
	is.True(overPause(pauseAllowed+1, 0) != nil)
	is.NoErr(overPause(pauseAllowed+soakCallers, 1))
	lost := ledger{intents: []string{"a", "b"}}
	is.Equal(lost.missing(map[string]bool{"a": true}), []string{"b"})
	is.Equal(newPlan(3, 7, 17, time.Minute), newPlan(3, 7, 17, time.Minute)) // a seed says everything
}
