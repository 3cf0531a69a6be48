package feed

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// connections keeps one connection per source, so that a client that comes back
// to a source need not dial again.
type connections struct {
	options []grpc.DialOption
	byAddr  map[string]*grpc.ClientConn
}

func newConnections(options []grpc.DialOption) *connections {
	return &connections{options: options, byAddr: map[string]*grpc.ClientConn{}}
}

func (c *connections) get(addr string) (*grpc.ClientConn, error) {
	if conn, ok := c.byAddr[addr]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(addr, c.options...)
	if err != nil {
		return nil, trace.Wrap(err, "cannot watch %v; check the address of the source", addr)
	}
	c.byAddr[addr] = conn
	return conn, nil
}

// drop closes a connection, so that the next use of the source dials anew: a
// frozen or cut-off peer leaves the connection looking alive.
func (c *connections) drop(addr string) {
	if conn, ok := c.byAddr[addr]; ok {
		delete(c.byAddr, addr)
		_ = conn.Close()
	}
}

func (c *connections) close() {
	for addr := range c.byAddr {
		c.drop(addr)
	}
}

// watch follows one source until it has to be left, which is an error, or until
// the limit, if any, has passed. It reports whether the source ever had fresh
// knowledge.
func (c *Client) watch(ctx context.Context, connections *connections, source string, limit time.Duration) (worked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := connections.get(source)
	if err != nil {
		return false, err
	}
	if err := connected(ctx, conn); err != nil {
		connections.drop(source)
		return false, err
	}
	opened := time.Now()
	c.begin(source, opened)
	w := &watch{client: c, cancel: cancel, opened: opened}
	// The watchdog ends the stream also while a call on it blocks.
	w.watchdog = time.AfterFunc(time.Until(c.giveUp()), w.check)
	defer w.watchdog.Stop()
	if limit > 0 {
		expiry := time.AfterFunc(limit, cancel)
		defer expiry.Stop()
	}
	err = w.run(ctx, conn)
	worked = c.worked(opened)
	if limit > 0 && time.Since(opened) >= limit && c.keep() == nil {
		return worked, nil
	}
	connections.drop(source)
	if reason := c.keep(); reason != nil {
		err = reason
	}
	return worked, trace.Wrap(err)
}

// connectLimit bounds the time to connect to a source, several round trips between regions.
// A source that is down or frozen is left after it, and not after the time that a first
// answer may take: with two of five control hosts down, a daemon that followed one and went
// on to the other learned of a change 4 s later, and 2 to 2.5 s are allowed.
const connectLimit = 500 * time.Millisecond

// connected waits until a connection is ready for calls.
func connected(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return fault.New(fault.Unavailable, "the source did not take a connection in time", "the client watches the next source")
		}
		if state == connectivity.Connecting && conn.GetState() == connectivity.TransientFailure {
			return fault.New(fault.Unavailable, "the source takes no connection", "the client watches the next source")
		}
	}
	return nil
}

// watch is one stream to one source.
type watch struct {
	client   *Client
	cancel   context.CancelFunc
	opened   time.Time
	watchdog *time.Timer
}

// check ends the stream if the source has to be left, and looks again when it
// next may have to be. It may be called from any goroutine.
func (w *watch) check() {
	if w.client.keep() != nil {
		w.cancel()
		return
	}
	w.watchdog.Reset(max(time.Until(w.client.giveUp()), time.Millisecond))
}

func (w *watch) run(ctx context.Context, conn *grpc.ClientConn) error {
	stream, err := controlv1.NewFeedClient(conn).Watch(ctx,
		grpc.MaxCallRecvMsgSize(maxSnapshotBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := stream.Send(w.client.hello()); err != nil {
		return trace.Wrap(err)
	}
	failed := make(chan error, 1)
	go func() { failed <- w.ping(ctx, stream) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			w.cancel()
			<-failed
			return trace.Wrap(err)
		}
		if err := w.client.receive(message); err != nil {
			w.cancel()
			<-failed
			return err
		}
		// An answer brings the time to leave closer as well as further away: the
		// first one ends the long wait for a whole configuration.
		w.check()
	}
}

// ping sends pings in a regular rhythm, and at once when there is a new
// revision to acknowledge.
func (w *watch) ping(ctx context.Context, stream grpc.BidiStreamingClient[controlv1.WatchRequest, controlv1.WatchResponse]) error {
	for {
		changed := w.client.Changed()
		ping := w.client.nextPing()
		if err := stream.Send(ping); err != nil {
			return trace.Wrap(err)
		}
		timer := time.NewTimer(w.client.pingInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

// pingInterval is the time until the next ping.
func (c *Client) pingInterval() time.Duration {
	if c.Ready() {
		return c.cfg.PingInterval
	}
	return min(blankPingInterval, c.cfg.PingInterval)
}

// begin notes the source that is watched from now on.
func (c *Client) begin(source string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = source
	c.follower.StartWatch(now)
}

// hello returns the first message of a watch.
func (c *Client) hello() *controlv1.WatchRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &controlv1.WatchRequest{Kind: &controlv1.WatchRequest_Hello{Hello: &controlv1.Hello{
		Daemon:      c.cfg.Daemon,
		Role:        c.cfg.Role,
		Zone:        c.cfg.Zone,
		Incarnation: c.cfg.Incarnation,
		Revision:    c.follower.HeldRevision(),
	}}}
}

// nextPing returns a ping with the acknowledged revision and, at a relay, the
// daemons below it.
func (c *Client) nextPing() *controlv1.WatchRequest {
	now := time.Now()
	c.mu.Lock()
	ping := c.follower.Ping(now)
	c.mu.Unlock()
	if c.below != nil {
		ping.Below = c.below(now)
	}
	return &controlv1.WatchRequest{Kind: &controlv1.WatchRequest_Ping{Ping: ping}}
}

// receive takes one message in: the callbacks run first, then the revision is
// shown, and only then it is acknowledged and its confirmation counts.
func (c *Client) receive(message *controlv1.WatchResponse) error {
	if replicas := message.GetPong().GetReplicas(); len(replicas) > 0 {
		c.learn(replicas)
	}
	now := time.Now()
	c.mu.Lock()
	step, err := c.follower.Receive(now, message)
	callbacks := c.applied
	c.mu.Unlock()
	if err != nil || step == nil {
		return err
	}
	for _, callback := range callbacks {
		callback(step)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = step.New
	c.follower.Acknowledge(step.New.Revision)
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// keep returns why the present source has to be left, or nil.
func (c *Client) keep() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.CheckSource(time.Now())
}

// giveUp returns when the present source has to be left at the earliest.
func (c *Client) giveUp() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.SourceDeadline()
}

// worked reports whether the watch opened at that time ever had fresh knowledge.
func (c *Client) worked(opened time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.HadFreshPong(opened)
}
