package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
)

const testTimeout = 20 * time.Second

// testServer is a server whose handler waits for a receive from release if the path is /held.
type testServer struct {
	t       *testing.T
	addr    string
	budget  *memory.Budget
	release chan struct{}
	runs    atomic.Int32
	heads   chan *Head
}

func newTestServer(t *testing.T, cfg Config, budget int64) *testServer {
	t.Helper()
	s := &testServer{t: t, budget: memory.NewBudget(budget), release: make(chan struct{}), heads: make(chan *Head, 1000)}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 100
	}
	cfg.Name, cfg.Logger = "test", slog.New(slog.DiscardHandler)
	server := NewServer(cfg, NewResources(s.budget, 0), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		s.heads <- HeadOf(r.Context())
		_, err := HeadOf(r.Context()).ReadBody(func() ([]byte, error) { return io.ReadAll(r.Body) })
		if r.URL.Path == "/held" && err == nil {
			<-s.release
		}
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// client is a connection to the server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(text string) *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text) // the server may close the connection meanwhile
	return &client{c, bufio.NewReader(c)}
}

// status returns the status of the next response and its Retry-After; zero if the connection was closed.
func (c *client) status() (status int, retryAfter string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// await waits until a condition holds.
func (s *testServer) await(what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
		}
	}
}

func (s *testServer) awaitRuns(n int32) {
	s.t.Helper()
	s.await(fmt.Sprint(n, " requests run"), func() bool { return s.runs.Load() == n })
}

const (
	ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	held     = "GET /held HTTP/1.1\r\nHost: h\r\n"
)

func manyLines(lines int) string { return strings.Repeat("a:\r\n", lines) }

// TestHeadIsChargedUntilItsResponse guards against a head that is charged too late, released before its response
// has ended, or never released: while it is incomplete, while its body or its response is awaited, read ahead of
// its turn, and after a connection that breaks off in each of these.
func TestHeadIsChargedUntilItsResponse(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{}, 64<<20)
	const lines = 1000
	least := int64(2 * lineCost * lines)
	for _, text := range []string{
		held + manyLines(lines), held + manyLines(lines) + "\r\n", held + manyLines(lines) + "Content-Length: 5\r\n\r\n",
		held + manyLines(lines) + "Transfer-Encoding: chunked\r\n\r\n", held + "\r\n" + held + manyLines(900),
	} {
		c := s.dial(text)
		want := least
		if strings.Count(text, "GET") > 1 {
			want = 2 * 2 * connectionCost // net/http reads one buffer ahead
		}
		s.await("the head is charged", func() bool { return s.budget.Held() >= want })
		_ = c.Close()
		for s.budget.Held() > 0 {
			select {
			case s.release <- struct{}{}:
			case <-time.After(time.Millisecond):
			}
		}
	}
	status, _ := s.dial("no request\r\n" + manyLines(lines) + "\r\n").status()
	is.Equal(status, 400)
	s.await("nothing is charged", func() bool { return s.budget.Held() == 0 })
	c := s.dial(held + manyLines(lines) + "\r\n")
	s.release <- struct{}{}
	status, _ = c.status()
	is.Equal(status, 200)
	s.await("only the connection is charged", func() bool { return s.budget.Held() == 2*connectionCost })
}

// TestHeadLimits guards against heads that are read beyond their limit, and against the refusal of one that just
// fits, whatever its form.
func TestHeadLimits(t *testing.T) {
	const limit = 8 << 10
	s := newTestServer(t, Config{Limits: func() Limits { return Limits{HeadBytes: limit} }}, 0)
	const end = "\r\n\r\n"
	for name, form := range map[string][3]string{ // before the filling, the unit of the filling, after it
		"short lines": {"GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n", "a:\r\n", "X:" + end},
		"bare lines":  {"GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n", "a:\n", "X:" + end},
		"folded":      {"GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n", " \r\n", "X:" + end},
		"long line":   {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "b", end},
		"long path":   {"GET /", "b", " HTTP/1.1\r\nHost: h" + end},
		"empty lines": {"", "\r\n", "GET / HTTP/1.1\r\nHost: h" + end},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, size := range []int{limit, limit + 1, 1 << 20} {
				padding := size - len(form[0]) - len(form[2])
				after := strings.TrimSuffix(form[2], end) + strings.Repeat("c", padding%len(form[1])) + end
				request := form[0] + strings.Repeat(form[1], padding/len(form[1])) + after
				is.Equal(len(request), size)
				want := 200
				if size > limit {
					want = 431
				}
				status, _ := s.dial(request).status()
				is.Equal(status, want)
			}
		})
	}
}

