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
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	testKey   = "k-crew"
	signature = "Test-Signature"
)

// open admits everything.
type open struct{}

func (open) AdmitTo(context.Context, string, workspace.Request) (func(), error) {
	return func() {}, nil
}

func (open) AdmitLate(context.Context, string, workspace.Request, time.Duration) (func(), error) {
	return func() {}, nil
}

// unlimited knows of no limit.
type unlimited struct{}

func (unlimited) Answered(*endpoint.Endpoint, ratelimit.Feedback)      {}
func (unlimited) Admit(context.Context, *endpoint.Endpoint, bool) bool { return true }
func (unlimited) Limited() []string                                    { return nil }
func (unlimited) Closed() []string                                     { return nil }
func (unlimited) InPause(string) bool                                  { return false }
func (unlimited) Reserves() map[string]ratelimit.Restriction           { return nil }
func (unlimited) Refusal(string) *fault.Error                          { return nil }

// bed is an entry before endpoints that a test scripts.
type bed struct {
	t      *testing.T
	server *Server
	front  *httptest.Server
	table  *endpoint.Table
	backs  []*httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
}

// newBed returns an entry whose pool has an endpoint for each handler.
func newBed(t *testing.T, handlers ...http.HandlerFunc) *bed {
	t.Helper()
	b := &bed{t: t, table: endpoint.NewTable()}
	for i, handle := range handlers {
		back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			b.mu.Lock()
			b.seen, b.bodies = append(b.seen, r.Clone(context.Background())), append(b.bodies, string(body))
			b.mu.Unlock()
			w.Header().Set(call.HeaderRequestID, r.Header.Get(call.HeaderRequestID))
			handle(w, r)
		}))
		t.Cleanup(back.Close)
		b.backs = append(b.backs, back)
		b.table.Apply([]endpoint.Endpoint{{
			ID: "e" + string(rune('1'+i)), Pool: "pool", Addr: strings.TrimPrefix(back.URL, "http://"), Slots: 8, Revision: 1,
		}}, nil)
	}
	began := time.Now()
	loads := load.New(load.Config{}, b.table)
	outliers := outlier.New(outlier.Config{})
	headers := DefaultHeaders
	headers.Signature = signature
	b.server = NewServer(Config{
		Name: "entry", Zone: "a", Headers: headers, MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 10,
		BodyTimeout: 200 * time.Millisecond, WriteTimeout: time.Second, HoldBytes: 1 << 10, RetryAfter: 250 * time.Millisecond,
		Backoff: call.Backoff{Base: time.Millisecond, Max: time.Millisecond},
	}, Parts{
		Admitter: open{}, Picker: pick.New(pick.Config{}, b.table, loads, prefix.New(prefix.Config{}), outliers),
		Endpoints: b.table, Loads: loads, Outliers: outliers, Reach: reach.New(), Groups: lockstep.New(), Quarantine: quarantine.NewTracker(), RateLimits: unlimited{}, Suspects: suspicion.NewTracker(1), Client: direct.NewClient(direct.Config{}),
		Budget: call.NewBudget(call.BudgetConfig{Ratio: 0.2, Burst: 100}), Logger: slog.New(slog.DiscardHandler),
	}, func() time.Duration { return time.Since(began) })
	b.server.Publish(site.NewTable(bedSite()))
	b.front = httptest.NewUnstartedServer(b.server)
	guard := FramingGuard{Listener: b.front.Listener}
	b.front.Listener = guard
	b.front.Config.ConnState = guard.ConnState
	b.front.Config.ConnContext = guard.ConnContext
	b.front.Start()
	t.Cleanup(b.front.Close)
	return b
}

// bedSite has a route of each kind.
func bedSite() *fleetv1.Site {
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
		Workspaces: []*fleetv1.Workspace{{Name: "crew", KeyDigests: []string{site.Digest(testKey)}}},
	}
}

// ask sends a request and returns the answer with its whole body.
func (b *bed) ask(method, target, body string, header http.Header) (*http.Response, string, error) {
	b.t.Helper()
	r, err := http.NewRequest(method, b.front.URL+target, strings.NewReader(body))
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

// raw sends bytes and returns the status lines that come back until the
// connection ends or is quiet.
func (b *bed) raw(text string) (statuses []string, closed bool) {
	b.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.front.URL, "http://"))
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

func (b *bed) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// answerOK is an endpoint that answers.
func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signature, "s1")
	_, _ = io.WriteString(w, "done")
}

// notRun is an endpoint that is full.
func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(DefaultHeaders.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failing is an endpoint that fails with a signature.
func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signature, "s2")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "broken")
}

// cutting is an endpoint that drops the connection.
func cutting(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func status(t *testing.T, b *bed, target string, header http.Header) (int, *http.Response, string) {
	t.Helper()
	response, text, err := b.ask(http.MethodPost, target, "body", header)
	is.New(t).NoErr(err)
	return response.StatusCode, response, text
}
