package routed

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/memory"
)

// maxResident returns the largest resident set of the process since resetResident, in MiB.
func maxResident() (size int64) {
	status, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(status)) {
		if kilobytes, found := strings.CutPrefix(line, "VmHWM:"); found {
			_, _ = fmt.Sscan(kilobytes, &size)
		}
	}
	return size >> 10
}

func resetResident() {
	debug.FreeOSMemory()
	_ = os.WriteFile("/proc/self/clear_refs", []byte("5"), 0)
}

// bodyLoad counts the responses to one kind of request.
type bodyLoad struct {
	served, refused, failed atomic.Int64
	mu                      sync.Mutex
	took                    []time.Duration
}

// run sends requests until end, after each refusal at the time that it asks for.
func (l *bodyLoad) run(url string, body []byte, pause time.Duration, end time.Time) {
	for time.Now().Before(end) {
		began := time.Now()
		r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
		r.Host, r.Header = "crew.example", http.Header{"Authorization": {"Bearer " + testKey}}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			l.failed.Add(1)
			time.Sleep(pause)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			l.refused.Add(1)
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			time.Sleep(max(pause, time.Duration(seconds*float64(time.Second))))
			continue
		}
		l.served.Add(1)
		l.mu.Lock()
		l.took = append(l.took, time.Since(began))
		l.mu.Unlock()
		time.Sleep(pause)
	}
}

// sendSlowly sends a body at a byte a second.
func sendSlowly(addr string, size int, end time.Time) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /once/slow HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", testKey, size)
	for err == nil && time.Now().Before(end) {
		time.Sleep(time.Second)
		_, err = c.Write([]byte("b"))
	}
}

// BenchmarkBodies measures the memory of an entry and the response times of small requests beside callers
// with bodies of 4 MiB, a tenth of which send a byte a second. An endpoint takes 100 ms for a request.
func BenchmarkBodies(b *testing.B) {
	const size, smallSize, length = 4 << 20, 600, 10 * time.Second
	body := bytes.Repeat([]byte("b"), size)
	for _, limit := range []int64{0, 128 << 20} {
		for _, callers := range []int{30, 90, 300, 1000} {
			if limit == 0 && callers > 90 {
				continue // more than this machine should give
			}
			b.Run(fmt.Sprintf("budget=%dMiB/callers=%d", limit>>20, callers), func(b *testing.B) {
				t := &testing.T{}
				e := newTestEntry(t)
				backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(100 * time.Millisecond)
					answerOK(w, r)
				}))
				defer backend.Close()
				e.table.Apply([]endpoint.Endpoint{{ID: "e1", Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 2000, Revision: 1}}, nil)
				e.server.config.MaxBodyBytes, e.server.config.BodyTimeout = size, 30*time.Second
				e.server.Bodies = memory.NewBudget(limit)
				resetResident()
				end := time.Now().Add(length)
				var large, small bodyLoad
				var senders sync.WaitGroup
				for i := range callers {
					if i%10 == 0 {
						senders.Go(func() { sendSlowly(strings.TrimPrefix(e.frontend.URL, "http://"), size, end) })
						continue
					}
					senders.Go(func() { large.run(e.frontend.URL+"/once/large", body, 0, end) })
				}
				for range 20 {
					senders.Go(func() { small.run(e.frontend.URL+"/once/small", body[:smallSize], 50*time.Millisecond, end) })
				}
				senders.Wait()
				slices.Sort(small.took)
				b.ReportMetric(float64(maxResident()), "MiB")
				b.ReportMetric(float64(large.served.Load()), "large-served")
				b.ReportMetric(float64(large.refused.Load()), "large-refused")
				b.ReportMetric(float64(large.failed.Load()), "large-failed")
				b.ReportMetric(float64(small.refused.Load()+small.failed.Load()), "small-lost")
				b.ReportMetric(float64(len(small.took)), "small-served")
				if n := len(small.took); n > 0 {
					b.ReportMetric(float64(small.took[n/2].Milliseconds()), "small-p50-ms")
					b.ReportMetric(float64(small.took[n*99/100].Milliseconds()), "small-p99-ms")
				}
				http.DefaultClient.CloseIdleConnections()
			})
		}
	}
}