// TestMemoryIsShort guards against a head without room that is run or held, against a refusal without Retry-After,
// and against one workspace whose heads leave no room to another one.
func TestMemoryIsShort(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{}, 4<<20)
	var serving []*client
	for n := int32(1); s.budget.Held() < 2<<20; n++ {
		serving = append(serving, s.dial(held+manyLines(1000)+"\r\n"))
		s.awaitRuns(n)
		is.NoErr((<-s.heads).Assign("crew"))
	}
	runs := s.runs.Load()
	status, retryAfter := s.dial(held + manyLines(10_000) + "\r\n").status()
	is.Equal(status, 503)
	is.True(retryAfter != "")
	is.Equal(s.runs.Load(), runs)
	for err := error(nil); err == nil; {
		serving = append(serving, s.dial(held+manyLines(50)+"\r\n"))
		runs++
		s.awaitRuns(runs)
		err = (<-s.heads).Assign("crew")
	}
	s.dial(held + "\r\n")
	s.awaitRuns(runs + 1)
	is.NoErr((<-s.heads).Assign("other"))
	share := func(owner string, part int64) error { // assigns a part of what one owner may have
		charge := s.budget.Begin("")
		defer charge.Release()
		charge.Force(part)
		return charge.Assign(owner)
	}
	const whole = 4 << 20 / 2 * 3 / 4
	is.True(share("other", whole-connectionCost) != nil) // it has a head and a connection
	for range serving {
		s.release <- struct{}{}
	}
	s.release <- struct{}{}
	for _, c := range serving {
		status, _ := c.status()
		is.Equal(status, 200)
	}
	s.await("idle connections have no owner", func() bool { return share("crew", whole) == nil })
}

// TestIncompleteRequestsMakeRoom guards against incomplete heads and bodies, and idle connections, that leave an ordinary
// request no room, and against requests in progress that are closed for one.
func TestIncompleteRequestsMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{}, 40*2*connectionCost)
	serving := s.dial(held + "\r\n")
	s.awaitRuns(1)
	var bodies []*client
	for range 100 {
		s.dial("GET / HTTP/1.1\r\nHost: h\r\na: ")
		body := s.dial(held + "Content-Length: 5\r\n\r\n")
		bodies = append(bodies, body)
	}
	for range 3 {
		c := s.dial(ordinary)
		status, _ := c.status()
		is.Equal(status, 200)
	}
	status, _ := bodies[0].status()
	is.Equal(status, 0)
	s.release <- struct{}{}
	status, _ = serving.status()
	is.Equal(status, 200)
}

// TestConnectionsAreBounded guards against idle connections that keep others out, and against connections with a
// request in progress, or younger ones, that are closed before the oldest idle one.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{MaxConnections: 4}, 0)
	serving := s.dial(held + "\r\n")
	s.awaitRuns(1)
	var idle []*client
	for range 3 {
		c := s.dial(ordinary)
		status, _ := c.status()
		is.Equal(status, 200)
		idle = append(idle, c)
	}
	status, _ := s.dial(ordinary).status()
	is.Equal(status, 200)
	_, err := idle[0].reader.ReadByte()
	is.True(err != nil) // the oldest is closed
	_, err = io.WriteString(idle[2], ordinary)
	is.NoErr(err)
	status, _ = idle[2].status()
	is.Equal(status, 200)
	s.release <- struct{}{}
	status, _ = serving.status()
	is.Equal(status, 200)
}

