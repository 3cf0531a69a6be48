package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/measure/overhead"
	"github.com/lilackeel/lilackeel/standin"
)

// agentPaths are the ways in which responses go from an endpoint through its agent to a caller.
var agentPaths = []struct{ name, path, body string }{
	{"completion", "/v1/chat/completions", chat(12, false)},
	{"stream", "/v1/chat/completions", chat(12, true)},
	{"claimed call", overhead.ServicePrefix + "/swap", "x"},
}

// TestResponseCutInItsHead guards against a response whose head is cut that reaches the caller as a
// success.
func TestResponseCutInItsHead(t *testing.T) {
	f := start(t, overhead.FleetConfig{Engine: standin.EngineConfig{TokenTime: time.Millisecond}})
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, p := range agentPaths {
			t.Run(p.name, func(t *testing.T) {
				for cut := 1; cut < len(head); cut += 3 {
					is := is.New(t)
					faults := standin.Faults{RawResponse: head[:cut]}
					f.Engine.SetFaults(faults)
					f.Service.SetFaults(faults)
					got := send(t.Context(), f, "POST", p.path, p.body)
					is.NoErr(got.err)
					is.True(got.status >= 300)
					is.True(got.outcome() != "answered")
				}
			})
		}
	}
}

// TestEndlessBytes guards against an endpoint that sends bytes without end: its call must end by the
// deadline and not look complete, and the agent must close the connection.
func TestEndlessBytes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 4<<10)
	for _, c := range []struct{ name, head, again string }{
		{"garbage", "", long},
		{"header line", ok + "X-Long: ", long},
		{"header lines", ok, "X-More: " + long[:60] + "\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body", ok + "\r\n", long},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + long[:64] + "\r\n"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + long[:60] + "\r\n"},
		{"event", ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n", "40\r\n" + long[:64] + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, overhead.FleetConfig{})
			faults := standin.Faults{RawResponse: c.head, RawRepeated: c.again}
			f.Engine.SetFaults(faults)
			f.Service.SetFaults(faults)
			for _, p := range agentPaths {
				is := is.New(t)
				got := send(t.Context(), f, "POST", p.path, p.body, "Lilackeel-Deadline-Ms", "700")
				t.Logf("%s: status %d, outcome %q, %d bytes, error %v", p.name, got.status, got.outcome(), len(got.body), got.err)
				is.True(got.err != nil || got.status >= 300)
				is.True(got.outcome() != "answered")
			}
			for end := time.Now().Add(waitTimeout); f.Engine.RawResponses()+f.Service.RawResponses() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the agent has not closed the connection of an endless response")
				}
			}
		})
	}
}
