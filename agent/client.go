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
	// connectTimeout bounds opening a connection to an endpoint of the host.
	connectTimeout = 2 * time.Second
	// idleTimeout closes connections to endpoints that are not used. Usual
	// servers of engines do so after five seconds; being first avoids that a
	// call meets a connection that is just being closed.
	idleTimeout = 4 * time.Second
	// idlePerEndpoint bounds the open connections kept for one endpoint.
	idlePerEndpoint = 256
	// headerLimit bounds the headers of an endpoint's answer, in bytes.
	headerLimit = 1 << 20
)

// headerResend marks a request for net/http as one that may be sent again.
const headerResend = "X-Idempotency-Key"

// endpointClient speaks HTTP to the endpoints of the host.
type endpointClient struct {
	// reused serves calls that may be repeated.
	reused *http.Transport
	// single opens a connection for each call, so that a call that must run at
	// most once never meets a connection that the endpoint is closing, and is
	// never sent again by the transport.
	single *http.Transport
	dialer *net.Dialer
	// lockedGate learns the rate limits that answers name.
	lockedGate *lockedGate
}

func newEndpointClient(k *lockedGate) *endpointClient {
	dialer := &net.Dialer{Timeout: connectTimeout}
	reused := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		MaxResponseHeaderBytes: headerLimit,
	}
	single := reused.Clone()
	single.DisableKeepAlives = true
	return &endpointClient{reused: reused, single: single, dialer: dialer, lockedGate: k}
}

func (c *endpointClient) close() {
	c.reused.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// connects reports whether an endpoint takes a connection.
func (c *endpointClient) connects(ctx context.Context, e Endpoint) bool {
	target, err := url.Parse(e.URL)
	if err != nil {
		return false
	}
	connection, err := c.dialer.DialContext(ctx, "tcp", address(target))
	if err != nil {
		return false
	}
	return connection.Close() == nil
}

// notAsked is an error of a call whose endpoint never saw any of it.
type notAsked struct {
	cause *fault.Error
	// refused: the endpoint takes no connections.
	refused bool
}

// Error implements error.
func (n notAsked) Error() string { return n.cause.Error() }

// Unwrap returns the fault.
func (n notAsked) Unwrap() error { return n.cause }

// onceBody is a request body that the transport cannot rewind and send again.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// call sends a dispatch to its endpoint and returns the answer's head. An error
// of type notAsked means that the endpoint never saw the call; after any other
// error it may have run.
func (c *endpointClient) call(ctx context.Context, e Endpoint, d *agentv1.DispatchRequest, streamID string) (*http.Response, error) {
	request, err := newRequest(ctx, e, d, streamID)
	if err != nil {
		return nil, err
	}
	transport := c.reused
	if d.GetClaimId() != "" {
		transport = c.single
	}
	return c.roundTrip(transport, request, e)
}

// roundTrip sends a request; an error of type notAsked means that the endpoint
// never saw any of it. All requests to endpoints pass here.
func (c *endpointClient) roundTrip(transport *http.Transport, request *http.Request, e Endpoint) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	if paused := c.lockedGate.checkSend(e.ID); paused != nil {
		countPaused(e.ID)
		return nil, notAsked{cause: paused}
	}
	sent := c.lockedGate.clock.now()
	response, err := transport.RoundTrip(request)
	switch {
	case err != nil && !connected.Load():
		return nil, unconnected(request.Context(), e, err)
	case err == nil:
		c.answered(e, sent, response)
	}
	return response, err
}

// answered takes in what an answer says of the requests that the endpoint takes.
func (c *endpointClient) answered(e Endpoint, sent time.Duration, response *http.Response) {
	c.lockedGate.named(e.ID, sent, response.Header.Get(engineapi.HeaderRateLimit))
	c.lockedGate.saidLeaving(e.ID, sent, response.Header.Get(engineapi.HeaderLeaving) != "")
	if pause, ok := ratelimit.RetryAfter(response.StatusCode, response.Header); ok {
		c.lockedGate.pushedBack(e.ID, pause)
		return
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		c.lockedGate.taken(e.ID, sent)
	}
}

// countPushback counts an answer that asks for a pause, countPaused a request that is not sent
// because of one.
func countPushback(endpoint string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_pushbacks_total{endpoint="` + endpoint + `"}`).Inc()
}

func countPaused(endpoint string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_paused_requests_total{endpoint="` + endpoint + `"}`).Inc()
}

// unconnected tells an endpoint that takes no connection from a call that the
// transport would not send.
func unconnected(ctx context.Context, e Endpoint, err error) error {
	var dial *net.OpError
	refused := ctx.Err() == nil && errors.As(err, &dial) && dial.Op == "dial"
	if ctx.Err() == nil && !refused {
		return invalidCall(err)
	}
	return notAsked{refused: refused, cause: fault.Newf(fault.Unavailable, "choose another endpoint",
		"endpoint %q takes no connection", e.ID).WithCause(err)}
}

func newRequest(ctx context.Context, e Endpoint, d *agentv1.DispatchRequest, streamID string) (*http.Request, error) {
	target, err := targetURL(e.URL, d.GetPath())
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, d.GetMethod(), target, bytes.NewReader(d.GetBody()))
	if err != nil {
		return nil, invalidCall(err)
	}
	if d.GetClaimId() != "" {
		request.GetBody = nil
		request.Body = onceBody{bytes.NewReader(d.GetBody())}
	}
	request.Header = requestHeader(d.GetHeaders())
	if d.GetClaimId() == "" {
		allowResend(request.Header)
	}
	if e.Kind == KindEngine {
		request.Header.Set(engineapi.HeaderPriority, strconv.Itoa(int(d.GetPriority())))
		setResume(request.Header, d.GetResumeOffset(), streamID)
	}
	telemetry.Inject(ctx, request.Header)
	return request, nil
}

// allowResend lets the transport send a call again that met a connection which
// the endpoint had closed. A key without values is not sent.
func allowResend(header http.Header) {
	if _, present := header[headerResend]; !present {
		header[headerResend] = nil
	}
}

func setResume(header http.Header, offset uint64, streamID string) {
	header.Del(engineapi.HeaderResumeOffset)
	header.Del(engineapi.HeaderStreamID)
	if offset > 0 {
		header.Set(engineapi.HeaderStreamID, streamID)
		header.Set(engineapi.HeaderResumeOffset, strconv.FormatUint(offset, 10))
	}
}

// targetURL joins an endpoint's URL and the path and query of a call. The path
// cannot lead to another host.
func targetURL(base, path string) (string, error) {
	if !strings.HasPrefix(path, "/") {
		return "", invalidCall(fault.New(fault.Invalid, "the path does not begin with a slash", "begin the path of the call with a slash"))
	}
	return strings.TrimSuffix(base, "/") + path, nil
}

func invalidCall(err error) error {
	return notAsked{cause: fault.New(fault.Invalid, "the call cannot be sent to an endpoint",
		"correct its method, path or headers").WithCause(err)}
}
