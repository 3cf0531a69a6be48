package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// BenchmarkRequest is what one request costs an entry that remembers no request, and one that
// remembers as many as it may.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 4<<10)
	for _, known := range []int{0, maxRequests} {
		b.Run(strconv.Itoa(known), func(b *testing.B) {
			book := NewBook()
			for i := range known {
				book.Ended(time.Second, named(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
			}
			for b.Loop() {
				f := call.FingerprintOf("crew", "POST", "/draft", body)
				book.Held(time.Second, f)
				book.Whole(time.Second, time.Second, f, "engine/1")
			}
		})
	}
}

// BenchmarkSighting is what one end under a request costs where as many are remembered as may be.
func BenchmarkSighting(b *testing.B) {
	book := NewBook()
	i := 0
	for b.Loop() {
		i++
		book.Ended(time.Second, named(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
	}
}
