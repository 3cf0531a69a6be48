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

// The settings of a soak test: go test ./e2e -run TestSoak -args -soak.seed 1 -soak.seeds 50
// -soak.length 30s
var (
	soakSeed     = flag.Uint64("soak.seed", 1, "first seed of the soak test")
	soakSeeds    = flag.Uint64("soak.seeds", 1, "number of seeds")
	soakDuration = flag.Duration("soak.length", 20*time.Second, "duration of load and faults per seed")
)

const (
	// soakCallers is the number of concurrent callers.
	soakCallers = 8
	// callTimeout bounds one attempt.
	callTimeout = 8 * time.Second
	// maxCallAttempts bounds the attempts of a call whose outcome is unknown.
	maxCallAttempts = 6
)

// TestSoak runs the daemons as separate processes and injects overlapping series of faults from
// outside, determined by a seed, while callers and an operator keep sending requests. What
// callers observed must agree with what the endpoints have run, and nothing accepted may be
// lost.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel() // mostly waiting
			newSoak(t, seed).run(t)
		})
	}
}

// soak is one site under one plan.
type soak struct {
	*site
	observations
	seed    uint64
	daemons []*process
	// adminAddrs are the addresses of the daemons' metrics.
	adminAddrs []string
	// forwarders are between the replicas, in front of the agents, and between each entry or
	// agent and the replicas.
	forwarders []*forwarder
	plan       faultPlan
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{site: newStoppedSite(t, replicas), seed: seed}
	s.peerAddrs = s.addForwarders(t, s.controlAddrs)
	s.advertisedAddrs = s.addForwarders(t, s.agentAddrs)
	for i := range hosts {
		for _, daemon := range []string{fmt.Sprint("entry-", i), fmt.Sprint("agent-", i)} {
			s.controlAddrsFor[daemon] = s.addForwarders(t, s.controlAddrs)
		}
	}
	for _, entry := range s.entryProcs {
		entry.args = append(entry.args, soakBodyMemory)
	}
	s.startAll(t)
	s.adminAddrs = append(append(append(s.adminAddrs, s.entryAdminAddrs...), s.agentAdminAddrs...), s.controlAdminAddrs...)
	s.daemons = append(append(append(s.daemons, s.entryProcs...), s.agentProcs...), s.controlProcs...)
	s.plan = newPlan(seed, len(s.daemons), len(s.forwarders), *soakDuration)
	t.Logf("daemons 0 and 1 are entries, 2 and 3 agents, the rest control replicas; plan: %v", s.plan)
	return s
}

// addForwarders puts forwarders in front of addresses and returns the forwarders' addresses.
func (s *soak) addForwarders(t *testing.T, addrs []string) []string {
	t.Helper()
	forwarders, forwarderAddrs := startForwarders(t, addrs)
	s.forwarders = append(s.forwarders, forwarders...)
	return forwarderAddrs
}

func (s *soak) run(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), *soakDuration)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { s.injectFaults(t) })
	for i := range soakCallers {
		wg.Go(func() { s.sendRequests(ctx, rand.New(rand.NewPCG(s.seed, uint64(i))), i) })
	}
	wg.Go(func() { s.checkRateLimit(t) })
	wg.Go(func() {
		s.checkRetryAfter(t)
		s.cutResponses(t)
	})
	s.acceptIntents(ctx, t)
	wg.Wait()
	faultsEnded := time.Now()
	s.awaitServing(t)
	s.awaitVoters(t)
	s.awaitIdleResources(t)
	t.Logf("service restored %v after the last fault", time.Since(faultsEnded))
	for _, violation := range s.violations(s.runCounts(t)) {
		t.Error(violation)
	}
	configuration := s.configuration(t)
	names := map[string]bool{}
	for _, w := range configuration.GetWorkspaces() {
		names[w.GetName()] = true
	}
	is.Equal(s.missingIntents(names), []string{}) // every accepted intent is in the configuration
	answered := 0
	for i := range s.calls {
		if s.calls[i].answered {
			answered++
		}
	}
	complete := 0
	for i := range s.chats {
		if s.chats[i].result.Complete {
			complete++
		}
	}
	t.Logf("%d faults, %d intents, %d calls (%d answered), %d chats (%d complete)", len(s.faults), len(s.intents), len(s.calls), answered, len(s.chats), complete)
	is.True(answered > 0 && complete > 0)
}

