package rankhost

import (
	"context"
	"log/slog"
	"sync"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// relayTimeout bounds the wait for the responses of other hosts, counted from the receipt of
	// the request. It is slightly longer than a host holds a call open for its engine. A later
	// response is returned with the next one.
	relayTimeout = 60 * time.Millisecond
	// forwardTimeout bounds a call to another host.
	forwardTimeout = time.Second
	// forwardDelay is the time after which a call to another host is repeated on a second
	// connection. It is longer than a host holds a call open for its engine.
	forwardDelay = 50 * time.Millisecond
	// forwardWait is the time after which another call to the same host may be made although the
	// last one, which a lost packet may delay for longer, has not ended.
	forwardWait = 150 * time.Millisecond
	// slowForwardWait replaces forwardWait after a slow call to the host.
	slowForwardWait = relayTimeout
	// maxLateResponses bounds the late responses that are kept; the leader repeats the
	// requests of those that are dropped.
	maxLateResponses = 32
)

// hostCall calls the host at an address.
type hostCall func(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error)

// relay forwards the leader's requests to the hosts of other ranks. Its lock is a leaf lock.
type relay struct {
	// call calls the host at an address; backup does so on a second connection.
	call, backup hostCall
	// hedger repeats calls on second connections; nil to repeat none.
	hedger *link.Hedger
	logger *slog.Logger

	mu sync.Mutex
	// inFlight holds the addresses of the hosts with a call in progress.
	inFlight map[string]bool
	// lateResponses holds responses that arrived after their round had finished.
	lateResponses []*agentv1.GroupResponse
}

// round is the set of calls to other hosts for one request. Its fields are guarded by the relay's
// lock.
type round struct {
	relay   *relay
	pending int
	merged  *agentv1.GroupResponse
	// timer fires after relayTimeout.
	timer *time.Timer
	// finished is set once the response has been returned; done is closed when no call is pending.
	finished bool
	done     chan struct{}
}

// start forwards the parts of a request that are addressed to other hosts. A host with a call in
// progress is skipped.
func (r *relay) start(ctx context.Context, request *agentv1.GroupRequest) *round {
	result := &round{relay: r, merged: &agentv1.GroupResponse{}, timer: time.NewTimer(relayTimeout), done: make(chan struct{})}
	ctx = context.WithoutCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, forward := range request.GetForwards() {
		addr, forwarded := forward.GetAddr(), forward.GetRequest()
		if r.inFlight[addr] || forwarded == nil {
			continue
		}
		if len(forwarded.GetMessages()) > 0 {
			forwarded.Maps = request.GetMaps()
		}
		r.inFlight[addr] = true
		result.pending++
		go result.forward(ctx, addr, forwarded)
	}
	if result.pending == 0 {
		close(result.done)
	}
	return result
}

// forward calls one host and adds its response to the round.
func (r *round) forward(ctx context.Context, addr string, request *agentv1.GroupRequest) {
	on := func(call hostCall) func(context.Context) (*agentv1.GroupResponse, error) {
		return func(ctx context.Context) (*agentv1.GroupResponse, error) { return call(ctx, addr, request) }
	}
	wait := forwardTimeout
	if r.relay.hedger != nil {
		wait = forwardWait
	}
	response, err := link.HedgedCall[*agentv1.GroupResponse]{
		Addr: addr, Primary: on(r.relay.call), Backup: on(r.relay.backup), Delay: forwardDelay, Wait: wait, SlowWait: slowForwardWait, Timeout: forwardTimeout,
		Late: func(response *agentv1.GroupResponse) {
			r.relay.mu.Lock()
			defer r.relay.mu.Unlock()
			r.addResponse(addr, response)
		},
	}.Do(ctx, r.relay.hedger)
	if err != nil {
		r.relay.logger.Debug("cannot relay a request of the leader to another host", slog.String("host", addr), slog.Any("error", err))
	}
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	delete(r.relay.inFlight, addr)
	if err == nil {
		r.addResponse(addr, response)
	}
	r.pending--
	if r.pending == 0 {
		close(r.done)
	}
}

// addResponse adds the response of a host to the round, or to the late responses if the round has
// finished. The caller must hold the relay's lock.
func (r *round) addResponse(addr string, response *agentv1.GroupResponse) {
	response.Answered = append(response.Answered, addr)
	if !r.finished {
		fanout.Merge(r.merged, response)
		return
	}
	if len(r.relay.lateResponses) < maxLateResponses {
		r.relay.lateResponses = append(r.relay.lateResponses, response)
	}
}

// finish waits for the responses of the other hosts and merges them into the host's own.
func (r *round) finish(ctx context.Context, own *agentv1.GroupResponse) {
	defer r.timer.Stop()
	select {
	case <-r.done:
	case <-r.timer.C:
	case <-ctx.Done():
	}
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	r.finished = true
	fanout.Merge(own, r.merged)
	for _, response := range r.relay.lateResponses {
		fanout.Merge(own, response)
	}
	r.relay.lateResponses = nil
}
