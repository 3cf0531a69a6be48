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
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// maxInlineBody is the largest body that is written together with the head. A larger one
	// is written concurrently with reading, as the endpoint may respond before it has read all
	// of it.
	maxInlineBody = 16 << 10
	// maxSkippedResponses is the maximum number of interim responses and responses to other
	// requests that are skipped on one connection.
	maxSkippedResponses = 8
	// maxSkippedBytes is the maximum size of the body of a response to another request that is
	// skipped.
	maxSkippedBytes = 256 << 10
)

// Request is a request to an endpoint.
type Request struct {
	// Method and Target are sent unchanged; Target is the path and query.
	Method, Target string
	// Host is the value of the Host header.
	Host string
	// ID is the id of the request. A response that contains an id must contain this one.
	ID string
	// Header is sent unchanged, except for the headers that frame the body.
	Header http.Header
	// Body is sent with its length.
	Body []byte
	// BeforeSend is called once a connection is established, just before the request is
	// written. If it returns an error, Send returns that error and nothing is sent. It may be
	// nil.
	BeforeSend func() error
	// OnEarlyEnd is called when a response that states no length ends before the request has been
	// written, before the end is returned to the reader of the body. It may be nil.
	OnEarlyEnd func(EarlyEnd)
}

// EarlyEnd describes the end of a response that states no length and whose request had not been
// written by then.
type EarlyEnd struct {
	// ReadError is the error with which reading the response ended: io.EOF if the endpoint closed
	// the connection in order.
	ReadError error
	// WriteError is the error with which writing the body ended. It matches os.ErrDeadlineExceeded
	// if the write was still waiting for the endpoint to read, and is nil if the rest was written
	// in the meantime.
	WriteError error
	// Sent is the number of bytes of the body that were written, of Size in all.
	Sent, Size int
}

// Response is the head of a response. Body must be read to its end or closed; it ends with
// io.EOF only if the response is complete.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header contains all headers of the response.
	Header http.Header
	// Body is the body without its framing.
	Body io.ReadCloser
	// Reused is true if the connection had already served a request.
	Reused bool
	// Unframed is true if the response states neither a length nor chunks and ends with its
	// connection. It is then complete only as far as its content shows.
	Unframed bool
}

// Discard reads the rest of the body, so that the connection can be reused. If it does not end within
// maxBytes and maxWait, the connection is reset.
func (r *Response) Discard(maxBytes int64, maxWait time.Duration) {
	reset := time.AfterFunc(maxWait, func() { _ = r.Body.Close() })
	defer reset.Stop()
	_, _ = io.CopyN(io.Discard, r.Body, maxBytes)
}

// Send sends a request and waits for the head of its response. ctx applies to the whole
// exchange, including the body: when it is done, the connection is reset, which tells the
// endpoint that the caller has disconnected.
func (c *Client) Send(ctx context.Context, addr string, r *Request) (*Response, error) {
	used, err := c.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := r.runBeforeSend(); err != nil {
		used.close()
		return nil, err
	}
	x := &exchange{client: c, conn: used, request: r, stop: context.AfterFunc(ctx, used.reset)}
	if err := x.write(); err != nil {
		x.abort()
		return nil, err
	}
	response, err := x.readHead()
	if err != nil {
		x.abort()
		return nil, headError(ctx, err)
	}
	return response, nil
}

func (r *Request) runBeforeSend() error {
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
	// stop unregisters the callback that resets the connection when ctx is done.
	stop     func() bool
	response *http.Response
	once     sync.Once
}

// write sends the request. If no byte was written, the request has not been sent. Errors while
// a large body is written concurrently are not returned; the response shows whether the
// endpoint received the request.
func (x *exchange) write() error {
	r := x.request
	message := appendHead(nil, r)
	if len(r.Body) <= maxInlineBody {
		message = append(message, r.Body...)
	}
	n, err := x.conn.raw.Write(message)
	switch {
	case err != nil && n == 0:
		return fault.New(fault.Unavailable, "the request could not be sent to the endpoint", "retry the request").WithCause(err)
	case err != nil:
		return fault.New(fault.Unknown, "the connection to the endpoint failed while the request was being sent", "retry the request").WithCause(err)
	case len(r.Body) <= maxInlineBody:
		return nil
	}
	x.conn.bodyWrite = newBodyWrite(x.conn.raw, r.Body)
	go x.conn.bodyWrite.run()
	return nil
}

