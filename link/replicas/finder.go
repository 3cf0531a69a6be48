// Package replicas finds the control replica that decides.
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

// Finder asks control replicas, first the one that decided last. It is safe for
// concurrent use.
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

// Ask calls the replica that decided last, then the leader that it names or the
// others in turn, until one answers. It makes one round over the replicas.
func (f *Finder) Call(ctx context.Context, call func(context.Context, controlv1.ControlClient) error) error {
	return f.CallUntil(ctx, call, decides)
}

// AskUntil is Ask, where decided reports whether an error is the answer of a replica that
// decides, so that no other is asked.
func (f *Finder) CallUntil(ctx context.Context, call func(context.Context, controlv1.ControlClient) error, decided func(error) bool) error {
	err := error(fault.New(fault.Unavailable, "no control replica is known", "name one in the settings"))
	for range f.cursor.Len() + 1 {
		number, addr := f.cursor.Current()
		if addr == "" {
			return err
		}
		err = f.askOne(ctx, addr, call)
		if err == nil || decided(err) || ctx.Err() != nil {
			return err
		}
		f.cursor.Advance(number, err)
	}
	return err
}

func (f *Finder) askOne(ctx context.Context, addr string, call func(context.Context, controlv1.ControlClient) error) error {
	connection, err := f.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call(ctx, controlv1.NewControlClient(connection))
}

// decides reports whether no other replica may answer better.
func decides(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Conflict, fault.Fenced, fault.Unauthenticated:
		return true
	}
	return false
}
