package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/entry"
	"github.com/lilackeel/lilackeel/measure/overhead"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin"
)

// waitTimeout bounds the waits of tests. No test measures it.
const waitTimeout = 20 * time.Second

func start(t *testing.T, cfg overhead.FleetConfig) *overhead.Fleet {
	t.Helper()
	f, err := overhead.StartFleet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
	refusal call.ErrorDetail
}

// outcome returns the outcome that the answer states in its headers or trailers.
func (r *reply) outcome() string {
	return r.header.Get(call.HeaderOutcome) + r.trailer.Get(call.HeaderOutcome)
}

func send(ctx context.Context, f *overhead.Fleet, method, path, body string, headers ...string) *reply {
	request, err := http.NewRequestWithContext(ctx, method, f.EntryURL+path, strings.NewReader(body))
	if err != nil {
		return &reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+overhead.WorkspaceKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Del(headers[i])
		for value := range strings.SplitSeq(headers[i+1], "|") {
			if value != "" {
				request.Header.Add(headers[i], value)
			}
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := &reply{status: response.StatusCode, header: response.Header}
	text, err := io.ReadAll(response.Body)
	got.body, got.err, got.trailer = string(text), err, response.Trailer
	var typed call.ErrorBody
	if json.Unmarshal(text, &typed) == nil {
		got.refusal = typed.Error
	}
	return got
}

func chat(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"draft","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"explain the pairing"}]}`, stream, tokens)
}

// TestBodiesExceedMemory guards against bodies that are read, and requests that are run, although the memory
// for bodies has no room for them.
func TestBodiesExceedMemory(t *testing.T) {
	f := start(t, overhead.FleetConfig{ConfigureEntry: func(c *entry.Config) { c.BodyMemory = 1 << 20 }})
	runs, _ := f.Engine.Counts()
	effects := len(f.Service.Effects())
	for _, path := range []string{"/v1/chat/completions", overhead.ServicePrefix + "/swap"} {
		is := is.New(t)
		got := send(t.Context(), f, "POST", path, strings.Repeat(" ", 600<<10))
		is.NoErr(got.err)
		is.Equal(got.status, 429)
		is.Equal(string(got.refusal.Type), "overloaded")
		is.Equal(got.outcome(), "not-run")
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(send(t.Context(), f, "POST", overhead.ServicePrefix+"/swap", "x").status, 200)
	}
	runsAfter, _ := f.Engine.Counts()
	is.New(t).Equal(runsAfter, runs)
	is.New(t).Equal(len(f.Service.Effects()), effects+2)
}

// TestBodyMemoryIsReleased guards against bodies that stay charged after their requests have ended,
// whether they were answered, refused or could not be parsed.
func TestBodyMemoryIsReleased(t *testing.T) {
	f := start(t, overhead.FleetConfig{ConfigureEntry: func(c *entry.Config) { c.BodyMemory = 1 << 20 }})
	for range 4 {
		for _, c := range []struct {
			path, body string
			status     int
		}{
			{"/v1/chat/completions", chat(1, false) + strings.Repeat(" ", 300<<10), 200},
			{"/v1/chat/completions", strings.Repeat(" ", 300<<10), 400},
			{overhead.ServicePrefix + "/swap", strings.Repeat("x", 300<<10), 200},
			{overhead.ServicePrefix + "/duties/../swap", strings.Repeat("x", 300<<10), 400},
		} {
			is := is.New(t)
			got := send(t.Context(), f, "POST", c.path, c.body)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
		}
	}
}

// TestInvalidRequests sends each kind of invalid request that the entry detects. Each gets its own
// status and a typed error with a remedy, and nothing is run.
func TestInvalidRequests(t *testing.T) {
	f := start(t, overhead.FleetConfig{ConfigureEntry: func(c *entry.Config) { c.MaxBodyBytes, c.BodyTimeout = 4096, 200*time.Millisecond }})
	runs, _ := f.Engine.Counts()
	effects := len(f.Service.Effects())
	const completions, swap = "/v1/chat/completions", overhead.ServicePrefix + "/swap"
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind                     string
	}{
		{"no key", "POST", completions, chat(1, false), []string{"Authorization", ""}, 401, "unauthenticated"},
		{"unknown key", "POST", completions, chat(1, false), []string{"Authorization", "Bearer guess"}, 401, "unauthenticated"},
		{"malformed JSON", "POST", completions, `{"model":`, nil, 400, "invalid"},
		{"wrong type", "POST", completions, `{"model":7}`, nil, 400, "invalid"},
		{"no messages", "POST", completions, `{"model":"draft"}`, nil, 400, "invalid"},
		{"prompt and messages", "POST", completions, `{"model":"draft","prompt":"x","messages":[{"role":"user","content":"x"}]}`, nil, 400, "invalid"},
		{"unknown model", "POST", completions, strings.Replace(chat(1, false), "draft", "nothing", 1), nil, 404, "not_found"},
		{"unknown adapter", "POST", completions, strings.Replace(chat(1, false), "draft", "draft:none", 1), nil, 404, "not_found"},
		{"large body", "POST", completions, strings.Repeat(" ", 5000), nil, 413, "invalid"},
		{"large headers", "POST", completions, chat(1, false), []string{"X-Long", strings.Repeat("a", 70<<10)}, 431, "invalid"},
		{"two keys", "POST", swap, "x", []string{"Idempotency-Key", "a|b"}, 400, "invalid"},
		{"empty key", "POST", swap, "x", []string{"Idempotency-Key", `""`}, 400, "invalid"},
		{"contradictory deadlines", "POST", completions, chat(1, false), []string{"Lilackeel-Deadline-Ms", "5000", "Prefer", "wait=6"}, 400, "invalid"},
		{"bad deadline", "POST", completions, chat(1, false), []string{"Lilackeel-Deadline-Ms", "soon"}, 400, "invalid"},
		{"contradictory priorities", "POST", completions, chat(1, false), []string{"Lilackeel-Priority", "1", "Priority", "u=7"}, 400, "invalid"},
		{"another workspace", "POST", completions, chat(1, false), []string{"Lilackeel-Workspace", "other"}, 400, "invalid"},
		{"no such path", "POST", "/nothing/here", "x", nil, 404, "not_found"},
		{"no such method", "DELETE", completions, "", nil, 405, "invalid"},
		{"dot segments", "POST", overhead.ServicePrefix + "/duties/../swap", "x", nil, 400, "invalid"},
		{"escaped slash", "POST", overhead.ServicePrefix + "/duties%2fswap", "x", nil, 400, "invalid"},
		{"late deadline", "POST", completions, chat(100, false), []string{"Lilackeel-Deadline-Ms", "0"}, 400, "invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := send(t.Context(), f, c.method, c.path, c.body, c.headers...)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(string(got.refusal.Type), c.kind)
			is.Equal(got.outcome(), "not-run")
			is.Equal(got.refusal.RequestID, got.header.Get("X-Request-Id"))
			is.True(got.refusal.Message != "" && got.refusal.Remedy != "")
		})
	}
	for name, body := range map[string]string{
		"body stops halfway":        "Content-Length: 100\r\n\r\nhalf",
		"chunked body has no end":   "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunked body is too large": "Transfer-Encoding: chunked\r\n\r\n1400\r\n" + strings.Repeat("x", 0x1400) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connection, err := net.Dial("tcp", strings.TrimPrefix(f.EntryURL, "http://"))
			is.NoErr(err)
			defer func() { _ = connection.Close() }()
			is.NoErr(connection.SetDeadline(time.Now().Add(waitTimeout)))
			fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s", swap, overhead.WorkspaceKey, body)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			is.True(response.StatusCode == 400 || response.StatusCode == 413)
			is.Equal(response.Header.Get(call.HeaderOutcome), "not-run")
		})
	}
	is := is.New(t)
	after, _ := f.Engine.Counts()
	is.Equal(after, runs)                       // no model call has run
	is.Equal(len(f.Service.Effects()), effects) // no service call has run
}