// injectFaults carries out the plan. It skips a fault whose target is still under an earlier
// one.
func (s *soak) injectFaults(t *testing.T) {
	var wg sync.WaitGroup
	daemons, forwarders := make([]sync.Mutex, len(s.daemons)), make([]sync.Mutex, len(s.forwarders))
	start := time.Now()
	for _, f := range s.plan {
		time.Sleep(time.Until(start.Add(f.at)))
		onForwarder := f.kind == partitioned || f.kind == reset
		busy := &daemons[f.target%len(daemons)]
		if onForwarder {
			busy = &forwarders[f.target]
		}
		if !busy.TryLock() {
			continue
		}
		s.mu.Lock()
		index := len(s.faults)
		s.faults = append(s.faults, injectedFault{planned: f, start: time.Now()})
		s.mu.Unlock()
		wg.Go(func() {
			defer busy.Unlock()
			switch {
			case onForwarder:
				s.forwarders[f.target].inject(f)
			case f.kind == diskLost:
				s.loseDisk(t)
			default:
				s.daemons[f.target].inject(t, f)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults[index].end = time.Now()
		})
	}
	wg.Wait()
}

const (
	// soakRateLimit is the limit, in requests per second, that the first service announces in
	// the second half of a soak test. rateWindow is the window in which its requests are
	// counted.
	soakRateLimit = 2
	rateWindow    = 4 * time.Second
	// rateLimitDelay is the time between the announcement and the start of the count, because a
	// call may be in flight.
	rateLimitDelay = time.Second
)

// checkRateLimit makes a service announce a rate limit and counts the requests that it gets
// from all entries together.
func (s *soak) checkRateLimit(t *testing.T) {
	time.Sleep(*soakDuration / 2)
	s.setFaults(t, 0, standin.Faults{RateLimit: strconv.Itoa(soakRateLimit)})
	announcedAt := time.Now()
	time.Sleep(*soakDuration/2 - faultFreeTime)
	got := s.maxArrivals(t, 0, rateWindow, time.Since(announcedAt)-rateLimitDelay)
	t.Logf("the rate-limited service got at most %d requests in any %v", got, rateWindow)
	if err := checkMaxArrivals(got); err != nil {
		t.Error(err)
	}
	s.setFaults(t, 0, standin.Faults{})
}

// checkMaxArrivals returns an error for more than one and a half times the requests that the
// limit allows, plus five.
func checkMaxArrivals(got int) error {
	if allowed := int(1.5*soakRateLimit*rateWindow.Seconds()) + 5; got > allowed {
		return fmt.Errorf("a service with a limit of %d requests per second got %d in %v, allowed %d", soakRateLimit, got, rateWindow, allowed)
	}
	return nil
}

const (
	// soakRetryAfter is the Retry-After that the last service sends in the second quarter of a
	// soak test. maxPauseRequests is the number of requests that it may get in the rest of such
	// a pause, from half a second after the rejection.
	soakRetryAfter   = 2 * time.Second
	maxPauseRequests = 2
)

// checkRetryAfter makes a service reject everything with Retry-After and counts the requests
// that it gets during the pauses.
func (s *soak) checkRetryAfter(t *testing.T) {
	last := len(s.serviceAddrs) - 1
	time.Sleep(*soakDuration / 4)
	s.setFaults(t, last, standin.Faults{RetryAfter: strconv.Itoa(int(soakRetryAfter.Seconds()))})
	requestedAt := time.Now()
	time.Sleep(*soakDuration / 4)
	got, err := strconv.Atoi(strings.TrimSpace(string(s.listEffects(t, last, "/standin/paused"))))
	if err != nil {
		t.Error(err)
	}
	restarts := s.agentRestarts(last, requestedAt)
	t.Logf("the service that rejects with Retry-After got at most %d requests in one pause; its agent was restarted %d times", got, restarts)
	if err := checkPauseArrivals(got, restarts); err != nil {
		t.Error(err)
	}
	s.setFaults(t, last, standin.Faults{})
}

// cutResponses makes the last service stop within the heads of its responses and close, for a quarter
// of the test. None of them may look like an answer; see observations.violations.
func (s *soak) cutResponses(t *testing.T) {
	last := len(s.serviceAddrs) - 1
	s.setFaults(t, last, standin.Faults{RawResponse: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Le"})
	time.Sleep(*soakDuration/4 - faultFreeTime/2)
	s.setFaults(t, last, standin.Faults{})
}

// agentRestarts returns how often the agent of a service was stopped or killed since a time,
// including a stop or kill that was still in progress at that time.
func (s *soak) agentRestarts(service int, since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarts := 0
	for _, injected := range s.faults {
		ended := injected.end.IsZero() || injected.end.After(since)
		if injected.planned.target == len(s.entryProcs)+service && (injected.planned.kind == stopped || injected.planned.kind == killed) && ended {
			restarts++
		}
	}
	return restarts
}

// checkPauseArrivals returns an error for more requests than a service may get in a pause. A
// restarted agent does not know of the pause until the first response, and by then each caller
// may have a request in flight.
func checkPauseArrivals(got, restarts int) error {
	if allowed := maxPauseRequests + restarts*soakCallers; got > allowed {
		return fmt.Errorf("a service that rejected with Retry-After %v got %d requests in the pause, allowed %d", soakRetryAfter, got, allowed)
	}
	return nil
}

// maxArrivals returns the largest number of requests that a service got within any window of
// the given length during the past period of length last.
func (s *soak) maxArrivals(t *testing.T, service int, window, last time.Duration) int {
	path := fmt.Sprintf("/standin/arrivals?window_ms=%d&last_ms=%d", window.Milliseconds(), last.Milliseconds())
	got, err := strconv.Atoi(strings.TrimSpace(string(s.listEffects(t, service, path))))
	if err != nil {
		t.Error(err)
	}
	return got
}

// setFaults replaces the injected faults of a stand-in service.
func (s *soak) setFaults(t *testing.T, i int, faults standin.Faults) {
	body, err := json.Marshal(faults)
	if err != nil {
		t.Error(err)
		return
	}
	response, err := http.Post("http://"+s.serviceAddrs[i]+"/standin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	_ = response.Body.Close()
}

// loseDisk deletes the data of the last replica and lets it rejoin.
func (s *soak) loseDisk(t *testing.T) {
	last := replicas - 1
	replica := s.controlProcs[last]
	replica.kill()
	if err := os.RemoveAll(s.dataDirs[last]); err != nil {
		t.Error(err)
	}
	if !slices.Contains(replica.args, "-join") {
		replica.args = append(replica.args, "-join")
	}
	replica.run(t)
}

// acceptIntents submits intents one after the other, each accepted before the next, and checks
// that the revision increases.
func (s *soak) acceptIntents(ctx context.Context, t *testing.T) {
	var last uint64
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("soak-%d", i)
		revision := s.acceptIntent(t, &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}})
		if revision <= last {
			t.Errorf("intent %d got revision %d after %d", i, revision, last)
		}
		last = revision
		record(&s.observations, &s.intents, name)
		time.Sleep(300 * time.Millisecond)
	}
}

// sendRequests sends requests until ctx ends. It keeps its connections open.
func (s *soak) sendRequests(ctx context.Context, rng *rand.Rand, number int) {
	c := s.caller()
	c.Client = &http.Client{Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("soak-%d-%d-%d", s.seed, number, i)
		if rng.IntN(2) == 0 {
			s.sendChat(c, rng, name)
		} else {
			s.sendCall(c, rng, name)
		}
	}
}

func (s *soak) sendChat(c *caller.Caller, rng *rand.Rand, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	chat := observedChat{prompt: prompt, start: time.Now()}
	chat.result, chat.err = c.Chat(ctx, rng.IntN(hosts), prompt, 4+rng.IntN(60))
	chat.end = time.Now()
	record(&s.observations, &s.chats, chat)
	backOffAfterFailure(chat.err, chat.result.Status)
}

const (
	// largeBody is the size of a large body in bytes; one in largeBodyShare calls has one. Two of them
	// at once exceed soakBodyMemory.
	largeBody      = 512 << 10
	largeBodyShare = 5
	soakBodyMemory = "-body-memory=2MiB"
)

// sendCall sends a call that must run at most once. It repeats the call with the same key, at
// any entry, while its outcome is unknown.
func (s *soak) sendCall(c *caller.Caller, rng *rand.Rand, body string) {
	key := caller.NewKey()
	if rng.IntN(largeBodyShare) == 0 {
		body += strings.Repeat("x", largeBody)
	}
	c.Chunked = rng.IntN(2) == 0
	call := observedCall{body: body, refused: true}
	for range maxCallAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := c.Call(ctx, rng.IntN(hosts), http.MethodPost, swapsPath, []byte(body), key)
		cancel()
		call.answered = result.Complete && strings.Contains(string(result.Body), body)
		call.refused = call.refused && err == nil && result.Outcome == outcomeNotRun
		backOffAfterFailure(err, result.Status)
		if call.answered || err == nil && result.Outcome == outcomeNotRun && call.refused {
			break
		}
	}
	record(&s.observations, &s.calls, call)
}

