package operator

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/link/replicas"
)

const (
	// attemptTimeout bounds one attempt at one replica, which may hang.
	attemptTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response: the configuration of a
	// large fleet takes several megabytes.
	maxResponseBytes = 64 << 20
	// roundRetryDelay is the delay before the next attempt after all replicas have
	// failed.
	roundRetryDelay = 100 * time.Millisecond
)

// Client sends requests to the control replicas, one after the other, and follows
// the leader that they name. It is not safe for concurrent use.
type Client struct {
	// addrs are the configured addresses.
	addrs  []string
	cursor *replicas.Cursor
	dial   func(addr string) (grpc.ClientConnInterface, error)
}

// NewClient returns a client of the replicas at addrs that takes its connections from
// pool.
func NewClient(addrs []string, pool *link.Pool) *Client {
	return &Client{addrs: addrs, cursor: replicas.NewCursor(addrs, 0), dial: func(addr string) (grpc.ClientConnInterface, error) {
		return pool.Get(addr)
	}}
}

// requestKind distinguishes requests that change state from those that only read it.
type requestKind int

const (
	readRequest requestKind = iota
	changeRequest
)

// call calls a method until a replica returns a final result or ctx ends. The request
// must be idempotent, because it is sent again if a response is lost.
func call[Request, Response any](
	ctx context.Context, c *Client, kind requestKind, request *Request,
	method func(controlv1.ControlClient, context.Context, *Request, ...grpc.CallOption) (*Response, error),
) (*Response, error) {
	var lastErr *fault.Error
	lost := false
	for attempt := 1; ; attempt++ {
		index, addr := c.cursor.Current()
		response, err := callOnce(ctx, c, addr, request, method)
		if err == nil {
			return response, nil
		}
		lastErr = asFaultError(err)
		if isFinal(lastErr) {
			return nil, lastErr
		}
		lost = lost || (kind == changeRequest && lastErr.Kind == fault.Unknown)
		c.cursor.Advance(index, lastErr)
		if !sleep(ctx, c.retryDelay(attempt)) {
			return nil, c.noDecisionError(lastErr, lost)
		}
	}
}

func callOnce[Request, Response any](
	ctx context.Context, c *Client, addr string, request *Request,
	method func(controlv1.ControlClient, context.Context, *Request, ...grpc.CallOption) (*Response, error),
) (*Response, error) {
	conn, err := c.dial(addr)
	if err != nil {
		return nil, err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := method(controlv1.NewControlClient(conn), attemptCtx, request, grpc.MaxCallRecvMsgSize(maxResponseBytes))
	return response, link.FromStatus(err)
}

func asFaultError(err error) *fault.Error {
	if typed := fault.As(err); typed != nil {
		return typed
	}
	return fault.New(fault.Unknown, "the response from a control replica was lost", "run the same command again").WithCause(err)
}

// isFinal reports whether an error is the decision of a replica, so that any other
// replica would return the same.
func isFinal(f *fault.Error) bool {
	switch f.Kind {
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Unknown, fault.Leaving, fault.Overloaded, fault.Internal:
		return false
	}
	return true
}

// retryDelay returns the delay after an attempt: none until every replica has been
// tried.
func (c *Client) retryDelay(attempt int) time.Duration {
	if attempt%c.cursor.Len() != 0 {
		return 0
	}
	return roundRetryDelay
}

// sleep waits for d and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// noDecisionError returns the error of a request that no replica decided in time. If
// a response was lost, the request may have been executed.
func (c *Client) noDecisionError(lastErr *fault.Error, lost bool) *fault.Error {
	tried := strings.Join(c.addrs, ", ")
	if lost {
		return fault.Newf(fault.Unknown, "run the same command again: the same request gets the same response",
			"a response from the control replicas (%s) was lost; the request may have been executed", tried).WithCause(lastErr)
	}
	return fault.Newf(fault.Unavailable, "check that a majority of the control replicas is running and that -control lists them, then retry",
		"none of the control replicas (%s) could process the request; nothing was done", tried).WithCause(lastErr)
}

// Plan submits an intent and returns its plan.
func (c *Client) Plan(ctx context.Context, intent *controlv1.Intent) (*controlv1.Plan, error) {
	response, err := call(ctx, c, changeRequest, &controlv1.PlanRequest{Intent: intent}, controlv1.ControlClient.Plan)
	return response.GetPlan(), err
}

// Confirm accepts a plan and returns the revision that it created.
func (c *Client) Confirm(ctx context.Context, request *controlv1.ConfirmRequest) (uint64, error) {
	response, err := call(ctx, c, changeRequest, request, controlv1.ControlClient.Confirm)
	return response.GetRevision(), err
}

// Cancel withdraws an intent that is not confirmed.
func (c *Client) Cancel(ctx context.Context, request *controlv1.CancelRequest) error {
	_, err := call(ctx, c, changeRequest, request, controlv1.ControlClient.Cancel)
	return err
}

// Status returns the replicas, the daemons and the open intents.
func (c *Client) Status(ctx context.Context) (*controlv1.StatusResponse, error) {
	return call(ctx, c, readRequest, &controlv1.StatusRequest{}, controlv1.ControlClient.Status)
}

// History lists intents, newest first.
func (c *Client) History(ctx context.Context, request *controlv1.HistoryRequest) (*controlv1.HistoryResponse, error) {
	return call(ctx, c, readRequest, request, controlv1.ControlClient.History)
}

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (*controlv1.GetConfigurationResponse, error) {
	return call(ctx, c, readRequest, &controlv1.GetConfigurationRequest{}, controlv1.ControlClient.GetConfiguration)
}

// Members changes or lists the replicas. A change describes the desired membership,
// so it is idempotent.
func (c *Client) Members(ctx context.Context, request *controlv1.MembersRequest) (*controlv1.MembersResponse, error) {
	kind := changeRequest
	if proto.Equal(request, &controlv1.MembersRequest{}) {
		kind = readRequest
	}
	return call(ctx, c, kind, request, controlv1.ControlClient.Members)
}