// TestTimeLimits guards against heads that trickle and connections that idle for ever, on connections that were
// open when the limits came into force, and against a request in progress, or waiting for its body, that is cut.
func TestTimeLimits(t *testing.T) {
	is := is.New(t)
	var limited atomic.Bool
	s := newTestServer(t, Config{Limits: func() Limits {
		if limited.Load() {
			return Limits{HeadBytes: 1 << 10, HeadTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
		}
		return Limits{HeadBytes: 1 << 10}
	}}, 0)
	serving := s.dial(held + "\r\nGET")
	body := s.dial(held + "Content-Length: 1\r\n\r\n")
	s.awaitRuns(2)
	idle, slow, kept := s.dial(""), s.dial("GET / HTTP"), s.dial(ordinary)
	status, _ := kept.status()
	is.Equal(status, 200)
	_, err := io.WriteString(kept, "GET / HTTP")
	is.NoErr(err)
	limited.Store(true)
	status, _ = idle.status()
	is.Equal(status, 0)
	for _, c := range []*client{slow, kept} {
		status, _ = c.status()
		is.Equal(status, 408)
	}
	is.Equal(s.runs.Load(), int32(3))
	_, err = io.WriteString(body, "x")
	is.NoErr(err)
	for range 2 {
		s.release <- struct{}{}
	}
	for _, c := range []*client{serving, body} {
		status, _ = c.status()
		is.Equal(status, 200)
	}
}

// TestMixedFramingIsSeenInEveryHead guards against a head that is attributed to another request, for any split and
// number of requests on a connection.
func TestMixedFramingIsSeenInEveryHead(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{}, 0)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		text, requests := "", 1+rng.IntN(5)
		for range requests {
			body := strings.Repeat("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", rng.IntN(3))
			text += strings.Repeat("\r\n", rng.IntN(2)) + fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		text += "POST / HTTP/1.1\r\nHost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 9\r\n\r\n0\r\n\r\n"
		c := s.dial("")
		for len(text) > 0 {
			n := 1 + rng.IntN(min(len(text), 80))
			_, err := io.WriteString(c, text[:n])
			is.NoErr(err)
			text = text[n:]
		}
		for i := range requests + 1 {
			status, _ := c.status()
			is.Equal(status, 200)
			is.Equal((<-s.heads).MixedFraming(), i == requests)
		}
		status, _ := c.status()
		is.Equal(status, 0) // where the next head begins is not known
	}
	c := s.dial("POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + ordinary)
	status, _ := c.status()
	is.Equal(status, 200)
	status, _ = c.status()
	is.Equal(status, 0)
}

// TestEvictedConnectionRunsNothing guards against a request that runs although its connection was closed to make
// room while its last bytes were being read, so that its client takes it for not run.
func TestEvictedConnectionRunsNothing(t *testing.T) {
	is := is.New(t)
	server := NewServer(Config{Name: "test", MaxConnections: 9, Logger: slog.New(slog.DiscardHandler)}, NewResources(nil, 0), nil)
	open := func() *conn {
		client, accepted := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		return server.listener.admit(accepted)
	}
	c := open()
	c.evict(reasonConnections)
	for _, text := range []string{ordinary, "GET / HT"} {
		_, err := c.follow([]byte(text))
		is.Equal(err, errClosed)
	}

	c = open()
	_, err := c.follow([]byte(held + "Content-Length: 5\r\n\r\n"))
	is.NoErr(err)
	head, err := c.begin(nil)
	is.NoErr(err)
	_, err = head.ReadBody(func() ([]byte, error) {
		c.evict(reasonConnections)
		return []byte("whole"), nil
	})
	is.True(fault.Is(err, fault.Overloaded))
	c.end(head)
	c = open()
	_, err = c.follow([]byte(ordinary))
	is.NoErr(err)
	c.evict(reasonConnections)
	is.True(!c.closed) // its request is complete

	c = open()
	c.enterHead()
	c.evict(reasonConnections)
	is.Equal(c.leaveHead(&Head{conn: c}), errClosed)
}

// TestLateChecksCloseNothing guards against connections that are taken for idle, and heads for slow, because the
// process did not run; and against a deadline for a slow head that cuts the request that it became.
func TestLateChecksCloseNothing(t *testing.T) {
	is := is.New(t)
	server := NewServer(Config{
		Name: "test", MaxConnections: 9, Logger: slog.New(slog.DiscardHandler),
		Limits: func() Limits { return Limits{HeadBytes: 1 << 10, HeadTimeout: time.Second, IdleTimeout: time.Second} },
	}, NewResources(nil, 0), nil)
	l := server.listener
	client, accepted := net.Pipe()
	defer func() { _ = client.Close() }()
	c := l.admit(accepted)
	const minute = int64(time.Minute)
	l.checkTimes(minute, 0)
	is.True(!c.closed)
	_, err := c.follow([]byte("GET / HT"))
	is.NoErr(err)
	l.checkTimes(minute, minute)
	is.True(c.isTooSlow())
	_, err = c.follow([]byte("TP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"))
	is.NoErr(err)
	go func() { _, _ = client.Write([]byte("x")) }()
	n, err := c.Read(make([]byte, 9))
	is.NoErr(err)
	is.Equal(n, 1)
}

// TestRefusalReachesItsClient guards against a refusal that is lost because its connection was closed with unread
// bytes.
func TestRefusalReachesItsClient(t *testing.T) {
	is := is.New(t)
	server := NewServer(Config{Name: "test", MaxConnections: 9, Logger: slog.New(slog.DiscardHandler)}, NewResources(nil, 0), nil)
	client, accepted := net.Pipe()
	defer func() { _ = client.Close() }()
	c := server.listener.admit(accepted)
	written := make(chan error, 1)
	go func() {
		_, err := client.Write([]byte(strings.Repeat("x", 1000)))
		written <- err
	}()
	go func() {
		_ = c.refuse(reasonHeadSize, call.RefuseWithStatus(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge))
	}()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 431)
	_ = client.SetWriteDeadline(time.Now().Add(testTimeout))
	is.NoErr(<-written)
}

