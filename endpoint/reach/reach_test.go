package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func announces(string) bool { return false }
func silent(string) bool    { return true }

func TestAnEndpointIsTriedAgainLaterAndLater(t *testing.T) {
	is := is.New(t)
	tracker := New()
	now := time.Duration(0)
	pauses := []time.Duration{}
	for range 7 {
		tracker.Failed(now, "e")
		began := now
		for len(tracker.Excluded(now, announces)) > 0 {
			now += 10 * time.Millisecond
		}
		pauses = append(pauses, now-began)
	}
	is.Equal(pauses[0], firstPause)
	is.Equal(pauses[1], 2*firstPause)
	is.Equal(pauses[6], lastPause)
	tracker.Succeeded("e")
	is.Equal(len(tracker.Excluded(now, announces)), 0)
}

func TestAnEndpointThatIsGoneStaysOut(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Replaced("e")
	is.Equal(tracker.Excluded(time.Hour, announces), []string{"e"})
	tracker.Forget("e")
	is.Equal(len(tracker.Excluded(time.Hour, announces)), 0)
}

func TestASilentEndpointIsOutOnlyAfterAFailure(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.Equal(len(tracker.Excluded(0, silent)), 0) // missed heartbeats alone take nothing out
	tracker.Failed(0, "e")
	is.Equal(len(tracker.Excluded(time.Hour, announces)), 0)
	is.Equal(tracker.Excluded(time.Hour, silent), []string{"e"})
}
