package routed

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/reach"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	// testMemory is the memory for the connections and heads of requests.
	testMemory = 8 << 20
	testKey    = "k-crew"
	signature  = "Test-Signature"
)

// admitAll admits every request.
type admitAll struct{}

func (admitAll) AdmitOnTime(context.Context, string, workspace.Request) (func(), error) {
	return func() {}, nil
}

func (admitAll) AdmitLate(context.Context, string, workspace.Request, time.Duration) (func(), error) {
	return func() {}, nil
}

// unlimited implements RateLimits without limits.
type unlimited struct{}

func (unlimited) RecordFeedback(*endpoint.Endpoint, ratelimit.Feedback) {}
func (unlimited) Admit(context.Context, *endpoint.Endpoint, bool) bool  { return true }
func (unlimited) LimitedEndpoints() []string                            { return nil }
func (unlimited) Blocked() []string                                     { return nil }
func (unlimited) InPause(string) bool                                   { return false }
func (unlimited) Restrictions() map[string]ratelimit.Restriction        { return nil }
func (unlimited) Refusal(string) *fault.Error                           { return nil }

// testEntry is an entry with scripted endpoints.
type testEntry struct {
	t        *testing.T
	server   *Server
	frontend *httptest.Server
	table    *endpoint.Table
	backends []*httptest.Server
	mu       sync.Mutex
	received []*http.Request
	bodies   []string
	// memory is charged for connections and heads.
	memory *memory.Budget
}

// newTestEntry returns an entry whose pool has one endpoint per handler.
func newTestEntry(t *testing.T, handlers ...http.HandlerFunc) *testEntry {
	t.Helper()
	b := &testEntry{t: t, table: endpoint.NewTable(), memory: memory.NewBudget(testMemory)}
	for i, handler := range handlers {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			b.mu.Lock()
			b.received, b.bodies = append(b.received, r.Clone(context.Background())), append(b.bodies, string(body))
			b.mu.Unlock()
			w.Header().Set(call.HeaderRequestID, r.Header.Get(call.HeaderRequestID))
			handler(w, r)
		}))
		t.Cleanup(backend.Close)
		b.backends = append(b.backends, backend)
		b.table.Apply([]endpoint.Endpoint{{
			ID: "e" + string(rune('1'+i)), Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 8, Revision: 1,
		}}, nil)
	}
	began := time.Now()
	loads := load.New(load.Config{}, b.table)
	outliers := outlier.New(outlier.Config{})
	headers := DefaultHeaders
	headers.Signature = signature
	b.server = NewServer(Config{
		Name: "entry", Zone: "a", Headers: headers, MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 10,
		BodyTimeout: 200 * time.Millisecond, WriteTimeout: time.Second, MaxBufferedBytes: 1 << 10, RetryAfter: 250 * time.Millisecond,
		Backoff: call.Backoff{Base: time.Millisecond, Max: time.Millisecond},
	}, Dependencies{
		Admitter: admitAll{}, Picker: pick.New(pick.Config{}, b.table, loads, prefix.New(prefix.Config{}), outliers),
		Endpoints: b.table, Loads: loads, Outliers: outliers, Reach: reach.New(), Groups: lockstep.New(), Quarantine: quarantine.NewTracker(), RateLimits: unlimited{}, Suspects: suspicion.NewTracker(1), Client: direct.NewClient(direct.Config{}),
		Budget: call.NewBudget(call.BudgetConfig{Ratio: 0.2, Burst: 100}), Logger: slog.New(slog.DiscardHandler),
	}, func() time.Duration { return time.Since(began) })
	b.server.Publish(site.NewTable(testSite()))
	b.frontend = httptest.NewUnstartedServer(nil)
	inboundServer := inbound.NewServer(inbound.Config{
		Name: "callers", MaxConnections: 1000, ConnState: b.server.ConnState, Logger: slog.New(slog.DiscardHandler),
		Limits: func() inbound.Limits { return b.server.Limits(inbound.Limits{}) },
	}, inbound.NewResources(b.memory, 0), b.server)
	b.frontend.Config = inboundServer.Server
	b.frontend.Listener = inboundServer.Listener(b.frontend.Listener)
	b.frontend.Start()
	t.Cleanup(b.frontend.Close)
	return b
}

// testSite has a route of each call kind.
func testSite() *fleetv1.Site {
	split := []*fleetv1.Split{{Pool: "pool", Weight: 1}}
	route := func(name string, kind fleetv1.CallKind) *fleetv1.Route {
		return &fleetv1.Route{Name: name, Host: "crew.example", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, MaxAttempts: 2, Splits: split}
	}
	resumable := route("resumable", fleetv1.CallKind_CALL_KIND_STREAM)
	resumable.Resumable = true
	public := route("public", fleetv1.CallKind_CALL_KIND_IDEMPOTENT)
	public.Public = true
	short := route("short", fleetv1.CallKind_CALL_KIND_IDEMPOTENT)
	short.TimeoutMs = 150
	return &fleetv1.Site{
		Version: 1, Pools: []*fleetv1.Pool{{Name: "pool"}},
		Routes: []*fleetv1.Route{
			route("once", fleetv1.CallKind_CALL_KIND_SINGLE), route("read", fleetv1.CallKind_CALL_KIND_IDEMPOTENT),
			route("stream", fleetv1.CallKind_CALL_KIND_STREAM), resumable, public, short,
		},
		Workspaces: []*fleetv1.Workspace{{Name: "crew", KeyDigests: []string{site.KeyDigest(testKey)}}},
	}
}

// do sends a request and returns the response with its complete body.
func (b *testEntry) do(method, target, body string, header http.Header) (*http.Response, string, error) {
	b.t.Helper()
	r, err := http.NewRequest(method, b.frontend.URL+target, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "crew.example"
	r.Header = http.Header{"Authorization": {"Bearer " + testKey}, "X-Request-Id": {"r1"}}
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// sendRaw sends bytes and returns the status codes received until the connection ends or is
// idle.
func (b *testEntry) sendRaw(text string) (statuses []string, closed bool) {
	b.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		b.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "HTTP/1.1 ") {
			statuses = append(statuses, line[9:12])
		}
		if err != nil {
			return statuses, err == io.EOF
		}
	}
}

// waitTimeout bounds the waits of tests. No test measures it.
const waitTimeout = 20 * time.Second

func (b *testEntry) waitUntil(condition string, holds func() bool) {
	b.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func (b *testEntry) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// answerOK is an endpoint that responds successfully.
func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signature, "s1")
	_, _ = io.WriteString(w, "done")
}

// rejectNotRun is an endpoint that is full and proves that it ran nothing.
func rejectNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(DefaultHeaders.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failWithSignature is an endpoint that fails and sets the signature header.
func failWithSignature(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signature, "s2")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "broken")
}

// abortConnection is an endpoint that drops the connection.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func post(t *testing.T, b *testEntry, target string, header http.Header) (int, *http.Response, string) {
	t.Helper()
	response, text, err := b.do(http.MethodPost, target, "body", header)
	is.New(t).NoErr(err)
	return response.StatusCode, response, text
}