// TestIdempotencyKeys sends a call that must not be repeated several times with one key, and then
// with the same key and another body.
func TestIdempotencyKeys(t *testing.T) {
	is := is.New(t)
	f := start(t, overhead.FleetConfig{})
	before := len(f.Service.Effects())
	const swap = overhead.ServicePrefix + "/swap"
	first := send(t.Context(), f, "POST", swap, "duty 7", "Idempotency-Key", "k1")
	is.Equal(first.status, 200)
	is.Equal(first.outcome(), "answered")
	for range 3 {
		again := send(t.Context(), f, "POST", swap, "duty 7", "Idempotency-Key", "k1")
		is.Equal(again.body, first.body)
		is.Equal(again.header.Get(call.HeaderReplayed), "true")
	}
	other := send(t.Context(), f, "POST", swap, "duty 8", "Idempotency-Key", "k1")
	is.Equal(other.status, 422)
	is.Equal(string(other.refusal.Type), "key_reused")
	is.Equal(len(f.Service.Effects()), before+1)
	keyless := send(t.Context(), f, "POST", swap, "duty 9")
	is.True(keyless.header.Get("Idempotency-Key") != "") // generated by the entry
}

// TestTruncatedStream truncates all streams of the engine. A stream is resumed where it was
// truncated. If that fails, the caller is told, and a partial answer is never presented as complete.
func TestTruncatedStream(t *testing.T) {
	is := is.New(t)
	f := start(t, overhead.FleetConfig{Engine: standin.EngineConfig{TokenTime: time.Millisecond}})
	want := send(t.Context(), f, "POST", "/v1/chat/completions", chat(12, true))
	is.NoErr(want.err)
	is.Equal(want.outcome(), "answered")
	f.Engine.SetFaults(standin.Faults{AbortAfterBytes: len(want.body) * 2 / 3})
	got := send(t.Context(), f, "POST", "/v1/chat/completions", chat(12, true))
	is.NoErr(got.err)
	is.Equal(len(got.body), len(want.body))
	is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	is.Equal(got.outcome(), "answered")
	f.Engine.SetFaults(standin.Faults{AbortAfterBytes: 200})
	got = send(t.Context(), f, "POST", "/v1/chat/completions", chat(200, true))
	is.True(got.err != nil) // the connection is aborted
	is.True(!strings.Contains(got.body, "[DONE]"))
	f.Engine.SetFaults(standin.Faults{AbortAfterBytes: 50})
	got = send(t.Context(), f, "POST", "/v1/chat/completions", chat(12, false))
	is.NoErr(got.err)
	is.Equal(got.status, 502)
	is.Equal(got.outcome(), "unknown")
	is.True(got.header.Get("Retry-After") != "")
}