// requestWritten reports whether the whole request has been written.
func (x *exchange) requestWritten() bool {
	return x.conn.bodyWrite == nil || x.conn.bodyWrite.isComplete()
}

// reportEarlyEnd reports the end of a response that states no length if the request has not been
// written.
func (x *exchange) reportEarlyEnd(readError error) {
	if x.requestWritten() {
		return
	}
	write := x.conn.bodyWrite
	write.interrupt()
	if x.request.OnEarlyEnd != nil {
		x.request.OnEarlyEnd(EarlyEnd{ReadError: readError, WriteError: write.err, Sent: write.sent, Size: len(write.body)})
	}
}

// framingHeaders are the headers that appendHead writes itself or that must not be forwarded
// in a request.
var framingHeaders = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Host": true, "Connection": true, "Expect": true, "Trailer": true}

// appendHead appends the head of a request, with its headers in a fixed order.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !framingHeaders[name] {
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

// errForeignResponses is returned if a connection yields only interim responses and responses
// to other requests, up to maxSkippedResponses or the end of the connection.
var errForeignResponses = errors.New("received only interim responses and responses to other requests")

// readHead waits for the head of the response. It skips interim responses and responses to
// other requests.
func (x *exchange) readHead() (*Response, error) {
	sent := &http.Request{Method: x.request.Method}
	for range maxSkippedResponses {
		x.conn.headRemaining = maxHeadBytes
		response, err := http.ReadResponse(x.conn.reader, sent)
		if err != nil {
			return nil, err
		}
		x.conn.headRemaining = -1
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(x.client.config.RequestIDHeader); id != "" && id != x.request.ID {
			if err := x.discard(response); err != nil {
				return nil, err
			}
			continue
		}
		x.response = response
		return &Response{
			Status: response.StatusCode, Header: response.Header,
			Body: &responseBody{x}, Reused: x.conn.reused, Unframed: x.unframed(),
		}, nil
	}
	return nil, errForeignResponses
}

// discard reads and drops the response to another request.
func (x *exchange) discard(response *http.Response) error {
	_, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes)
	switch {
	case err == nil || response.Close: // it goes on, or nothing follows it
		return errForeignResponses
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// abort resets the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.reset()
	})
}

// finish keeps the connection after a complete response if it can be reused.
func (x *exchange) finish() {
	x.once.Do(func() {
		notCancelled := x.stop()
		idle := x.client.idleTimeout(x.response.Header)
		if !notCancelled || !x.requestWritten() || x.response.Close || !x.framed() || idle <= 0 || x.conn.reader.Buffered() > 0 {
			x.conn.close()
			return
		}
		x.client.put(x.conn, idle)
	})
}

// framed reports whether the response states where it ends. Otherwise it ends with its connection.
func (x *exchange) framed() bool {
	return x.response.ContentLength >= 0 || slices.Contains(x.response.TransferEncoding, "chunked")
}

// unframed reports whether the response has a body that ends with its connection.
func (x *exchange) unframed() bool { return x.request.Method != http.MethodHead && !x.framed() }

// idleTimeout returns how long a connection may be kept idle, according to the Keep-Alive
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

// responseBody is the body of a response.
type responseBody struct{ x *exchange }

// Read implements io.Reader. Any error other than io.EOF means that the response is
// incomplete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.x.response.Body.Read(p)
	if err != nil && b.x.unframed() {
		b.x.reportEarlyEnd(err)
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.x.finish()
	default:
		b.x.abort()
	}
	return n, err
}

// Close discards the rest of the response and resets the connection, unless the response has
// been read to its end.
func (b *responseBody) Close() error {
	b.x.abort()
	return nil
}

// headError returns the fault of an exchange that ended before the response head was received.
func headError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Unknown, "the request ended before the endpoint responded", "retry, or use a longer deadline").WithCause(context.Cause(ctx))
	}
	if isMalformed(err) {
		return fault.New(fault.Unknown, "the endpoint sent an invalid HTTP response", "retry; if the error persists, check the endpoint").WithCause(err)
	}
	return fault.New(fault.Unknown, "the endpoint closed the connection without a response", "retry the request").WithCause(err)
}

// isMalformed reports whether an error was caused by invalid response data rather than by the
// connection.
func isMalformed(err error) bool {
	text := err.Error()
	return errors.Is(err, errHeadTooLarge) || errors.Is(err, errForeignResponses) || bytes.Contains([]byte(text), []byte("malformed"))
}
