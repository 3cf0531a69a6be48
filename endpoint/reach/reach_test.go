package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func announced(string) bool { return false }
func expired(string) bool   { return true }

func TestBackoffGrowsWithEachFailure(t *testing.T) {
	is := is.New(t)
	tracker := New()
	now := time.Duration(0)
	backoffs := []time.Duration{}
	for range 7 {
		tracker.Failed(now, "e")
		began := now
		for len(tracker.Excluded(now, announced)) > 0 {
			now += 10 * time.Millisecond
		}
		backoffs = append(backoffs, now-began)
	}
	is.Equal(backoffs[0], initialBackoff)
	is.Equal(backoffs[1], 2*initialBackoff)
	is.Equal(backoffs[6], maxBackoff)
	tracker.Succeeded("e")
	is.Equal(len(tracker.Excluded(now, announced)), 0)
}

func TestReplacedEndpointStaysExcluded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Replaced("e")
	is.Equal(tracker.Excluded(time.Hour, announced), []string{"e"})
	tracker.Forget("e")
	is.Equal(len(tracker.Excluded(time.Hour, announced)), 0)
}

func TestExpiredAnnouncementExcludesOnlyAfterFailure(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.Equal(len(tracker.Excluded(0, expired)), 0) // missed heartbeats alone exclude no endpoint
	tracker.Failed(0, "e")
	is.Equal(len(tracker.Excluded(time.Hour, announced)), 0)
	is.Equal(tracker.Excluded(time.Hour, expired), []string{"e"})
}
