package inbound

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/answer"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// Limits are the limits on the clients of a listener.
type Limits struct {
	// HeadBytes limits the head of a request in bytes on the wire, from the first byte on, empty lines before
	// the request included.
	HeadBytes int64
	// HeadTimeout limits the time from the first byte of a head to its end, and IdleTimeout the time without a
	// request. Zero is no limit. Both are enforced within two intervals of checkInterval.
	HeadTimeout, IdleTimeout time.Duration
}

// Default limits of listeners whose clients are known.
const (
	DefaultHeadBytes   = 64 << 10
	DefaultHeadTimeout = 10 * time.Second
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultBodyTimeout limits the time of reading a request, DefaultWriteTimeout that of its response.
	DefaultBodyTimeout  = 30 * time.Second
	DefaultWriteTimeout = 30 * time.Second
)

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{HeadBytes: DefaultHeadBytes, HeadTimeout: DefaultHeadTimeout, IdleTimeout: DefaultIdleTimeout}
}

// Config is the configuration of a Server.
type Config struct {
	// Name names the listener in logs and metrics.
	Name string
	// Limits returns the limits in force; nil means DefaultLimits.
	Limits func() Limits
	// MaxConnections limits the open connections. A connection without a request in progress is closed to
	// accept another one.
	MaxConnections int
	// HTTP2 also serves HTTP/2 without TLS.
	HTTP2 bool
	// BodyTimeout limits the time of reading a whole request, WriteTimeout that of handling it; zero is no
	// limit.
	BodyTimeout, WriteTimeout time.Duration
	// RetryAfterFormat is the format of the Retry-After header in refusals.
	RetryAfterFormat answer.RetryAfterFormat
	// ConnState is called as http.Server.ConnState is, if it is not nil.
	ConnState func(net.Conn, http.ConnState)
	Logger    *slog.Logger
}

// Server is an http.Server whose clients are bounded.
type Server struct {
	*http.Server
	listener *listener
}

// fieldOverhead is what HTTP/2 adds to each field to size a header list (RFC 9113, section 6.5.2), and
// shortestLine the size of the shortest line in HTTP/1.
const (
	fieldOverhead = 32
	shortestLine  = 4
)

// http2ListLimit returns the size of a header list in HTTP/2 that any head of so many bytes fits in.
func http2ListLimit(headBytes int64) int64 { return headBytes * (1 + fieldOverhead/shortestLine) }

// NewServer returns a server for a handler, which draws on the resources of the process.
func NewServer(cfg Config, resources *Resources, handler http.Handler) *Server {
	if cfg.Limits == nil {
		cfg.Limits = DefaultLimits
	}
	s := &Server{listener: newListener(cfg, resources)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(cfg.HTTP2)
	s.Server = &http.Server{
		Handler: s.bound(answer.CloseAfterChunks(handler)), Protocols: protocols,
		// The listener limits the head and its time; the read timeout of net/http begins with the head.
		MaxHeaderBytes: maxHeaderBytes(cfg), ReadTimeout: cfg.BodyTimeout, WriteTimeout: cfg.WriteTimeout, IdleTimeout: -1,
		ConnState: s.connState, ConnContext: connContext,
		ErrorLog: slog.NewLogLogger(cfg.Logger.Handler(), slog.LevelDebug),
	}
	return s
}

// maxHeaderBytes returns the limit of net/http, which any head within the limits of the listener is below. For
// HTTP/2 it is the limit on header lists.
func maxHeaderBytes(cfg Config) int {
	if cfg.HTTP2 {
		return int(http2ListLimit(cfg.Limits().HeadBytes))
	}
	return 16 << 20
}

// Listener returns the listener whose connections the server is to serve, on top of another one. It may be called
// once, and is called by Serve. Limits on time hold only with Serve.
func (s *Server) Listener(l net.Listener) net.Listener {
	s.listener.Listener = l
	return s.listener
}

// Serve serves the connections of a listener until the server is closed. It may be called once.
func (s *Server) Serve(l net.Listener) error {
	stop := make(chan struct{})
	defer close(stop)
	go s.listener.checkConnections(stop)
	return s.Server.Serve(s.Listener(l))
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	if followed, ok := c.(*conn); ok {
		followed.setState(state)
	}
	if s.listener.config.ConnState != nil {
		s.listener.config.ConnState(c, state)
	}
}

func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle, http.StateActive:
		c.mu.Lock()
		c.idleHTTP2 = c.http2 && state == http.StateIdle
		c.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		c.giveUp()
	}
}

// bound returns a handler that charges for each request until its response has ended.
func (s *Server) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		head, err := c.begin(r)
		defer c.end(head)
		if err != nil {
			s.listener.count(reasonMemory, c)
			v := call.RefuseWithStatus(http.StatusServiceUnavailable, fault.From(err).RetryIn(refusalRetryAfter))
			_ = answer.WriteVerdict(w, "", v, s.listener.config.RetryAfterFormat)
			return
		}
		if head.last {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), headKey{}, head)))
	})
}

// rawResponse is a response that is written to a connection outside of net/http's server.
type rawResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *rawResponse) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *rawResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *rawResponse) Write(p []byte) (int, error) { return r.body.Write(p) }

func (r *rawResponse) send(to io.Writer) error {
	response := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header, Close: true,
		ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body),
	}
	var text bytes.Buffer
	if err := response.Write(&text); err != nil {
		return err
	}
	_, err := to.Write(text.Bytes())
	return err
}
