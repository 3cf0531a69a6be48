package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/routed"
)

const testPartsHeader = "Test-Parts"

// Guards against requests with a crashing part that end endpoint after endpoint through several
// entries, each of which has seen too few crashes of its own, and against refusing sound requests
// with the other parts.
func TestEntriesHoldACrashingPartTogether(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 24, 3)
	f.headers = routed.DefaultHeaders
	f.headers.PromptParts = func(h http.Header) []string { return strings.Split(h.Get(testPartsHeader), ",") }
	var mu sync.Mutex
	crashed := map[int]bool{}
	f.onRequest = func(service int, r *http.Request) {
		if !strings.Contains(r.Header.Get(testPartsHeader), "crash") {
			return
		}
		mu.Lock()
		crashed[service] = true
		mu.Unlock()
		_ = f.backends[service].Listener.Close()
		go f.backends[service].CloseClientConnections()
		panic(http.ErrAbortHandler)
	}
	for range 3 {
		f.startEntry(5)
	}
	time.Sleep(500 * time.Millisecond) // the entries have subscribed to the hosts' reports
	send := func(entry int, parts ...string) int {
		r, err := http.NewRequest(http.MethodGet, f.entries[entry].URL+"/read/"+parts[len(parts)-1], nil)
		is.NoErr(err)
		r.Host = "crew.example"
		r.Header.Set(testPartsHeader, strings.Join(parts, ","))
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for i := range 12 {
		send(i%3, "shared", "crash", "own-"+strconv.Itoa(i))
		for entry := range 3 {
			is.Equal(send(entry, "shared", "sound-"+strconv.Itoa(i)), http.StatusOK)
		}
		time.Sleep(700 * time.Millisecond) // longer than simultaneous crashes are apart
	}
	for entry := range 3 {
		is.Equal(send(entry, "shared", "crash", "last"), http.StatusServiceUnavailable)
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d endpoints ended", len(crashed))
	is.True(len(crashed) <= 5) // later than that, no request with the part may reach an endpoint
}