// backOffAfterFailure keeps callers from spinning while their requests fail.
func backOffAfterFailure(err error, status int) {
	if err != nil || status >= http.StatusBadRequest {
		time.Sleep(100 * time.Millisecond)
	}
}

// Limits for an idle daemon. A leak of one goroutine or descriptor per request would exceed
// them within one seed.
const (
	maxIdleGoroutines  = 300
	maxIdleDescriptors = 150
)

// awaitIdleResources waits until every daemon is below the limits for an idle daemon.
func (s *soak) awaitIdleResources(t *testing.T) {
	t.Helper()
	for i, daemon := range s.daemons {
		eventually(t, daemon.name+" returns to idle resource use", func() error {
			descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", daemon.cmd.Process.Pid))
			if err != nil {
				return err
			}
			goroutines, err := strconv.Atoi(s.readMetric(t, s.adminAddrs[i], "go_goroutines"))
			if err != nil {
				return err
			}
			return checkIdleResources(goroutines, len(descriptors))
		})
	}
}

func checkIdleResources(goroutines, descriptors int) error {
	if goroutines > maxIdleGoroutines || descriptors > maxIdleDescriptors {
		return fmt.Errorf("%d goroutines and %d descriptors when idle", goroutines, descriptors)
	}
	return nil
}

