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
	// attemptTimeout bounds one try at one replica, which may be frozen.
	attemptTimeout = 2 * time.Second
	// maxAnswerBytes bounds one answer: the configuration of a large fleet takes
	// several megabytes.
	maxAnswerBytes = 64 << 20
	// roundPause is the wait after all replicas were tried in vain.
	roundPause = 100 * time.Millisecond
)

// Client asks the control replicas, one after the other, and follows the leader
// that they name. It is not safe for concurrent use.
type Client struct {
	// addrs are those that the settings name.
	addrs  []string
	cursor *replicas.Cursor
	dial   func(addr string) (grpc.ClientConnInterface, error)
}

// NewClient returns a client of the replicas at addrs, whose connections come
// from pool.
func NewClient(addrs []string, pool *link.Pool) *Client {
	return &Client{addrs: addrs, cursor: replicas.NewCursor(addrs, 0), dial: func(addr string) (grpc.ClientConnInterface, error) {
		return pool.Get(addr)
	}}
}

// requestKind tells requests that change something from those that only read.
type requestKind int

const (
	read requestKind = iota
	change
)

// ask calls a method until a replica decides or ctx ends. Only requests that
// may be sent more than once may be asked: if an answer is lost, the request is
// sent again.
func ask[Request, Response any](
	ctx context.Context, c *Client, kind requestKind, request *Request,
	method func(controlv1.ControlClient, context.Context, *Request, ...grpc.CallOption) (*Response, error),
) (*Response, error) {
	var last *fault.Error
	lost := false
	for try := 1; ; try++ {
		number, addr := c.cursor.Current()
		response, err := askOnce(ctx, c, addr, request, method)
		if err == nil {
			return response, nil
		}
		last = asFault(err)
		if decided(last) {
			return nil, last
		}
		lost = lost || (kind == change && last.Kind == fault.Unknown)
		c.cursor.Advance(number, last)
		if !pause(ctx, c.pauseAfter(try)) {
			return nil, c.givenUp(last, lost)
		}
	}
}

func askOnce[Request, Response any](
	ctx context.Context, c *Client, addr string, request *Request,
	method func(controlv1.ControlClient, context.Context, *Request, ...grpc.CallOption) (*Response, error),
) (*Response, error) {
	conn, err := c.dial(addr)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := method(controlv1.NewControlClient(conn), limited, request, grpc.MaxCallRecvMsgSize(maxAnswerBytes))
	return response, link.FromStatus(err)
}

func asFault(err error) *fault.Error {
	if typed := fault.As(err); typed != nil {
		return typed
	}
	return fault.New(fault.Unknown, "the answer of a control replica was lost", "run the same command again").WithCause(err)
}

// decided reports whether a fault is the decision of a replica, so that another
// one would say the same.
func decided(f *fault.Error) bool {
	switch f.Kind {
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Unknown, fault.Leaving, fault.Overloaded, fault.Internal:
		return false
	}
	return true
}

// pauseAfter is the wait after a try: none while there are replicas left to ask.
func (c *Client) pauseAfter(try int) time.Duration {
	if try%c.cursor.Len() != 0 {
		return 0
	}
	return roundPause
}

// pause waits for d and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// givenUp is the fault of a request that no replica decided in time. Once an
// answer was lost, nobody can say that nothing was done.
func (c *Client) givenUp(last *fault.Error, lost bool) *fault.Error {
	tried := strings.Join(c.addrs, ", ")
	if lost {
		return fault.Newf(fault.Unknown, "run the same command again: the same request gets the same answer",
			"an answer of the control replicas (%s) was lost; the request may have been carried out", tried).WithCause(last)
	}
	return fault.Newf(fault.Unavailable, "check that a majority of control replicas runs and that -control names them, then try again",
		"none of the control replicas (%s) could decide; nothing was done", tried).WithCause(last)
}

// Plan states an intent.
func (c *Client) Plan(ctx context.Context, intent *controlv1.Intent) (*controlv1.Plan, error) {
	response, err := ask(ctx, c, change, &controlv1.PlanRequest{Intent: intent}, controlv1.ControlClient.Plan)
	return response.GetPlan(), err
}

// Confirm accepts a plan and returns the revision that it made.
func (c *Client) Confirm(ctx context.Context, request *controlv1.ConfirmRequest) (uint64, error) {
	response, err := ask(ctx, c, change, request, controlv1.ControlClient.Confirm)
	return response.GetRevision(), err
}

// Cancel withdraws an intent that is not confirmed.
func (c *Client) Cancel(ctx context.Context, request *controlv1.CancelRequest) error {
	_, err := ask(ctx, c, change, request, controlv1.ControlClient.Cancel)
	return err
}

// Status reports the replicas, the daemons and open intents.
func (c *Client) Status(ctx context.Context) (*controlv1.StatusResponse, error) {
	return ask(ctx, c, read, &controlv1.StatusRequest{}, controlv1.ControlClient.Status)
}

// History lists intents, newest first.
func (c *Client) History(ctx context.Context, request *controlv1.HistoryRequest) (*controlv1.HistoryResponse, error) {
	return ask(ctx, c, read, request, controlv1.ControlClient.History)
}

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (*controlv1.GetConfigurationResponse, error) {
	return ask(ctx, c, read, &controlv1.GetConfigurationRequest{}, controlv1.ControlClient.GetConfiguration)
}

// Members changes or lists the replicas. A change is stated as the outcome, so
// it may be sent again.
func (c *Client) Members(ctx context.Context, request *controlv1.MembersRequest) (*controlv1.MembersResponse, error) {
	kind := change
	if proto.Equal(request, &controlv1.MembersRequest{}) {
		kind = read
	}
	return ask(ctx, c, kind, request, controlv1.ControlClient.Members)
}
