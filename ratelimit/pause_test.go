package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pause that ends before the endpoint has accepted a probe.
func TestPauseEndsWithAProbe(t *testing.T) {
	is := is.New(t)
	var p Pause
	is.True(p.Take(time.Second))
	is.True(p.Take(time.Second))
	p.Extend(time.Second, 2*time.Second)
	p.Extend(1100*time.Millisecond, time.Second) // the later end counts
	is.Equal(p.BlockedUntil(2900*time.Millisecond), 3*time.Second)
	is.True(!p.Take(2900 * time.Millisecond))
	p.RecordAccepted(900 * time.Millisecond) // sent before the end of the pause
	is.True(p.Active())
	is.True(p.Take(3 * time.Second))
	is.True(!p.Take(3 * time.Second)) // one probe per interval
	is.True(p.Take(3*time.Second + probeInterval))
	p.RecordAccepted(3 * time.Second)
	is.True(!p.Active())
	is.True(p.Take(3*time.Second + probeInterval))
	is.True(p.Take(3*time.Second + probeInterval))
}

// Guards against an entry's table that allows requests during a pause, and against a pause and a
// limit of the same endpoint ending each other.
func TestTableEnforcesPausesAndLimits(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	admission := func(now time.Duration, id string) Admission {
		_, a := table.Admit(now, id)
		return a
	}
	is.Equal(admission(0, "e1"), Allowed)
	table.RecordPushback(0, "e1", time.Second)
	is.Equal(admission(0, "e1"), Blocked)
	is.Equal(table.Blocked(0), []string{"e1"})
	is.Equal(table.BlockedUntil(0, "e1"), time.Second)
	table.Update("e1", Limit{Rate: 2, ReceivedAt: 1})
	is.Equal(admission(999*time.Millisecond, "e1"), Blocked) // a limit does not end a pause
	is.Equal(admission(time.Second, "e1"), PermitRequired)
	table.FinishPermit("e1", 5*time.Second)
	table.RecordAccepted("e1", time.Second)
	is.Equal(admission(2*time.Second, "e1"), Blocked) // the end of a pause does not end a limit
	table.Forget("e1")
	is.Equal(admission(2*time.Second, "e1"), Allowed)
	table.BlockUntil("e2", 3*time.Second)
	is.Equal(admission(2*time.Second, "e2"), Blocked)
	is.Equal(admission(3*time.Second, "e2"), Allowed)
	is.Equal(len(table.Restrictions(0)), 0)
	is.True(table.MarkLeaving("e3"))
	is.True(!table.MarkLeaving("e3"))
	is.Equal(admission(time.Hour, "e3"), Blocked)
	is.Equal(table.BlockedUntil(0, "e3"), time.Duration(0)) // zero also for an endpoint that never accepts requests again
	is.Equal(table.Restrictions(0), map[string]Restriction{"e3": {Leaving: true}})
}
