package agent

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// The weight of a cache event is 1 plus the number of its blocks.
const (
	// maxBufferWeight is the maximum weight of the cache events that are kept for entries.
	maxBufferWeight = 256 << 10
	// maxReportWeight is the maximum weight of the cache events of one report. It keeps a report well
	// below the maximum message size of gRPC.
	maxReportWeight = 64 << 10
)

// sampleTolerance is the maximum difference between the times of two samples with the same figures for
// the second to count as a repetition of the first.
const sampleTolerance = 10 * time.Millisecond

// reportBuffer holds the latest load sample of each endpoint and the recent cache events.
type reportBuffer struct {
	mu    sync.Mutex
	loads map[string]loadSample
	// samples is the number of samples with new figures.
	samples uint64
	// events are the most recent cache events, firstEvent is the number of the oldest of them, and
	// weight is the sum of their weights.
	events     []*agentv1.CacheEvent
	firstEvent uint64
	weight     int
}

// loadSample is a load report with the time at which its figures were measured and the number of the
// sample.
type loadSample struct {
	report *agentv1.LoadReport
	at     time.Time
	seq    uint64
}

// position is the position of a reader: the number of the next event to read, and the number of the
// last load sample read.
type position struct{ event, sample uint64 }

func newReportBuffer() *reportBuffer { return &reportBuffer{loads: make(map[string]loadSample)} }

func (b *reportBuffer) setLoad(report *agentv1.LoadReport, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.loads[report.GetEndpoint()]
	if ok && at.Sub(known.at).Abs() < sampleTolerance && proto.Equal(report, known.report) {
		return
	}
	b.samples++
	b.loads[report.GetEndpoint()] = loadSample{report: report, at: at, seq: b.samples}
}

// dropLoad removes the load of an endpoint that cannot be polled.
func (b *reportBuffer) dropLoad(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.loads, endpoint)
}

func (b *reportBuffer) addEvents(events []*agentv1.CacheEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, events...)
	for _, e := range events {
		b.weight += weightOf(e)
	}
	excess := 0
	for ; b.weight > maxBufferWeight; excess++ {
		b.weight -= weightOf(b.events[excess])
	}
	clear(b.events[:excess])
	b.events = b.events[excess:]
	b.firstEvent += uint64(excess)
}

func weightOf(e *agentv1.CacheEvent) int { return 1 + len(e.GetStored()) + len(e.GetRemoved()) }

// report returns the loads and events after a reader's position, and the position after them. A reader
// that has fallen behind misses the events that were evicted, and detects this by the gap in their
// sequence numbers.
func (b *reportBuffer) report(from position, now time.Time) (*agentv1.Report, position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := &agentv1.Report{}
	for _, sample := range b.loads {
		if sample.seq > from.sample {
			report.Loads = append(report.Loads, sample.withAge(now))
		}
	}
	event := max(from.event, b.firstEvent)
	weight := 0
	for _, e := range b.events[event-b.firstEvent:] {
		weight += weightOf(e)
		if weight > maxReportWeight && len(report.Events) > 0 {
			break
		}
		report.Events = append(report.Events, e)
	}
	return report, position{event: event + uint64(len(report.GetEvents())), sample: b.samples}
}

// withAge returns a copy of the report with its age at now.
func (s loadSample) withAge(now time.Time) *agentv1.LoadReport {
	report := proto.CloneOf(s.report)
	report.AgeMs = now.Sub(s.at).Milliseconds()
	return report
}
