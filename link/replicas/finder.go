// Package replicas sends calls to the leader of the control replicas.
package replicas

import (
	"context"
	"math/rand/v2"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
)

// CallTimeout bounds one call to one control replica.
const CallTimeout = time.Second

// Finder calls control replicas, starting with the last one that gave a final answer.
// It is safe for concurrent use.
type Finder struct {
	pool   *link.Pool
	cursor *Cursor
}

// New returns a finder for the replicas at the addresses, host:port.
func New(pool *link.Pool, addrs []string) *Finder {
	return &Finder{pool: pool, cursor: NewCursor(addrs, rand.IntN(max(len(addrs), 1)))}
}

// SetAddrs replaces the addresses.
func (f *Finder) SetAddrs(addrs []string) { f.cursor.Set(addrs) }

// Call calls the replica that gave the last final answer, then the leader that it
// names or else the others in turn, until one gives a final answer. It makes at most
// one call more than there are known replicas.
func (f *Finder) Call(ctx context.Context, call func(context.Context, controlv1.ControlClient) error) error {
	return f.CallUntil(ctx, call, isFinal)
}

// CallUntil is like Call, but final reports whether an error is a final answer, after
// which no other replica is called.
func (f *Finder) CallUntil(ctx context.Context, call func(context.Context, controlv1.ControlClient) error, final func(error) bool) error {
	err := error(fault.New(fault.Unavailable, "no control replica is known", "set the address of at least one control replica"))
	for range f.cursor.Len() + 1 {
		index, addr := f.cursor.Current()
		if addr == "" {
			return err
		}
		err = f.callReplica(ctx, addr, call)
		if err == nil || final(err) || ctx.Err() != nil {
			return err
		}
		f.cursor.Advance(index, err)
	}
	return err
}

func (f *Finder) callReplica(ctx context.Context, addr string, call func(context.Context, controlv1.ControlClient) error) error {
	connection, err := f.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call(ctx, controlv1.NewControlClient(connection))
}

// isFinal reports whether no other replica could give a better answer.
func isFinal(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Conflict, fault.Fenced, fault.Unauthenticated:
		return true
	}
	return false
}
