package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"1": 1, " 0.25 ": 0.25, "0": 0, "1e2": 100, "": math.Inf(1)} {
		rate, ok := Parse(text)
		is.True(ok)
		is.Equal(rate, want)
	}
	for _, text := range []string{"-1", "many", "NaN", "inf", "1,5", "1 2"} {
		_, ok := Parse(text)
		is.True(!ok)
	}
}

// Guards against an answer that was on its way longer undoing a stricter limit.
func TestAnOvertakenAnswerDoesNotLoosenALimit(t *testing.T) {
	is := is.New(t)
	at := func(rate float64, since, came int) Limit {
		return Limit{Rate: rate, SentAt: time.Duration(since) * time.Second, ReceivedAt: time.Duration(came) * time.Second}
	}
	table := NewTable()
	_, changed := table.Update("e1", at(Unlimited, 0, 1))
	is.True(!changed) // nothing to know
	_, changed = table.Update("e1", at(2, 1, 3))
	is.True(changed)
	_, changed = table.Update("e1", at(Unlimited, 2, 5))
	is.True(!changed) // sent before the limit was known: it may be the older word
	_, changed = table.Update("e1", at(1, 2, 4))
	is.True(changed) // stricter
	is.True(limitedSend(table, false))
	is.True(limitedSend(table, true))
	change, changed := table.Update("e1", at(Unlimited, 5, 6))
	is.True(changed)
	is.Equal(change.Sent, 2)
	is.Equal(change.Retries, 1)
	is.Equal(table.LimitedCount(), 0)
	is.True(!limitedSend(table, false))
	_, changed = table.Update("e1", at(1, 2, 4))
	is.True(!changed) // older than the withdrawal
}

// limitedSend sends one request to e1 and reports whether that names a limit.
func limitedSend(table *Table, again bool) bool {
	limited, _ := table.RecordSent(0, "e1", again)
	return limited
}
