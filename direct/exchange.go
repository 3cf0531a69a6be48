package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// inlineBody is the largest body that is written together with the head. A
	// longer one is written beside reading, as the endpoint may answer before it
	// has read it all.
	inlineBody = 16 << 10
	// maxForeign bounds the answers to other requests, and the interim ones, that
	// are passed over on one connection.
	maxForeign = 8
)

// Request is one request to an endpoint.
type Request struct {
	// Method and Target are sent byte for byte; Target is path and query.
	Method, Target string
	// Host is the Host header.
	Host string
	// ID is the request's own id, which its answer must carry if it names one.
	ID string
	// Header is sent as it is, but for the headers that frame the body.
	Header http.Header
	// Body is sent with its length.
	Body []byte
	// Check is called once there is a connection, right before the request is written; an
	// error of it is returned, and nothing is sent. It may be nil.
	BeforeSend func() error
}

// Response is the head of an answer. Body must be read to its end or closed. Its
// end is io.EOF only if the answer is whole.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds all headers of the answer.
	Header http.Header
	// Body is the answer's body without its framing.
	Body io.ReadCloser
	// Reused is true if the connection had served before.
	Reused bool
}

// Send sends a request and waits for the head of its answer. ctx bounds the whole
// exchange, the body included: when it ends, the connection is closed, which
// tells the endpoint that nobody waits any more.
func (c *Client) Send(ctx context.Context, addr string, r *Request) (*Response, error) {
	used, err := c.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		used.close()
		return nil, err
	}
	x := &exchange{client: c, conn: used, request: r, stop: context.AfterFunc(ctx, used.abandon)}
	if err := x.write(); err != nil {
		x.abort()
		return nil, err
	}
	response, err := x.readHead()
	if err != nil {
		x.abort()
		return nil, cut(ctx, err)
	}
	return response, nil
}

func (r *Request) check() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *Request
	// stop ends the watch over ctx.
	stop func() bool
	// written is true once the whole request has been sent.
	written  atomic.Bool
	response *http.Response
	once     sync.Once
}

// write sends the request. A request of which no byte was taken has not been
// sent; of a longer one, which is written beside, the answer tells.
func (x *exchange) write() error {
	r := x.request
	message := appendHead(nil, r)
	if len(r.Body) <= inlineBody {
		message = append(message, r.Body...)
	}
	n, err := x.conn.raw.Write(message)
	switch {
	case err != nil && n == 0:
		return fault.New(fault.Unavailable, "the endpoint took nothing of the request", "ask again").WithCause(err)
	case err != nil:
		return fault.New(fault.Unknown, "the endpoint took only a part of the request", "ask again").WithCause(err)
	case len(r.Body) <= inlineBody:
		x.written.Store(true)
		return nil
	}
	go func() {
		if _, err := x.conn.raw.Write(r.Body); err == nil {
			x.written.Store(true)
		}
	}()
	return nil
}

// framing are the headers that appendHead writes itself or that have no place in
// a request.
var framing = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Host": true, "Connection": true, "Expect": true, "Trailer": true}

// appendHead writes the head of a request, its headers in a fixed order.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !framing[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			b = appendHeader(b, name, value)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// errForeign ends an exchange on which only answers to other requests come.
var errForeign = errors.New("only answers to other requests came")

// readHead waits for the head of the answer. Interim answers, and answers that
// name another request, are passed over.
func (x *exchange) readHead() (*Response, error) {
	asked := &http.Request{Method: x.request.Method}
	for range maxForeign {
		x.conn.head = maxHeadBytes
		response, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			return nil, err
		}
		x.conn.head = -1
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(x.client.config.RequestIDHeader); id != "" && id != x.request.ID {
			if err := x.pass(response); err != nil {
				return nil, err
			}
			continue
		}
		x.response = response
		return &Response{
			Status: response.StatusCode, Header: response.Header,
			Body: &body{x}, Reused: x.conn.reused,
		}, nil
	}
	return nil, errForeign
}

// pass reads over an answer to another request.
func (x *exchange) pass(response *http.Response) error {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return errForeign
	}
	return nil
}

// abort closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.abandon()
	})
}

// finish keeps the connection after a whole answer if it can serve again.
func (x *exchange) finish() {
	x.once.Do(func() {
		unwatched := x.stop()
		framed := x.response.ContentLength >= 0 || slices.Contains(x.response.TransferEncoding, "chunked")
		idle := x.client.idleTimeout(x.response.Header)
		if !unwatched || !x.written.Load() || x.response.Close || !framed || idle <= 0 || x.conn.reader.Buffered() > 0 {
			x.conn.close()
			return
		}
		x.client.put(x.conn, idle)
	})
}

// idleTimeout is how long a connection may be kept unused, from the Keep-Alive
// header.
func (c *Client) idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseUint(value, 10, 31)
		if name == "timeout" && err == nil {
			return time.Duration(seconds)*time.Second - c.config.IdleMargin
		}
	}
	return c.config.IdleTimeout
}

// body is the body of an answer.
type body struct{ x *exchange }

// Read implements io.Reader. Any error but io.EOF means that the answer is not
// whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.x.response.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.x.finish()
	default:
		b.x.abort()
	}
	return n, err
}

// Close gives the rest of the answer up.
func (b *body) Close() error {
	b.x.abort()
	return nil
}

// cut is the fault of an exchange that ended before the head of its answer.
func cut(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Unknown, "the wait for the endpoint's answer ended", "ask again, or allow more time").WithCause(context.Cause(ctx))
	}
	if isMalformed(err) {
		return fault.New(fault.Unknown, "the endpoint sent what is no answer", "ask again; if it lasts, look at the endpoint").WithCause(err)
	}
	return fault.New(fault.Unknown, "the endpoint ended the connection without an answer", "ask again").WithCause(err)
}

// isMalformed reports whether an error comes from the bytes of an answer, not
// from its connection.
func isMalformed(err error) bool {
	text := err.Error()
	return errors.Is(err, errHeadTooLarge) || errors.Is(err, errForeign) || bytes.Contains([]byte(text), []byte("malformed"))
}
