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

// hosts are other hosts of ranks, which answer after a while each.
type hosts struct {
	takes map[string]time.Duration
	asked atomic.Int32
}

func (h *hosts) call(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	h.asked.Add(1)
	select {
	case <-time.After(h.takes[addr]):
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "no answer", "")
	}
	return &agentv1.GroupResponse{Messages: request.GetMessages()}, nil
}

// pass sends one message to each address by a relay, and returns who answered in time and how
// long it took.
func pass(r *relay, maps []*agentv1.MapChange, addrs ...string) (*agentv1.GroupResponse, time.Duration) {
	request := &agentv1.GroupRequest{Maps: maps}
	for _, addr := range addrs {
		request.Forwards = append(request.Forwards, &agentv1.Forward{
			Addr: addr, Request: &agentv1.GroupRequest{Messages: []*agentv1.GroupMessage{{Group: addr}}},
		})
	}
	began := time.Now()
	own := &agentv1.GroupResponse{}
	r.begin(context.Background(), request).end(context.Background(), own)
	return own, time.Since(began)
}

// TestAFrozenHostHoldsUpNoOther passes on to a host that does not answer: the answers of
// the others come with the relay's own after relayWait, and what comes later with the next.
func TestAFrozenHostHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		world := &hosts{takes: map[string]time.Duration{"a": 5 * time.Millisecond, "b": 9 * time.Millisecond, "frozen": 300 * time.Millisecond}}
		r := &relay{call: world.call, logger: slog.New(slog.DiscardHandler), calling: map[string]bool{}}
		answer, took := pass(r, nil, "a", "b")
		is.Equal(took, 9*time.Millisecond) // as long as the slowest
		is.Equal(answer.GetAnswered(), []string{"a", "b"})
		answer, took = pass(r, nil, "a", "frozen", "b")
		is.Equal(took, relayWait)
		is.Equal(answer.GetAnswered(), []string{"a", "b"})
		asked := world.asked.Load()
		answer, _ = pass(r, nil, "a", "frozen")
		is.Equal(world.asked.Load()-asked, int32(1)) // one call at a time to each
		is.Equal(answer.GetAnswered(), []string{"a"})
		time.Sleep(time.Second)
		answer, _ = pass(r, nil, "b")
		is.Equal(answer.GetAnswered(), []string{"b", "frozen"})
		is.Equal(len(answer.GetMessages()), 2)
	})
}

// TestTheRelaysOwnAnswerIsPartOfTheWait keeps a round open for relayWait in all, whatever of it
// the relay's own engine takes: with the one after the other, calls took as long as the
// leader waits for them, and were given up just when a switch was decided.
func TestTheRelaysOwnAnswerIsPartOfTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		world := &hosts{takes: map[string]time.Duration{"slow": 300 * time.Millisecond}}
		r := &relay{call: world.call, logger: slog.New(slog.DiscardHandler), calling: map[string]bool{}}
		began := time.Now()
		round := r.begin(context.Background(), &agentv1.GroupRequest{Forwards: []*agentv1.Forward{{Addr: "slow", Request: &agentv1.GroupRequest{}}}})
		time.Sleep(answerWait)
		round.end(context.Background(), &agentv1.GroupResponse{})
		is.Equal(time.Since(began), relayWait)
		time.Sleep(time.Second)
	})
}

// TestMapsArePassedOnWithTheMessages gives a map to the hosts that are asked to prepare it.
func TestMapsArePassedOnWithTheMessages(t *testing.T) {
	is := is.New(t)
	var got []*agentv1.GroupRequest
	r := &relay{logger: slog.New(slog.DiscardHandler), calling: map[string]bool{}}
	r.call = func(_ context.Context, _ string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
		got = append(got, request)
		return &agentv1.GroupResponse{}, nil
	}
	pass(r, []*agentv1.MapChange{{Group: "g/1", Epoch: 4}}, "a")
	is.Equal(len(got), 1)
	is.Equal(got[0].GetMaps()[0].GetEpoch(), uint64(4))
}
