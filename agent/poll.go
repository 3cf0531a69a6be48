package agent

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// pollTimeout is the time limit for one poll of an endpoint.
	pollTimeout = time.Second
	// pollsPerReadBack is the number of polls between reads of what an engine has loaded.
	pollsPerReadBack = 10
)

// poller polls the load and the cache events of one endpoint.
type poller struct {
	endpoint     Endpoint
	lockedGate   *lockedGate
	client       *endpointClient
	reportBuffer *reportBuffer
	loaded       *loadedState
	health       *health
	logger       *slog.Logger
	interval     time.Duration

	// run is the run of the engine that the events are from, lastSeq the sequence number of the last
	// event read from it. seqOffset is added to the engine's sequence numbers, so that the reported
	// ones keep increasing across restarts of the engine.
	run                string
	lastSeq, seqOffset uint64
}

// loop polls until ctx ends.
func (p *poller) loop(ctx context.Context) {
	for polls := 1; ctx.Err() == nil; polls++ {
		p.poll(ctx)
		if _, limited := p.lockedGate.rateLimits().Limit(p.endpoint.ID); !limited && polls%pollsPerReadBack == 0 {
			p.readLoaded(ctx)
		}
		wait.For(ctx, jitter(p.interval))
	}
}

// readLoaded reads back what an engine has loaded, which differs from what is known if the engine has
// restarted with other settings.
func (p *poller) readLoaded(ctx context.Context) {
	if p.endpoint.Kind != KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if _, _, err := p.client.readLoaded(ctx, p.endpoint, p.loaded); err != nil {
		p.logger.DebugContext(ctx, "cannot read back what an engine has loaded", slog.String("endpoint", p.endpoint.ID), slog.Any("error", err))
	}
}

func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if p.endpoint.Kind != KindEngine {
		p.reportInFlight()
		p.probe(ctx)
		return
	}
	ok, limited := p.lockedGate.admitPoll(p.endpoint.ID)
	if !ok {
		p.reportInFlight()
		return
	}
	requested := time.Now()
	var load engineapi.Load
	status, err := p.client.exchange(ctx, http.MethodGet, p.endpoint, engineapi.PathLoad, nil, &load)
	p.health.recordCall(p.endpoint.ID, err)
	switch {
	case err != nil:
		p.reportBuffer.dropLoad(p.endpoint.ID)
		return
	case status == http.StatusOK:
		p.reportBuffer.setLoad(p.loadReport(load), requested.Add(-time.Duration(load.AgeMS)*time.Millisecond))
	default:
		p.reportInFlight()
	}
	if !limited {
		p.pollEvents(ctx)
	}
}

// probe checks by a connection whether a service is reachable, if its last call could not connect or if
// it is leaving. A leaving service gets no calls that would reveal that its process has ended.
func (p *poller) probe(ctx context.Context) {
	leaving := p.lockedGate.announcedLeaving(p.endpoint.ID)
	if !leaving && !p.health.suspected(p.endpoint.ID) {
		return
	}
	reachable := p.client.canConnect(ctx, p.endpoint)
	p.health.record(p.endpoint.ID, reachable)
	if leaving && !reachable {
		p.lockedGate.processEnded(p.endpoint.ID)
	}
}

// reportInFlight reports the number of calls that the agent has in flight as the load of an endpoint
// that does not report its own, or that may not be polled now.
func (p *poller) reportInFlight() {
	p.reportBuffer.setLoad(&agentv1.LoadReport{
		Endpoint: p.endpoint.ID,
		Running:  int32(p.lockedGate.inFlightAt(p.endpoint.ID)),
	}, time.Now())
}

func (p *poller) loadReport(load engineapi.Load) *agentv1.LoadReport {
	report := &agentv1.LoadReport{
		Endpoint:        p.endpoint.ID,
		Running:         int32(load.Running),
		Waiting:         int32(load.Waiting),
		CacheUsed:       load.CacheUsed,
		TokensPerSecond: load.TokensPerSecond,
		RankLoad:        load.RankLoad,
		PrefillTokens:   load.PrefillTokens,
		PrefillRate:     max(load.PrefillRate, 0),
		StepUs:          max(load.StepUS, 0),
		OwnStepUs:       max(load.OwnStepUS, 0),
	}
	if load.Adapters != nil {
		report.Adapters = &agentv1.ResidentAdapters{Names: load.Adapters}
	}
	return report
}

func (p *poller) pollEvents(ctx context.Context) {
	var answer engineapi.CacheEvents
	path := engineapi.PathCacheEvents + "?" + engineapi.QueryAfter + "=" + strconv.FormatUint(p.lastSeq, 10)
	status, err := p.client.exchange(ctx, http.MethodGet, p.endpoint, path, nil, &answer)
	if err != nil || status != http.StatusOK {
		return
	}
	p.reportBuffer.addEvents(p.toEvents(answer))
}

// toEvents converts the events of a response and renumbers them. For a new run of the engine it returns
// a single event that says that the cache was cleared; the events of that run are read by the next
// poll, from the first on.
func (p *poller) toEvents(answer engineapi.CacheEvents) []*agentv1.CacheEvent {
	if answer.Run != p.run {
		restarted := p.run != ""
		p.run = answer.Run
		if restarted {
			p.seqOffset += p.lastSeq + 1
			p.lastSeq = 0
			return []*agentv1.CacheEvent{{Endpoint: p.endpoint.ID, Seq: p.seqOffset, Cleared: true}}
		}
	}
	var events []*agentv1.CacheEvent
	for _, e := range answer.Events {
		if e.Seq <= p.lastSeq {
			continue
		}
		p.lastSeq = e.Seq
		events = append(events, &agentv1.CacheEvent{
			Endpoint: p.endpoint.ID,
			Seq:      p.seqOffset + e.Seq,
			Stored:   e.Stored,
			Removed:  e.Removed,
			Cleared:  e.Cleared,
		})
	}
	return events
}
