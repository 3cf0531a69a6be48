package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/telemetry"
)

const (
	// connectTimeout is the time limit for opening a connection to an endpoint of the host.
	connectTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection to an endpoint is kept. The usual HTTP servers of
	// engines close idle connections after 5 s; closing them earlier avoids sending a call on a
	// connection that the server is closing.
	idleTimeout = 4 * time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections kept to one endpoint.
	maxIdlePerEndpoint = 256
	// maxHeaderBytes is the maximum size of the headers of an endpoint's response.
	maxHeaderBytes = 1 << 20
)

// headerIdempotencyKey is the header by whose presence net/http recognizes a request that it may
// retry.
const headerIdempotencyKey = "X-Idempotency-Key"

// endpointClient is the HTTP client for the endpoints of the host.
type endpointClient struct {
	// keepAlive reuses connections. It is for requests that may be repeated.
	keepAlive *http.Transport
	// singleUse opens a connection for each request, so that one that must run at most once is never
	// sent on a connection that the endpoint is closing, and is never retried by the transport.
	singleUse *http.Transport
	dialer    *net.Dialer
	// lockedGate records the rate limits, pauses and announced stops that responses carry.
	lockedGate *lockedGate
}

func newEndpointClient(g *lockedGate) *endpointClient {
	dialer := &net.Dialer{Timeout: connectTimeout}
	keepAlive := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	singleUse := keepAlive.Clone()
	singleUse.DisableKeepAlives = true
	return &endpointClient{keepAlive: keepAlive, singleUse: singleUse, dialer: dialer, lockedGate: g}
}

func (c *endpointClient) close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// canConnect reports whether an endpoint accepts a connection.
func (c *endpointClient) canConnect(ctx context.Context, e Endpoint) bool {
	target, err := url.Parse(e.URL)
	if err != nil {
		return false
	}
	connection, err := c.dialer.DialContext(ctx, "tcp", dialAddress(target))
	if err != nil {
		return false
	}
	return connection.Close() == nil
}

// notSentError is the error of a request of which nothing was sent to its endpoint.
type notSentError struct {
	cause *fault.Error
	// refused is set if the endpoint did not accept a connection.
	refused bool
}

// Error implements error.
func (n notSentError) Error() string { return n.cause.Error() }

// Unwrap returns the fault.
func (n notSentError) Unwrap() error { return n.cause }

// nonReplayableBody is a request body that the transport cannot rewind to send it again.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// call sends a dispatch to its endpoint and returns the response once its headers are read. After a
// notSentError the call has not run; after any other error it may have run.
func (c *endpointClient) call(ctx context.Context, e Endpoint, d *agentv1.DispatchRequest, streamID string) (*http.Response, error) {
	request, err := newRequest(ctx, e, d, streamID)
	if err != nil {
		return nil, err
	}
	transport := c.keepAlive
	if d.GetClaimId() != "" {
		transport = c.singleUse
	}
	return c.roundTrip(transport, request, e)
}

// roundTrip sends a request unless its endpoint is in a pause, and records what the response says
// about the endpoint. A notSentError means that nothing was sent. All requests to endpoints are sent
// here.
func (c *endpointClient) roundTrip(transport *http.Transport, request *http.Request, e Endpoint) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	if paused := c.lockedGate.checkSend(e.ID); paused != nil {
		countPaused(e.ID)
		return nil, notSentError{cause: paused}
	}
	sent := c.lockedGate.clock.now()
	response, err := transport.RoundTrip(request)
	switch {
	case err != nil && !connected.Load():
		return nil, connectError(request.Context(), e, err)
	case err == nil:
		c.recordResponse(e, sent, response)
	}
	return response, err
}

// recordResponse records in the gate what a response says about the requests that the endpoint
// accepts: a rate limit, a pause, or that it is about to stop.
func (c *endpointClient) recordResponse(e Endpoint, sent time.Duration, response *http.Response) {
	c.lockedGate.learnRateLimit(e.ID, sent, response.Header.Get(engineapi.HeaderRateLimit))
	c.lockedGate.recordLeaving(e.ID, sent, response.Header.Get(engineapi.HeaderLeaving) != "")
	if pause, ok := ratelimit.RetryAfter(response.StatusCode, response.Header); ok {
		c.lockedGate.recordPushback(e.ID, pause)
		return
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		c.lockedGate.recordAccepted(e.ID, sent)
	}
}

// countPushback counts a response that requests a pause; countPaused counts a request that is not sent
// because of such a pause.
func countPushback(endpoint string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_pushbacks_total{endpoint="` + endpoint + `"}`).Inc()
}

func countPaused(endpoint string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_paused_requests_total{endpoint="` + endpoint + `"}`).Inc()
}

// connectError returns the error of a request that never had a connection: the endpoint did not
// accept one, the context ended first, or the transport rejected the request as invalid.
func connectError(ctx context.Context, e Endpoint, err error) error {
	var dial *net.OpError
	refused := ctx.Err() == nil && errors.As(err, &dial) && dial.Op == "dial"
	if ctx.Err() == nil && !refused {
		return invalidCallError(err)
	}
	return notSentError{refused: refused, cause: fault.Newf(fault.Unavailable, "choose another endpoint",
		"endpoint %q does not accept connections", e.ID).WithCause(err)}
}

func newRequest(ctx context.Context, e Endpoint, d *agentv1.DispatchRequest, streamID string) (*http.Request, error) {
	target, err := targetURL(e.URL, d.GetPath())
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, d.GetMethod(), target, bytes.NewReader(d.GetBody()))
	if err != nil {
		return nil, invalidCallError(err)
	}
	if d.GetClaimId() != "" {
		request.GetBody = nil
		request.Body = nonReplayableBody{bytes.NewReader(d.GetBody())}
	}
	request.Header = requestHeader(d.GetHeaders())
	if d.GetClaimId() == "" {
		allowRetransmission(request.Header)
	}
	if e.Kind == KindEngine {
		request.Header.Set(engineapi.HeaderPriority, strconv.Itoa(int(d.GetPriority())))
		setResumeHeaders(request.Header, d.GetResumeOffset(), streamID)
	}
	telemetry.Inject(ctx, request.Header)
	return request, nil
}

// allowRetransmission lets the transport retry a call that was sent on a connection which the
// endpoint had closed. The header has no value, so it is not sent.
func allowRetransmission(header http.Header) {
	if _, present := header[headerIdempotencyKey]; !present {
		header[headerIdempotencyKey] = nil
	}
}

func setResumeHeaders(header http.Header, offset uint64, streamID string) {
	header.Del(engineapi.HeaderResumeOffset)
	header.Del(engineapi.HeaderStreamID)
	if offset > 0 {
		header.Set(engineapi.HeaderStreamID, streamID)
		header.Set(engineapi.HeaderResumeOffset, strconv.FormatUint(offset, 10))
	}
}

// targetURL joins an endpoint's URL with the path and query of a call. The path must begin with a
// slash, so that it cannot change the host.
func targetURL(base, path string) (string, error) {
	if !strings.HasPrefix(path, "/") {
		return "", invalidCallError(fault.New(fault.Invalid, "the path of the call does not begin with a slash", "begin the path of the call with a slash"))
	}
	return strings.TrimSuffix(base, "/") + path, nil
}

func invalidCallError(err error) error {
	return notSentError{cause: fault.New(fault.Invalid, "the call cannot be sent to an endpoint",
		"correct its method, path or headers").WithCause(err)}
}
