package link

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/stats"

	"github.com/lilackeel/lilackeel/fault"
)

// Pool keeps one client connection per address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
}

// pooledConn is a connection and the number of calls in flight on it. Its fields
// are guarded by the mutex of the pool.
type pooledConn struct {
	conn     *grpc.ClientConn
	inFlight int
	retired  bool
}

// NewPool returns a pool whose connections use the given options, usually those
// of DialOptions.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{options: options, conns: make(map[string]*pooledConn)}
}

// Sibling returns an empty pool whose connections use the same options.
func (p *Pool) Sibling() *Pool { return NewPool(p.options...) }

// Get returns the connection to address (host:port), which it creates on first
// use. It does not wait for the network; the first call on the connection does.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.Leaving, "the connection pool is closed", "this process is stopping; send the request to another one")
	}
	if pooled, ok := p.conns[address]; ok {
		return pooled.conn, nil
	}
	pooled := &pooledConn{}
	options := append([]grpc.DialOption{grpc.WithStatsHandler(&callCounter{p, pooled})}, p.options...)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "write host:port", "cannot create a connection to %q", address).WithCause(err)
	}
	pooled.conn = conn
	p.conns[address] = pooled
	return conn, nil
}

// Open starts to connect to address without waiting for the connection.
func (p *Pool) Open(address string) {
	if conn, err := p.Get(address); err == nil {
		conn.Connect()
	}
}

// Ready reports whether the pool has an established connection to address.
func (p *Pool) Ready(address string) bool {
	p.mu.Lock()
	pooled := p.conns[address]
	p.mu.Unlock()
	return pooled != nil && pooled.conn.GetState() == connectivity.Ready
}

// Drop removes the connection to address from the pool. Calls in flight on it
// continue; it is closed after the last of them.
func (p *Pool) Drop(address string) {
	if pooled := p.retire(address); pooled != nil {
		_ = pooled.conn.Close()
	}
}

// retire removes a connection from the pool and returns it if it is idle, so that
// the caller can close it.
func (p *Pool) retire(address string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled, ok := p.conns[address]
	if !ok {
		return nil
	}
	delete(p.conns, address)
	pooled.retired = true
	if pooled.inFlight > 0 {
		return nil
	}
	return pooled
}

// Close closes all connections immediately, which aborts the calls in flight on
// them.
func (p *Pool) Close() error {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[string]*pooledConn)
	p.closed = true
	p.mu.Unlock()
	var errs []error
	for _, pooled := range conns {
		errs = append(errs, pooled.conn.Close())
	}
	return errors.Join(errs...)
}

// callCounter counts the calls in flight on a connection and closes a retired
// connection after the last one. It implements stats.Handler.
type callCounter struct {
	pool   *Pool
	pooled *pooledConn
}

// TagRPC implements stats.Handler.
func (*callCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (c *callCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	change := 0
	switch event.(type) {
	case *stats.Begin:
		change = 1
	case *stats.End:
		change = -1
	default:
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pooled.inFlight += change
	if c.pooled.retired && c.pooled.inFlight == 0 {
		// The connection itself reports the event, so closing it here would wait
		// for itself.
		go func() { _ = c.pooled.conn.Close() }()
	}
}

// TagConn implements stats.Handler.
func (*callCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*callCounter) HandleConn(context.Context, stats.ConnStats) {}
