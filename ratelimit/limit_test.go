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

// Guards against a delayed response with an older limit replacing a stricter one.
func TestReorderedResponseDoesNotLoosenALimit(t *testing.T) {
	is := is.New(t)
	limitAt := func(rate float64, sentAt, receivedAt int) Limit {
		return Limit{Rate: rate, SentAt: time.Duration(sentAt) * time.Second, ReceivedAt: time.Duration(receivedAt) * time.Second}
	}
	table := NewTable()
	_, changed := table.Update("e1", limitAt(Unlimited, 0, 1))
	is.True(!changed) // no limit is known and none is advertised
	_, changed = table.Update("e1", limitAt(2, 1, 3))
	is.True(changed)
	_, changed = table.Update("e1", limitAt(Unlimited, 2, 5))
	is.True(!changed) // sent before the limit was received, so it may be older
	_, changed = table.Update("e1", limitAt(1, 2, 4))
	is.True(changed) // stricter
	is.True(recordLimitedSend(table, false))
	is.True(recordLimitedSend(table, true))
	change, changed := table.Update("e1", limitAt(Unlimited, 5, 6))
	is.True(changed)
	is.Equal(change.Sent, 2)
	is.Equal(change.Retries, 1)
	is.Equal(table.LimitedCount(), 0)
	is.True(!recordLimitedSend(table, false))
	_, changed = table.Update("e1", limitAt(1, 2, 4))
	is.True(!changed) // older than the withdrawal of the limit
}

// recordLimitedSend records one request to e1 and reports whether e1 advertises a limit.
func recordLimitedSend(table *Table, retry bool) bool {
	limited, _ := table.RecordSent(0, "e1", retry)
	return limited
}
