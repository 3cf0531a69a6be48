package rankhost

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// fakeHosts are the hosts of other ranks, each of which responds after its delay.
type fakeHosts struct {
	delays map[string]time.Duration
	calls  atomic.Int32
}

func (h *fakeHosts) call(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	h.calls.Add(1)
	select {
	case <-time.After(h.delays[addr]):
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "no answer", "")
	}
	return &agentv1.GroupResponse{Messages: request.GetMessages()}, nil
}

// relayMessages relays one message to each address, and returns the merged response and the time
// that it took.
func relayMessages(r *relay, maps []*agentv1.MapChange, addrs ...string) (*agentv1.GroupResponse, time.Duration) {
	request := &agentv1.GroupRequest{Maps: maps}
	for _, addr := range addrs {
		request.Forwards = append(request.Forwards, &agentv1.Forward{
			Addr: addr, Request: &agentv1.GroupRequest{Messages: []*agentv1.GroupMessage{{Group: addr}}},
		})
	}
	startedAt := time.Now()
	own := &agentv1.GroupResponse{}
	r.start(context.Background(), request).finish(context.Background(), own)
	return own, time.Since(startedAt)
}

// A host that does not respond must not delay the others: their responses are returned after
// relayTimeout, and a later response with the next round.
func TestFrozenHostDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := &fakeHosts{delays: map[string]time.Duration{"a": 5 * time.Millisecond, "b": 9 * time.Millisecond, "frozen": 300 * time.Millisecond}}
		r := &relay{call: hosts.call, logger: slog.New(slog.DiscardHandler), inFlight: map[string]bool{}}
		response, elapsed := relayMessages(r, nil, "a", "b")
		is.Equal(elapsed, 9*time.Millisecond) // as long as the slowest host
		is.Equal(response.GetAnswered(), []string{"a", "b"})
		response, elapsed = relayMessages(r, nil, "a", "frozen", "b")
		is.Equal(elapsed, relayTimeout)
		is.Equal(response.GetAnswered(), []string{"a", "b"})
		asked := hosts.calls.Load()
		response, _ = relayMessages(r, nil, "a", "frozen")
		is.Equal(hosts.calls.Load()-asked, int32(1)) // one call at a time to each host
		is.Equal(response.GetAnswered(), []string{"a"})
		time.Sleep(time.Second)
		response, _ = relayMessages(r, nil, "b")
		is.Equal(response.GetAnswered(), []string{"b", "frozen"})
		is.Equal(len(response.GetMessages()), 2)
	})
}

// Guards against a round that waits relayTimeout in addition to the time that the relay's own
// engine takes. Calls then took as long as the leader's timeout, and were abandoned just when a
// switch was decided.
func TestRelayTimeoutIncludesOwnResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := &fakeHosts{delays: map[string]time.Duration{"slow": 300 * time.Millisecond}}
		r := &relay{call: hosts.call, logger: slog.New(slog.DiscardHandler), inFlight: map[string]bool{}}
		startedAt := time.Now()
		round := r.start(context.Background(), &agentv1.GroupRequest{Forwards: []*agentv1.Forward{{Addr: "slow", Request: &agentv1.GroupRequest{}}}})
		time.Sleep(maxReplyWait)
		round.finish(context.Background(), &agentv1.GroupResponse{})
		is.Equal(time.Since(startedAt), relayTimeout)
		time.Sleep(time.Second)
	})
}

// Hosts that are asked to prepare a map receive its change with the messages.
func TestMapChangesAreRelayedWithMessages(t *testing.T) {
	is := is.New(t)
	var got []*agentv1.GroupRequest
	r := &relay{logger: slog.New(slog.DiscardHandler), inFlight: map[string]bool{}}
	r.call = func(_ context.Context, _ string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
		got = append(got, request)
		return &agentv1.GroupResponse{}, nil
	}
	relayMessages(r, []*agentv1.MapChange{{Group: "g/1", Epoch: 4}}, "a")
	is.Equal(len(got), 1)
	is.Equal(got[0].GetMaps()[0].GetEpoch(), uint64(4))
}