// TestCallerDisconnects checks that the engine's stream is cancelled when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := start(t, overhead.FleetConfig{Engine: standin.EngineConfig{TokenTime: 10 * time.Millisecond}})
	_, before := f.Engine.Counts()
	ctx, leave := context.WithCancel(t.Context())
	f.Engine.SetFaults(standin.Faults{Stall: true}) // so that no write can fail
	time.AfterFunc(50*time.Millisecond, leave)
	is.True(send(ctx, f, "POST", "/v1/chat/completions", chat(100000, true)).err != nil)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if _, gone := f.Engine.Counts(); gone > before {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the engine still runs the call of a caller who has disconnected")
		}
	}
}

// TestPlannedStop stops an entry with hundreds of open streams, all of which must complete. The
// configuration may be old: on a starved machine the streams, the agent and the feed, which share this
// process, take so long to start that its confirmation exceeds the agent's default of 2.5 s, and the
// agent rightly refuses the rest.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	proof.Cell{
		Promise: proof.GracefulShutdown, Faults: []proof.Fault{proof.Restart}, Step: "entry with 300 streams open",
		Guard: "http.Server.Shutdown in entry.Daemon.stop",
	}.Log(t)
	const streams, tokens = 300, 40
	f := start(t, overhead.FleetConfig{Engine: standin.EngineConfig{TokenTime: 10 * time.Millisecond, Slots: streams}, Freshness: waitTimeout})
	var group sync.WaitGroup
	begun := make(chan struct{}, streams)
	replies := make([]error, streams)
	for i := range streams {
		group.Go(func() { replies[i] = readToEnd(f, tokens, begun) })
	}
	for range streams {
		<-begun
	}
	f.StopEntry()
	select {
	case err := <-f.EntryDone:
		is.NoErr(err)
	case <-time.After(waitTimeout):
		t.Fatal("the entry did not stop")
	}
	group.Wait()
	for _, err := range replies {
		is.NoErr(err)
	}
	_, err := net.Dial("tcp", strings.TrimPrefix(f.EntryURL, "http://"))
	is.True(err != nil) // the listener is closed
}

func readToEnd(f *overhead.Fleet, tokens int, begun chan<- struct{}) error {
	request, err := http.NewRequest("POST", f.EntryURL+"/v1/chat/completions", strings.NewReader(chat(tokens, true)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+overhead.WorkspaceKey)
	response, err := http.DefaultClient.Do(request)
	begun <- struct{}{}
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	last := ""
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if last != "data: [DONE]" {
		return fmt.Errorf("status %d, last line %q", response.StatusCode, last)
	}
	return nil
}