// runCounts returns how often each body has run on all stand-in services.
func (s *soak) runCounts(t *testing.T) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for i := range s.serviceAddrs {
		var effects []struct {
			Body string `json:"body"`
		}
		if err := json.NewDecoder(bytes.NewReader(s.listEffects(t, i, swapsPath))).Decode(&effects); err != nil {
			t.Fatal(err)
		}
		for _, e := range effects {
			runs[e.Body]++
		}
	}
	return runs
}

// TestSoakChecksDetectViolations passes a violation to each check.
func TestSoakChecksDetectViolations(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	end := start.Add(time.Second)
	completeResult := caller.Result{Status: 200, Complete: true, Body: []byte("data: own")}
	for name, c := range map[string]struct {
		observed   *observations
		runs       map[string]int
		violations int
	}{
		"no violation":                {&observations{calls: []observedCall{{body: "a", answered: true}}, chats: []observedChat{{prompt: "own", result: completeResult}}}, map[string]int{"a": 1}, 0},
		"ran twice":                   {&observations{calls: []observedCall{{body: "a"}}}, map[string]int{"a": 2}, 1},
		"refused, but ran":            {&observations{calls: []observedCall{{body: "a", refused: true}}}, map[string]int{"a": 1}, 1},
		"answered, but never ran":     {&observations{calls: []observedCall{{body: "a", answered: true}}}, nil, 1},
		"response of another request": {&observations{chats: []observedChat{{prompt: "other", result: completeResult}}}, nil, 1},
		"interrupted by a graceful stop": {&observations{
			chats:  []observedChat{{result: caller.Result{Status: 200}, err: errors.New("cut"), start: start, end: end}},
			faults: []injectedFault{{planned: plannedFault{kind: stopped}, start: start, end: end}},
		}, nil, 1},
		"interrupted by a kill": {&observations{
			chats:  []observedChat{{result: caller.Result{Status: 200}, start: start, end: end}},
			faults: []injectedFault{{planned: plannedFault{kind: killed}, start: start, end: end}},
		}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(c.observed.violations(c.runs)), c.violations) })
	}
	is.NoErr(checkIdleResources(maxIdleGoroutines, maxIdleDescriptors))
	is.True(checkIdleResources(maxIdleGoroutines+1, 0) != nil)
	is.True(checkIdleResources(0, maxIdleDescriptors+1) != nil)
	is.NoErr(checkMaxArrivals(17))
	is.True(checkMaxArrivals(18) != nil)
	is.NoErr(checkPauseArrivals(maxPauseRequests, 0))
	is.True(checkPauseArrivals(maxPauseRequests+1, 0) != nil)
	is.NoErr(checkPauseArrivals(maxPauseRequests+soakCallers, 1))
	observed := observations{intents: []string{"a", "b"}}
	is.Equal(observed.missingIntents(map[string]bool{"a": true}), []string{"b"})
	is.Equal(newPlan(3, 7, 17, time.Minute), newPlan(3, 7, 17, time.Minute)) // a seed determines the whole plan
}
