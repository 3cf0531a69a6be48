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
	// pollTimeout bounds one poll of an endpoint.
	pollTimeout = time.Second
	// readBackEvery is the number of polls after which an engine is read back.
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

	// run names the run of the engine that events come from. lastSeq is the
	// number of the last event read of it. seqOffset is added to such numbers, so
	// that they keep growing when the engine starts again.
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

// readLoaded reads back what an engine has loaded. It may have started again
// with something else.
func (p *poller) readLoaded(ctx context.Context) {
	if p.endpoint.Kind != KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if _, _, err := p.client.readLoaded(ctx, p.endpoint, p.loaded); err != nil {
		p.logger.DebugContext(ctx, "cannot read an engine back", slog.String("endpoint", p.endpoint.ID), slog.Any("error", err))
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

// probe connects to a plain service whose last call found no connection, or which leaves: it gets
// no calls that would show its end.
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

// ownLoad reports the calls that the agent itself has in flight, for endpoints
// that do not report their load.
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

// renumber renumbers the events of an answer. A new run of the engine begins with
// an event that says that its cache is empty; what the answer held of the new
// run is read again from its beginning.
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
