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

// Numbers of calls and streams.
const (
	// warmupCalls is the number of calls made before those that are measured.
	warmupCalls = 200
	// measuredCalls is the number of measured calls of each kind.
	measuredCalls = 3000
	// loadWorkers is the number of concurrent callers under load, loadCalls the
	// total number of their calls.
	loadWorkers = 32
	loadCalls   = 20000
	// heldStreams is the number of streams that are open at the same time.
	heldStreams = 2000
	// scalingCalls is the number of measured calls for each number of endpoints.
	scalingCalls = 1500
)

// Figures are the results of Run. Times are in microseconds.
type Figures struct {
	// Streamed is a streamed chat completion of one token, Read an idempotent
	// service call, and Claimed a non-idempotent service call.
	Streamed, Read, Claimed Comparison
	// Load is the cost of a completion under load.
	Load RequestCost
	// Streams is the memory cost of open streams.
	Streams StreamCost
	// Claims is the latency of non-idempotent calls at several concurrency levels.
	Claims []ClaimLatency
	// Growth is the latency of model calls for several numbers of endpoints.
	Growth []EndpointScaling
	// Token is the CPU cost of one streamed token.
	Token TokenCost `json:"token"`
}

// Comparison compares the latency of calls through entry and agent with that of
// direct calls. The two alternate, so that other load on the machine affects both
// equally.
type Comparison struct {
	// DirectP50 and DirectP99 are quantiles of direct calls, PathP50 and PathP99
	// of calls through entry and agent.
	DirectP50, DirectP99, PathP50, PathP99 float64
	// AddedP50 and AddedP99 are the differences of these quantiles.
	AddedP50, AddedP99 float64
}

// RequestCost is the cost of one request under load, for the whole process (caller,
// entry, agent and stand-in), and that of a direct call for comparison.
type RequestCost struct {
	// RequestsPerSecond is the rate of completed requests.
	RequestsPerSecond float64
	// CPUMicros is the CPU time of a request in microseconds, and DirectCPUMicros
	// that of a direct call.
	CPUMicros, DirectCPUMicros float64
	// Allocations is the number of heap allocations of a request, and
	// DirectAllocations that of a direct call.
	Allocations, DirectAllocations float64
	// AllocatedBytes is the total size of the heap allocations of a request.
	AllocatedBytes float64
}

// StreamCost is the memory of open streams, for caller, entry, agent and stand-in
// together.
type StreamCost struct {
	// Held is the number of streams that are open at the same time.
	Held int
	// BytesPerStream is the memory per stream through entry and agent.
	BytesPerStream float64
	// DirectBytesPerStream is the memory per stream directly from the stand-in.
	DirectBytesPerStream float64
}

// ClaimLatency is the latency of non-idempotent calls, which need a claim, at one
// concurrency level.
type ClaimLatency struct {
	// Calls is the number of concurrent calls.
	Calls int
	// P50 and P99 are quantiles of the latency.
	P50, P99 float64
	// RequestsPerSecond is the rate of completed calls.
	RequestsPerSecond float64
	// PlainP50 is the median latency of completions, which need no claim, at the
	// same concurrency in the same run.
	PlainP50 float64
}

// EndpointScaling is the latency of model calls for one number of endpoints.
type EndpointScaling struct {
	// Endpoints is the number of engine endpoints in the fleet.
	Endpoints int
	// P50 and P99 are quantiles of the latency.
	P50, P99 float64
}

// Run makes all measurements, writes a readable summary to w and the figures to
// outDir/overhead.json. The seed is only printed.
func Run(w io.Writer, seed uint64, outDir string) error {
	fmt.Fprintf(w, "overhead of entry and agent, seed %d, GOMAXPROCS %d, %s\n", seed, runtime.GOMAXPROCS(0), runtime.Version())
	var figures Figures
	for _, measure := range []func(io.Writer, *Figures) error{measureComparisons, measureLoad, measureTokens, measureStreams, measureClaims, measureScaling} {
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

// measureComparisons measures the three kinds of calls, without concurrency.
func measureComparisons(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, kind := range []struct {
		name         string
		result       *Comparison
		direct, path func() error
	}{
		{"streamed completion", &figures.Streamed, func() error { return f.Complete(f.EngineURL, 1) }, func() error { return f.Complete(f.EntryURL, 1) }},
		{"service read", &figures.Read, func() error { return f.CallIdempotent(f.ServiceURL) }, func() error { return f.CallIdempotent(f.EntryURL) }},
		{"claimed call (claims in memory)", &figures.Claimed, func() error { return f.CallNonIdempotentAt(f.ServiceURL) }, f.CallNonIdempotent},
	} {
		if err := kind.result.measure(kind.direct, kind.path); err != nil {
			return err
		}
		fmt.Fprintf(w, "%-32s direct p50 %6.0f us p99 %6.0f us; path p50 %6.0f us p99 %6.0f us; added p50 %6.0f us p99 %6.0f us\n", kind.name,
			kind.result.DirectP50, kind.result.DirectP99, kind.result.PathP50, kind.result.PathP99, kind.result.AddedP50, kind.result.AddedP99)
	}
	return nil
}

// measure makes direct calls and calls through the entry in turn, and sets the
// quantiles.
func (c *Comparison) measure(direct, viaEntry func() error) error {
	var times [2][]time.Duration
	for i := range warmupCalls + measuredCalls {
		for j, call := range []func() error{direct, viaEntry} {
			start := time.Now()
			if err := call(); err != nil {
				return err
			}
			if i >= warmupCalls {
				times[j] = append(times[j], time.Since(start))
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

// measureLoad measures the cost of a streamed completion under concurrent load.
func measureLoad(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	direct, err := runLoad(func() error { return f.Complete(f.EngineURL, 8) })
	if err != nil {
		return err
	}
	path, err := runLoad(func() error { return f.Complete(f.EntryURL, 8) })
	if err != nil {
		return err
	}
	path.DirectCPUMicros, path.DirectAllocations = direct.CPUMicros, direct.Allocations
	figures.Load = path
	fmt.Fprintf(w, "%d concurrent callers: %.0f requests/s; per request %.0f us of CPU time and %.0f allocations (%.0f bytes), of which a direct call takes %.0f us and %.0f allocations\n",
		loadWorkers, path.RequestsPerSecond, path.CPUMicros, path.Allocations, path.AllocatedBytes, path.DirectCPUMicros, path.DirectAllocations)
	return nil
}

// runLoad makes loadCalls calls from loadWorkers goroutines and returns their mean
// cost.
func runLoad(call func() error) (RequestCost, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	startCPU, start := cpuTime(), time.Now()
	err := runConcurrently(loadWorkers, func() error {
		for range loadCalls / loadWorkers {
			if err := call(); err != nil {
				return err
			}
		}
		return nil
	})
	elapsed, usedCPU := time.Since(start), cpuTime()-startCPU
	runtime.ReadMemStats(&after)
	return RequestCost{
		RequestsPerSecond: loadCalls / elapsed.Seconds(),
		CPUMicros:         float64(usedCPU.Microseconds()) / loadCalls,
		Allocations:       float64(after.Mallocs-before.Mallocs) / loadCalls,
		AllocatedBytes:    float64(after.TotalAlloc-before.TotalAlloc) / loadCalls,
	}, err
}

// runConcurrently runs f in n goroutines and joins their errors.
func runConcurrently(n int, f func() error) error {
	var group sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		group.Go(func() { errs[i] = f() })
	}
	group.Wait()
	return errors.Join(errs...)
}

// cpuTime returns the user and system time of this process, or zero if it cannot
// be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
