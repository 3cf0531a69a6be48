package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// usedMemory returns the memory in use by the heap and the stacks.
func usedMemory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// awaitCondition waits until holds returns true.
func awaitCondition(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// Pattern: 2,000 callers of one entry read nothing of their streams. Each costs bounded memory and
// is cut off after the write timeout, together with its call to the endpoint; a caller that reads
// gets its whole answer meanwhile.
func TestManySlowReaders(t *testing.T) {
	const readers = 2000
	// maxMemoryPerReader keeps all readers within the 184 MB of a small entry host. It covers both
	// the entry's and the endpoint's side of a stream, which run in one process here.
	const maxMemoryPerReader = 88 << 10
	is := is.New(t)
	event := "id: %d\ndata: " + strings.Repeat("x", 4<<10) + "\n\n"
	var streaming, begun atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		last := 1 << 20
		if strings.HasSuffix(r.URL.Path, "short") {
			last = 16
		} else {
			begun.Add(1)
			streaming.Add(1)
			defer streaming.Add(-1)
		}
		for i := 1; i <= last; i++ {
			if _, err := fmt.Fprintf(w, event, i); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	}))
	t.Cleanup(backend.Close)
	f := newRoutedFleet(t, 0, 0)
	route := f.delta.GetSite().GetRoutes()[0]
	route.Kind, route.TimeoutMs = fleetv1.CallKind_CALL_KIND_STREAM, 60_000
	f.addServingEndpoint(&fleetv1.Endpoint{Id: "e0", Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 2 * readers})
	f.startEntry(0.01)
	entryAddr := strings.TrimPrefix(f.entries[0].URL, "http://")

	before := usedMemory()
	for range readers {
		connection, err := net.Dial("tcp", entryAddr)
		is.NoErr(err)
		t.Cleanup(func() { _ = connection.Close() })
		is.NoErr(connection.(*net.TCPConn).SetReadBuffer(4 << 10))
		_, err = io.WriteString(connection, "GET /read/long HTTP/1.1\r\nHost: crew.example\r\n\r\n")
		is.NoErr(err)
	}
	awaitCondition(t, "all streams to begin", func() bool { return begun.Load() >= readers*9/10 })
	most := usedMemory()
	inFlight := streaming.Load()
	request, err := http.NewRequest(http.MethodGet, f.entries[0].URL+"/read/short", nil)
	is.NoErr(err)
	request.Host = "crew.example"
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "id: "), 16) // a caller that reads is not held up
	awaitCondition(t, "the slow readers to be cut off", func() bool { return streaming.Load() == 0 })
	t.Logf("%d streams begun, %d in flight at %d KiB each", begun.Load(), inFlight, (most-before)/max(inFlight, 1)/1024)
	is.True(most-before < readers*maxMemoryPerReader)
}
