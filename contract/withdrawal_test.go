package contract

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
)

func (h *harness) announceItself(id string, incarnation uint64) fleetv1.EndpointState {
	request := newAnnouncement(id, incarnation, &fleetv1.Endpoint{Id: id, Addr: "10.0.0.9:80", Pool: "a"})
	request.Addr = ""
	h.apply(EncodeAnnounce(0, request))
	return h.state.Endpoint(id).GetState()
}

// A withdrawal may overtake the announcement of its endpoint. The announcement must not make
// the endpoint serve, at any replica and after a restart; a later start must.
func TestWithdrawalBeforeAnnouncementIsKept(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.DelayedMessages, proof.ReorderedMessages, proof.Restart}, Step: "withdrawal before the first announcement", Combined: true,
		Guard: "the withdrawal is part of the state and of the snapshot"}.Log(t)
	for _, withdrawn := range []uint64{anyIncarnation, 7} {
		is := is.New(t)
		h := newHarness(1)
		is.Equal(h.apply(EncodeWithdraw(0, AgentRef{"e", withdrawn})).Err, nil)
		snapshot, err := h.state.Snapshot()
		is.NoErr(err)
		restored, replayed := NewState(), NewState()
		is.NoErr(restored.Restore(snapshot))
		logged := len(h.log)
		is.Equal(h.announceItself("other", 7), serving)
		is.Equal(h.announceItself("e", 7), leaving)
		is.Equal(h.announceItself("e", 7), leaving)
		h.apply(EncodeExpire(0, AgentRef{"e", 7}))
		is.Equal(h.announceItself("e", 7), leaving)
		is.Equal(h.announceItself("e", 8), serving) // a later start
		h.apply(EncodeExpire(0, AgentRef{"e", 8}))
		is.Equal(h.announceItself("e", 7), leaving) // again the delayed one
		h.replay(restored, logged)
		h.replay(replayed, 0)
		want, err := h.state.Snapshot()
		is.NoErr(err)
		for _, replica := range []*State{restored, replayed} {
			got, err := replica.Snapshot()
			is.NoErr(err)
			is.Equal(got, want)
		}
	}
}

// An announcement may be committed between the proposal of a withdrawal and its commit.
func TestWithdrawalCommittedAfterAnnouncement(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for id, withdrawn := range map[string]uint64{"a": anyIncarnation, "b": 7} {
		is.Equal(h.announceItself(id, 7), serving)
		is.Equal(h.apply(EncodeWithdraw(0, AgentRef{id, withdrawn})).Err, nil)
		is.Equal(h.state.Endpoint(id).GetState(), leaving)
	}
	is.Equal(h.announceItself("c", 7), serving)
	is.True(h.apply(EncodeWithdraw(0, AgentRef{"c", 6})).Err != nil) // of an earlier start
	is.Equal(h.state.Endpoint("c").GetState(), serving)
	is.Equal(h.apply(EncodeWithdraw(0, AgentRef{"c", 8})).Err, nil) // of a later start
	is.Equal(h.state.Endpoint("c").GetState(), serving)
	is.Equal(h.announceItself("c", 8), leaving)
}

// The records of withdrawals must not grow indefinitely; the latest ones are kept.
func TestWithdrawalsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.state.withdrawals.limit = 5
	for i := range 30 {
		h.apply(EncodeWithdraw(0, AgentRef{fmt.Sprint("e", i%20), anyIncarnation}))
	}
	is.Equal(len(h.state.withdrawals.order), 5)
	is.Equal(len(h.state.withdrawals.known), 5)
	is.Equal(h.announceItself("e9", 1), leaving)
	is.Equal(h.announceItself("e4", 1), serving)
}
