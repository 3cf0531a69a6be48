package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// delayedLeadership is a leadership that begins at a given time.
type delayedLeadership struct {
	start      time.Time
	leadership *leadership
}

func (d delayedLeadership) current() *leadership {
	if time.Now().Before(d.start) {
		return nil
	}
	return d.leadership
}

// A call waits for the end of an election, is retried if its outcome is unknown and it carries
// an ID, and never reports that it was not decided if it may have been.
func TestCallsRetryAcrossLeaderChange(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.LostMessages}, Step: "decision whose leader is lost before it answers",
		Guard: "an earlier unknown outcome outweighs a later refusal; calls without an ID are not retried; each alone"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{state: contract.NewState()}
		leader, _ := beginTestLeadership(t, log)
		lost := fault.New(fault.Unknown, "the leadership was lost", "")
		notLeader := fault.New(fault.NotLeader, "this replica does not lead", "")
		call := func(readyAfter time.Duration, atMostOnce bool, results ...error) (attempts int, err error) {
			s := &service{log: log, leadership: delayedLeadership{time.Now().Add(readyAfter), leader}}
			c := leaderCall[controlv1.ClaimRequest, controlv1.ClaimResponse]{service: s, atMostOnce: atMostOnce}
			c.local = func(context.Context, *leadership) (*controlv1.ClaimResponse, error) {
				result := results[min(attempts, len(results)-1)]
				attempts++
				return &controlv1.ClaimResponse{}, result
			}
			_, err = c.run(t.Context())
			return attempts, err
		}
		attempts, err := call(2*time.Second, false, nil)
		is.NoErr(err) // waited for the election
		is.Equal(attempts, 1)
		attempts, err = call(0, false, lost, nil)
		is.NoErr(err)
		is.Equal(attempts, 2)
		attempts, err = call(0, true, lost, nil)
		is.True(fault.Is(err, fault.Unknown)) // must not be retried
		is.Equal(attempts, 1)
		_, err = call(0, false, lost, notLeader)
		is.True(fault.Is(err, fault.Unknown)) // the first attempt may have been decided
		_, err = call(0, false, lost, fault.New(fault.Overloaded, "the log is full", ""))
		is.True(fault.Is(err, fault.Unknown)) // the same
		_, err = call(0, false, fault.New(fault.Conflict, "the state has changed", ""))
		is.True(fault.Is(err, fault.Conflict))
		_, err = call(time.Hour, false, nil)
		is.True(fault.Is(err, fault.NotLeader)) // timed out
	})
}

// A replica that is cut off or left out of the cluster must not hold its callers for the time of a
// failover: another replica may decide at once. One that has just lost its leader waits for the next.
func TestReplicaLongWithoutLeaderAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		held := func(leaderless time.Duration) time.Duration {
			log := &fakeLog{state: contract.NewState(), leaderless: leaderless}
			s := &service{log: log, leadership: delayedLeadership{start: time.Now().Add(time.Hour)}}
			c := leaderCall[controlv1.ClaimRequest, controlv1.ClaimResponse]{service: s}
			started := time.Now()
			_, err := c.run(t.Context())
			is.True(fault.Is(err, fault.NotLeader))
			return time.Since(started)
		}
		is.True(held(failoverTimeout/2) > failoverTimeout/2)
		is.Equal(held(failoverTimeout+time.Millisecond), time.Duration(0))
	})
}
