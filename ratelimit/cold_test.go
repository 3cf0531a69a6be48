package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a cold endpoint advertises a limit and withdraws it, at once and again and again. The
// withdrawal ends the limit that it advertised and leaves its cold rate in force.
func TestWithdrawnLimitLeavesColdRate(t *testing.T) {
	is := is.New(t)
	table, arbiter := NewTable(), NewArbiter()
	table.SetColdRate("e", 2)
	granted := 0
	for now := time.Second; now < 11*time.Second; now += 20 * time.Millisecond {
		table.Update("e", Limit{Rate: 100, SentAt: now, ReceivedAt: now})
		arbiter.Learn(now, EndpointLimit{"e", Limit{Rate: 100, SentAt: now, ReceivedAt: now}})
		withdrawn := Limit{Rate: Unlimited, SentAt: now + 1, ReceivedAt: now + 1}
		table.Update("e", withdrawn)
		arbiter.Learn(now, EndpointLimit{"e", withdrawn})
		limit, admission := table.Admit(now, "e")
		if admission == Blocked {
			continue
		}
		is.Equal(admission, PermitRequired)
		permit := arbiter.Acquire(now, limit.For("e"), 0)
		table.FinishPermit("e", now+permit.Wait)
		if permit.Granted {
			granted++
		}
	}
	is.True(granted >= 16) // the rate is used
	is.True(granted <= 2*10+baseBurst+1)
	is.Equal(table.LimitedEndpoints(), []string{"e"})
	is.True(table.SetColdRate("e", 0))
	_, admission := table.Admit(11*time.Second, "e")
	is.Equal(admission, Allowed) // warm
}

// The stricter of the advertised limit and the cold rate counts.
func TestStricterLimitCounts(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.SetColdRate("e", 5)
	rate, limited := table.EffectiveRate("e")
	is.True(limited)
	is.Equal(rate, 5.0)
	table.Update("e", Limit{Rate: 1, SentAt: 1, ReceivedAt: 1})
	rate, _ = table.EffectiveRate("e")
	is.Equal(rate, 1.0)
	limit, _ := table.Admit(time.Second, "e")
	is.True(!limit.Cold)
	is.True(!table.SetColdRate("unknown", 0)) // nothing to change
	is.Equal(table.ColdCount(), 1)
}
