package overhead

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lilackeel/lilackeel/standin"
)

// Sizes of the measurement.
const (
	// warmups is the number of calls before the samples that are counted.
	warmups = 200
	// samples is the number of calls of each kind that are counted.
	samples = 3000
	// loadWorkers make loadCalls calls in all.
	loadWorkers = 32
	loadCalls   = 20000
	// heldStreams is the number of streams held open at once.
	heldStreams = 2000
	// pickSamples is the number of calls counted for each number of endpoints.
	pickSamples = 1500
)

// Figures are what Run measures. Times are in microseconds.
type Figures struct {
	// Streamed is a streamed chat completion of one token, Read a call of the
	// service that may be repeated, Claimed one that may not.
	Streamed, Read, Claimed Comparison
	// Load is the cost of a request under load.
	Load RequestCost
	// Streams is what held streams cost.
	Streams StreamCost
	// Claims is the time of a claimed call by the number at once.
	Claims []ClaimLatency
	// Growth is the time of a model call by the number of endpoints.
	Growth []EndpointScaling
	// Token is the cost of one streamed token.
	Token TokenCost `json:"token"`
}

// Comparison sets the path against a direct call. The calls alternate, so that
// what else the machine does meets both alike.
type Comparison struct {
	// DirectP50 and DirectP99 are of direct calls, PathP50 and PathP99 of calls
	// by way of entry and agent.
	DirectP50, DirectP99, PathP50, PathP99 float64
	// AddedP50 and AddedP99 are what the path adds.
	AddedP50, AddedP99 float64
}

// Cost is what one request costs under load, for the whole process (caller,
// entry, agent and stand-in) and beyond a direct call.
type RequestCost struct {
	// RequestsPerSecond is the rate of completed requests.
	RequestsPerSecond float64
	// CPUMicros is the processor time of a request in microseconds, and
	// DirectCPUMicros that of a direct call.
	CPUMicros, DirectCPUMicros float64
	// Allocations is the number of heap allocations of a request, and
	// DirectAllocations that of a direct call.
	Allocations, DirectAllocations float64
	// AllocatedBytes is the size of the allocations of a request.
	AllocatedBytes float64
}

// StreamCost is what one held stream costs, for entry, agent, stand-in and
// caller together.
type StreamCost struct {
	// Held is the number of streams held at once.
	Held int
	// BytesPerStream is the memory of a stream through entry and agent.
	BytesPerStream float64
	// DirectBytesPerStream is the same for streams of the stand-in itself.
	DirectBytesPerStream float64
}

// AtOnce is the time of a claimed call when so many are under way at once.
type ClaimLatency struct {
	// Calls is the number of calls under way at once.
	Calls int
	// P50 and P99 are quantiles of the time of a call.
	P50, P99 float64
	// RequestsPerSecond is the rate of completed calls.
	RequestsPerSecond float64
	// PlainP50 is the median of completions, which need no claim, in the same
	// run.
	PlainP50 float64
}

// Growth is the time of a model call with a number of endpoints.
type EndpointScaling struct {
	// Endpoints is the number of endpoints in the fleet.
	Endpoints int
	// P50 and P99 are quantiles of the time of a call.
	P50, P99 float64
}

// Run takes all measurements, writes them to w in words and to
// outDir/overhead.json.
func Run(w io.Writer, seed uint64, outDir string) error {
	fmt.Fprintf(w, "overhead of entry and agent, seed %d, GOMAXPROCS %d, %s\n", seed, runtime.GOMAXPROCS(0), runtime.Version())
	var figures Figures
	for _, measure := range []func(io.Writer, *Figures) error{comparisons, underLoad, tokens, streams, claims, growth} {
		if err := measure(w, &figures); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(outDir, 0o750); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(outDir, "overhead.json"), text, 0o640)
}

// comparisons measures the three kinds of call one at a time.
func comparisons(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, each := range []struct {
		name         string
		result       *Comparison
		direct, path func() error
	}{
		{"streamed completion", &figures.Streamed, func() error { return f.Complete(f.EngineURL, 1) }, func() error { return f.Complete(f.EntryURL, 1) }},
		{"service read", &figures.Read, func() error { return f.CallIdempotent(f.ServiceURL) }, func() error { return f.CallIdempotent(f.EntryURL) }},
		{"claimed call (claims in memory)", &figures.Claimed, func() error { return f.CallNonIdempotentAt(f.ServiceURL) }, f.CallNonIdempotent},
	} {
		if err := each.result.take(each.direct, each.path); err != nil {
			return err
		}
		fmt.Fprintf(w, "%-32s direct p50 %6.0f us p99 %6.0f us; path p50 %6.0f us p99 %6.0f us; added p50 %6.0f us p99 %6.0f us\n", each.name,
			each.result.DirectP50, each.result.DirectP99, each.result.PathP50, each.result.PathP99, each.result.AddedP50, each.result.AddedP99)
	}
	return nil
}

// take makes the calls, direct and path in turn, and fills in the quantiles.
func (c *Comparison) take(direct, path func() error) error {
	var times [2][]time.Duration
	for i := range warmups + samples {
		for j, do := range []func() error{direct, path} {
			begun := time.Now()
			if err := do(); err != nil {
				return err
			}
			if i >= warmups {
				times[j] = append(times[j], time.Since(begun))
			}
		}
	}
	c.DirectP50, c.DirectP99 = quantiles(times[0])
	c.PathP50, c.PathP99 = quantiles(times[1])
	c.AddedP50, c.AddedP99 = c.PathP50-c.DirectP50, c.PathP99-c.DirectP99
	return nil
}

// quantiles returns the median and the 99th percentile in microseconds.
func quantiles(times []time.Duration) (p50, p99 float64) {
	slices.Sort(times)
	micros := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	return micros(times[len(times)/2]), micros(times[len(times)*99/100])
}

// underLoad measures what a streamed completion costs with many at once.
func underLoad(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	direct, err := load(func() error { return f.Complete(f.EngineURL, 8) })
	if err != nil {
		return err
	}
	path, err := load(func() error { return f.Complete(f.EntryURL, 8) })
	if err != nil {
		return err
	}
	path.DirectCPUMicros, path.DirectAllocations = direct.CPUMicros, direct.Allocations
	figures.Load = path
	fmt.Fprintf(w, "%d callers at once: %.0f requests/s; each %.0f us of processor and %.0f allocations (%.0f bytes), of which a direct call takes %.0f us and %.0f allocations\n",
		loadWorkers, path.RequestsPerSecond, path.CPUMicros, path.Allocations, path.AllocatedBytes, path.DirectCPUMicros, path.DirectAllocations)
	return nil
}

// load makes many calls by several workers.
func load(do func() error) (RequestCost, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, begun := processorTime(), time.Now()
	err := atOnce(loadWorkers, func() error {
		for range loadCalls / loadWorkers {
			if err := do(); err != nil {
				return err
			}
		}
		return nil
	})
	took, used := time.Since(begun), processorTime()-cpu
	runtime.ReadMemStats(&after)
	return RequestCost{
		RequestsPerSecond: loadCalls / took.Seconds(),
		CPUMicros:         float64(used.Microseconds()) / loadCalls,
		Allocations:       float64(after.Mallocs-before.Mallocs) / loadCalls,
		AllocatedBytes:    float64(after.TotalAlloc-before.TotalAlloc) / loadCalls,
	}, err
}

// atOnce runs do in n goroutines and joins their errors.
func atOnce(n int, do func() error) error {
	var group sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		group.Go(func() { errs[i] = do() })
	}
	group.Wait()
	return errors.Join(errs...)
}

// processorTime is what this process has used, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
