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

// connections caches one connection per source, so that a client that returns to
// a source need not dial again.
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
		return nil, trace.Wrap(err, "cannot connect to the configuration source %v; check its address", addr)
	}
	c.byAddr[addr] = conn
	return conn, nil
}

// drop closes a connection, so that the next use of the source dials again: the
// connection to a frozen or partitioned peer may still appear to be open.
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

// watch watches one source until it has to be left, which is an error, or until
// the limit, if any, has passed. wasFresh reports whether the source ever sent a
// fresh pong.
func (c *Client) watch(ctx context.Context, connections *connections, source string, limit time.Duration) (wasFresh bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := connections.get(source)
	if err != nil {
		return false, err
	}
	if err := waitReady(ctx, conn); err != nil {
		connections.drop(source)
		return false, err
	}
	watchStarted := time.Now()
	c.startWatch(source, watchStarted)
	w := &watch{client: c, cancel: cancel, watchStarted: watchStarted}
	// The watchdog also ends the stream while a call on it blocks.
	w.watchdog = time.AfterFunc(time.Until(c.sourceDeadline()), w.checkDeadline)
	defer w.watchdog.Stop()
	if limit > 0 {
		limitTimer := time.AfterFunc(limit, cancel)
		defer limitTimer.Stop()
	}
	err = w.run(ctx, conn)
	wasFresh = c.hadFreshPong(watchStarted)
	if limit > 0 && time.Since(watchStarted) >= limit && c.checkSource() == nil {
		return wasFresh, nil
	}
	connections.drop(source)
	if reason := c.checkSource(); reason != nil {
		err = reason
	}
	return wasFresh, trace.Wrap(err)
}

// connectTimeout bounds the time to connect to a source. It allows for several round trips
// between regions. A source that is down or frozen is left after this time rather than after
// FirstPongTimeout: with two of five control hosts down, a daemon that switched from one of
// them to the other received a change after a delay of 4 s; 2 to 2.5 s are allowed.
const connectTimeout = 500 * time.Millisecond

// waitReady waits until a connection is ready for calls, for at most
// connectTimeout.
func waitReady(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return fault.New(fault.Unavailable, "connecting to the configuration source timed out", "the client watches the next source")
		}
		if state == connectivity.Connecting && conn.GetState() == connectivity.TransientFailure {
			return fault.New(fault.Unavailable, "the configuration source does not accept connections", "the client watches the next source")
		}
	}
	return nil
}

// watch is one stream to one source.
type watch struct {
	client       *Client
	cancel       context.CancelFunc
	watchStarted time.Time
	watchdog     *time.Timer
}

// checkDeadline ends the stream if the source has to be left. Otherwise it schedules
// the next check for the earliest time at which the source may have to be left. It
// may be called from any goroutine.
func (w *watch) checkDeadline() {
	if w.client.checkSource() != nil {
		w.cancel()
		return
	}
	w.watchdog.Reset(max(time.Until(w.client.sourceDeadline()), time.Millisecond))
}

func (w *watch) run(ctx context.Context, conn *grpc.ClientConn) error {
	stream, err := controlv1.NewFeedClient(conn).Watch(ctx,
		grpc.MaxCallRecvMsgSize(maxMessageBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := stream.Send(w.client.helloRequest()); err != nil {
		return trace.Wrap(err)
	}
	pingErr := make(chan error, 1)
	go func() { pingErr <- w.sendPings(ctx, stream) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			w.cancel()
			<-pingErr
			return trace.Wrap(err)
		}
		if err := w.client.receive(message); err != nil {
			w.cancel()
			<-pingErr
			return err
		}
		// A pong can make the deadline earlier as well as later: after the first
		// one the shorter PongTimeout applies instead of FirstPongTimeout.
		w.checkDeadline()
	}
}

// sendPings sends pings at regular intervals, and immediately when there is a new
// revision to acknowledge.
func (w *watch) sendPings(ctx context.Context, stream grpc.BidiStreamingClient[controlv1.WatchRequest, controlv1.WatchResponse]) error {
	for {
		changed := w.client.Changed()
		ping := w.client.pingRequest()
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
	return min(initialPingInterval, c.cfg.PingInterval)
}

// startWatch records the source that is watched from now on.
func (c *Client) startWatch(source string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = source
	c.follower.StartWatch(now)
}

// helloRequest returns the first message of a watch.
func (c *Client) helloRequest() *controlv1.WatchRequest {
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

// pingRequest returns a ping with the acknowledged revision and, on a relay, the
// statuses of the downstream daemons.
func (c *Client) pingRequest() *controlv1.WatchRequest {
	now := time.Now()
	c.mu.Lock()
	ping := c.follower.Ping(now)
	c.mu.Unlock()
	if c.downstream != nil {
		ping.Below = c.downstream(now)
	}
	return &controlv1.WatchRequest{Kind: &controlv1.WatchRequest_Ping{Ping: ping}}
}

// receive processes one message. For a new revision the callbacks run first, then
// Configuration returns it, and only then is it acknowledged and counted as
// confirmed.
func (c *Client) receive(message *controlv1.WatchResponse) error {
	if replicas := message.GetPong().GetReplicas(); len(replicas) > 0 {
		c.setDiscoveredReplicas(replicas)
	}
	now := time.Now()
	c.mu.Lock()
	transition, err := c.follower.Receive(now, message)
	callbacks := c.transitionCallbacks
	c.mu.Unlock()
	if err != nil || transition == nil {
		return err
	}
	for _, callback := range callbacks {
		callback(transition)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = transition.New
	c.follower.Acknowledge(transition.New.Revision)
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// checkSource returns why the current source has to be left, or nil.
func (c *Client) checkSource() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.CheckSource(time.Now())
}

// sourceDeadline returns the earliest time at which the current source may have to
// be left.
func (c *Client) sourceDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.SourceDeadline()
}

// hadFreshPong reports whether the watch started at the given time has received a
// fresh pong.
func (c *Client) hadFreshPong(watchStarted time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.HadFreshPong(watchStarted)
}