// TestReadAheadIsNotRefused guards against a request in progress that is cut because the next head on its connection
// exceeds a limit.
func TestReadAheadIsNotRefused(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{Limits: func() Limits { return Limits{HeadBytes: 3 << 10} }}, 100<<10)
	c := s.dial(held + "\r\n" + held + manyLines(950))
	s.awaitRuns(1)
	s.release <- struct{}{}
	status, _ := c.status()
	is.Equal(status, 200)
	_, err := io.WriteString(c, "\r\n")
	is.NoErr(err)
	status, _ = c.status()
	is.True(status == 431 || status == 503)
	is.Equal(s.runs.Load(), int32(1))
}

// TestTimeOfBodiesAndResponses guards against clients of a listener without limits of its own that hold a request
// for ever.
func TestTimeOfBodiesAndResponses(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{BodyTimeout: 10 * time.Millisecond}, 0)
	status, _ := s.dial("POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n").status()
	is.Equal(status, 200) // the handler got an error, and answers
	s = newTestServer(t, Config{WriteTimeout: 10 * time.Millisecond}, 0)
	c := s.dial(held + "\r\n")
	s.awaitRuns(1)
	time.Sleep(100 * time.Millisecond)
	s.release <- struct{}{}
	status, _ = c.status()
	is.Equal(status, 0)
}

// failingListener returns an error once.
type failingListener struct {
	net.Listener
	err error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.err; err != nil {
		l.err = nil
		return nil, err
	}
	return nil, net.ErrClosed
}

// TestOutOfFiles guards against a process that is out of descriptors while connections wait for their clients.
func TestOutOfFiles(t *testing.T) {
	is := is.New(t)
	server := NewServer(Config{Name: "test", MaxConnections: 9, Logger: slog.New(slog.DiscardHandler)}, NewResources(nil, 0), nil)
	client, accepted := net.Pipe()
	defer func() { _ = client.Close() }()
	c := server.listener.admit(accepted)
	_, err := server.Listener(&failingListener{err: &net.OpError{Op: "accept", Err: syscall.EMFILE}}).Accept()
	is.Equal(err, net.ErrClosed)
	is.True(c.closed)
}

// TestHTTP2 guards against header lists of HTTP/2 that are not charged or stay charged, against a header block without
// end, and against one without room whose request runs.
func TestHTTP2(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Config{HTTP2: true}, 4<<20)
	c := s.dial(http2.ClientPreface)
	framer := http2.NewFramer(c, c.reader)
	is.NoErr(framer.WriteSettings())
	block := func(fields int) []byte {
		var b bytes.Buffer
		encoder := hpack.NewEncoder(&b)
		for _, field := range []string{":method GET", ":scheme http", ":path /held", ":authority h"} {
			name, value, _ := strings.Cut(field, " ")
			is.NoErr(encoder.WriteField(hpack.HeaderField{Name: name, Value: value}))
		}
		return append(b.Bytes(), bytes.Repeat([]byte("\x00\x01a\x00"), fields)...) // literals without an index
	}
	is.NoErr(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block(2000), EndHeaders: true, EndStream: true}))
	s.awaitRuns(1)
	is.True(s.budget.Held() > 2*2000*lineCost)
	is.NoErr(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: block(8000), EndHeaders: true, EndStream: true}))
	decoder := hpack.NewDecoder(4096, nil)
	status := ""
	for status == "" {
		frame, err := framer.ReadFrame()
		is.NoErr(err)
		if headers, ok := frame.(*http2.HeadersFrame); ok {
			fields, err := decoder.DecodeFull(headers.HeaderBlockFragment())
			is.NoErr(err)
			status = fields[0].Value
		}
	}
	is.Equal(status, "503")
	is.Equal(s.runs.Load(), int32(1))
	s.release <- struct{}{}
	s.await("only the connection is charged", func() bool { return s.budget.Held() == 2*connectionCost })

	is.NoErr(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 5, BlockFragment: block(0)}))
	refusals := metrics.GetOrCreateCounter(`lilackeel_inbound_refusals_total{listener="test",reason="memory"}`)
	before := refusals.Get()
	for err := error(nil); err == nil; { // until the connection is closed
		err = framer.WriteContinuation(5, false, block(4000)[40:])
	}
	s.await("nothing is charged", func() bool { return s.budget.Held() == 0 })
	is.Equal(refusals.Get(), before+1)
}
