package pick

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/fault"
)

func request() *Request {
	return &Request{Pool: "pool", Model: "m", Workspace: "crew", Prompt: chain(1, 40), PromptTokens: 2560, MaxTokens: 100}
}

// picks picks endpoints for n calls and returns the number of calls per endpoint.
func (f *fleet) picks(t *testing.T, seed uint64, n int, r *Request) map[string]int {
	t.Helper()
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	counts := map[string]int{}
	for range n {
		chosen, _, err := f.picker.Pick(time.Second, rng, r)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.ID]++
	}
	return counts
}

// TestLeavingEndpointIsNeverPicked covers the case in which a leaving endpoint
// would have the lowest cost: it is the only one that caches the prompt's prefix.
func TestLeavingEndpointIsNeverPicked(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{4, 64} {
		f := newFleet(size)
		leavingID := f.ids[size/2]
		f.index.Apply(0, prefix.Event{Endpoint: leavingID, Incarnation: 1, Seq: 1, Stored: request().Prompt})
		is.True(f.picks(t, 1, 200, request())[leavingID] > 100) // the prefix holder is preferred

		leaving, _ := f.table.Get(leavingID)
		leaving.State, leaving.Revision = endpoint.Leaving, 2
		f.table.Apply([]endpoint.Endpoint{leaving}, nil)
		is.Equal(f.picks(t, 1, 2000, request())[leavingID], 0)
	}
}

// TestConcurrentPicks runs selections concurrently with updates of all tables; run it
// with the race detector too. No selection that begins after the only prefix holder
// has started to leave may pick it.
func TestConcurrentPicks(t *testing.T) {
	f := newFleet(64)
	leavingID := f.ids[7]
	var leavingApplied atomic.Bool
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(worker), 3))
			for i := range 2000 {
				now := time.Duration(i) * time.Millisecond
				after := leavingApplied.Load()
				chosen, _, err := f.picker.Pick(now, rng, request())
				if err != nil || after && chosen.ID == leavingID {
					t.Error(chosen.ID, err)
					return
				}
				call := f.loads.Sent(now, chosen.ID, load.Work{PromptTokens: 100})
				f.index.Sent(now, chosen.ID, chain(9, 40))
				f.outliers.Observe(now, "group-0", chosen.ID, outlier.Sample{Latency: time.Millisecond})
				f.loads.FirstToken(now, &call)
				f.loads.Done(now, &call, load.Result{Tokens: 10})
			}
		})
	}
	for i := range 200 {
		f.loads.Report(time.Duration(i), f.ids[i%64], load.Report{Running: i % 5})
		f.index.Apply(0, prefix.Event{Endpoint: leavingID, Incarnation: 1, Seq: uint64(i + 1), Stored: request().Prompt})
		f.outliers.Tick(time.Duration(i))
	}
	leaving, _ := f.table.Get(leavingID)
	leaving.State, leaving.Revision = endpoint.Leaving, 2
	f.table.Apply([]endpoint.Endpoint{leaving}, nil)
	leavingApplied.Store(true)
	group.Wait()
}

// TestEjectedAndTriedEndpoints checks that an ejected rank gets no calls while others
// are available, that an endpoint is not tried twice for a call, and that an ejected
// endpoint is used if there is no other.
func TestEjectedAndTriedEndpoints(t *testing.T) {
	is := is.New(t)
	f := newFleet(16)
	stalled := f.ids[0]
	f.index.Apply(0, prefix.Event{Endpoint: stalled, Incarnation: 1, Seq: 1, Stored: request().Prompt})
	for second := range 5 {
		for _, id := range f.ids {
			for range outlier.DefaultMinSamples {
				latency := 5 * time.Millisecond
				if id == stalled {
					latency *= 6
				}
				f.outliers.Observe(0, "group-0", id, outlier.Sample{Latency: latency})
			}
		}
		f.outliers.Tick(time.Duration(second) * 100 * time.Millisecond)
	}
	is.Equal(f.picks(t, 1, 500, request())[stalled], 0)

	retry := request()
	retry.Exclude = f.ids[1:]
	is.Equal(f.picks(t, 1, 50, retry)[stalled], 50)
	retry.Exclude = f.ids
	_, _, err := f.picker.Pick(time.Second, rand.New(rand.NewPCG(1, 1)), retry)
	is.True(fault.Is(err, fault.Unavailable))
}

// TestUnderreportingEndpointIsAvoided checks that an endpoint that reports no load
// loses its calls if its first tokens arrive seconds late.
func TestUnderreportingEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	underreporter := f.ids[0]
	report := func(now time.Duration) {
		for _, id := range f.ids {
			r := load.Report{Running: 6, PrefillTokens: 8000, PrefillRate: 10000, StepTime: 5 * time.Millisecond}
			if id == underreporter {
				r.Running, r.PrefillTokens = 0, 0
			}
			f.loads.Report(now, id, r)
		}
	}
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		report(now)
	}
	r := request()
	r.Prompt = nil
	is.True(f.picks(t, 3, 100, r)[underreporter] > 90) // its reports are trusted at first
	for range 20 {
		call := f.loads.Sent(time.Second-4*time.Second, underreporter, load.Work{PromptTokens: 2560})
		f.loads.FirstToken(time.Second, &call)
		f.loads.Done(time.Second, &call, load.Result{Tokens: 100})
	}
	is.True(f.picks(t, 3, 100, r)[underreporter] < 10)
}

// TestRefusals checks the kinds of refusal, and that RetryAfter is set where a retry
// can help.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := newFleet(64)
	rng := rand.New(rand.NewPCG(1, 1))
	refuse := func(change func(r *Request)) *fault.Error {
		r := request()
		change(r)
		_, _, err := f.picker.Pick(time.Second, rng, r)
		if err == nil {
			t.Fatal("picked", fmt.Sprint(r))
		}
		return fault.As(err)
	}
	is.Equal(refuse(func(r *Request) { r.Pool = "none" }).Kind, fault.NotFound)
	is.Equal(refuse(func(r *Request) { r.Adapter = "none" }).Kind, fault.NotFound)
	is.Equal(refuse(func(r *Request) { r.Deadline = time.Millisecond }).Kind, fault.DeadlineTooShort)

	for _, id := range f.ids {
		f.loads.Report(time.Second, id, load.Report{Running: 32, Waiting: 40, PrefillTokens: 40000, PrefillRate: 10000, StepTime: 5 * time.Millisecond})
	}
	full := refuse(func(*Request) {})
	is.Equal(full.Kind, fault.Overloaded)
	is.True(full.RetryAfter > time.Second)

	var allStopped []endpoint.Endpoint
	for _, e := range f.table.Snapshot().All() {
		stopped := *e
		stopped.State, stopped.Revision = endpoint.Stopped, 2
		allStopped = append(allStopped, stopped)
	}
	f.table.Apply(allStopped, nil)
	none := refuse(func(*Request) {})
	is.Equal(none.Kind, fault.Unavailable)
	is.True(none.RetryAfter > 0)
}
