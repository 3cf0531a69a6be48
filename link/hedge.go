package link

import (
	"context"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// slowCall is the duration from which a call shows that its connection may be stalled by a lost
	// packet, whose retransmission takes 200 ms and more. Healthy calls that may be repeated take at
	// most half of it.
	slowCall = 150 * time.Millisecond
	// backupRetention is how long a second connection is kept after the last slow call.
	backupRetention = 30 * time.Second
)

// Hedger keeps a second connection to each address whose calls are slow, and repeats unanswered
// calls on it: a lost packet delays all calls on its connection until it is retransmitted. To
// addresses without slow calls there is no second connection. It is safe for concurrent use.
type Hedger struct {
	backups Backups

	mu    sync.Mutex
	addrs map[string]*hedgedAddr
}

// Backups are the second connections, usually a Pool.
type Backups interface {
	// Open starts to connect to an address without waiting for the connection.
	Open(addr string)
	// Ready reports whether the connection to an address is established.
	Ready(addr string) bool
	// Drop closes the connection to an address after the last call on it.
	Drop(addr string)
}

// hedgedAddr is the state of an address with a second connection.
type hedgedAddr struct {
	// overdue is the number of calls in progress on each of the two connections that have taken
	// longer than their delay.
	overdue [2]int
	// retention fires when the second connection is to be closed.
	retention *time.Timer
}

// The two connections to an address.
const (
	primaryConn = iota
	backupConn
)

// NewHedger returns a hedger with the given second connections.
func NewHedger(b Backups) *Hedger { return &Hedger{backups: b, addrs: map[string]*hedgedAddr{}} }

// recordSlow records a slow call, after which the address has a second connection for
// backupRetention.
func (h *Hedger) recordSlow(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.addrs[addr]; state != nil {
		state.retention.Reset(backupRetention)
		return
	}
	h.addrs[addr] = &hedgedAddr{retention: time.AfterFunc(backupRetention, func() { h.expire(addr) })}
	h.backups.Open(addr)
}

// expire closes the second connection to an address.
func (h *Hedger) expire(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.addrs, addr)
	h.backups.Drop(addr)
}

// isSlow reports whether there has been a slow call to an address within backupRetention.
func (h *Hedger) isSlow(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addrs[addr] != nil
}

// ready reports whether calls to an address can be repeated.
func (h *Hedger) ready(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addrs[addr] != nil && h.backups.Ready(addr)
}

// preferred returns the connection for the first attempt of a call: the second one while only calls
// on the other are overdue.
func (h *Hedger) preferred(addr string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.addrs[addr]
	if state != nil && state.overdue[primaryConn] > 0 && state.overdue[backupConn] == 0 && h.backups.Ready(addr) {
		return backupConn
	}
	return primaryConn
}

// setOverdue records that an attempt on a connection has become overdue, and returns a function that
// records its end.
func (h *Hedger) setOverdue(addr string, conn int) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.addrs[addr]
	if state == nil {
		return func() {}
	}
	state.overdue[conn]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		state.overdue[conn]--
	}
}

// HedgedCall is a call that is repeated at most once, on the second connection to its address, if
// there is no response in time. The peer must tolerate that it is run twice.
type HedgedCall[T any] struct {
	// Addr is the address that the call is made to.
	Addr string
	// Primary makes the call on the first connection, Backup on the second.
	Primary, Backup func(ctx context.Context) (T, error)
	// Late receives each response that arrives after Do has returned. It may be called from any
	// goroutine.
	Late func(T)
	// Delay is the time without a response after which the call is repeated, longer than healthy
	// calls take.
	Delay time.Duration
	// Wait bounds the time until Do returns; SlowWait does so after a slow call to the address, when
	// further calls, for which the caller has other paths, should not wait for a delayed one. Timeout
	// bounds each attempt.
	Wait, SlowWait, Timeout time.Duration
}

// attemptResult is the result of one attempt of a call.
type attemptResult[T any] struct {
	response T
	err      error
}

// Do makes the call and returns the first response, or an error once all attempts have failed or
// Wait (SlowWait) has elapsed. Attempts continue after Do has returned, until they time out or ctx ends. If h
// is nil, only the primary call is made, and it ends with Do.
func (c HedgedCall[T]) Do(ctx context.Context, h *Hedger) (T, error) {
	if h == nil {
		ctx, cancel := context.WithTimeout(ctx, c.Wait)
		defer cancel()
		return c.Primary(ctx)
	}
	results := make(chan attemptResult[T], 2)
	first := h.preferred(c.Addr)
	go c.attempt(ctx, h, first, results)
	pending := 1
	limit := c.Wait
	if h.isSlow(c.Addr) {
		limit = c.SlowWait
	}
	repeat, wait := time.NewTimer(c.Delay), time.NewTimer(limit)
	defer repeat.Stop()
	defer wait.Stop()
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				c.collectLate(results, pending)
				return result.response, result.err
			}
		case <-repeat.C:
			if h.ready(c.Addr) {
				pending++
				go c.attempt(ctx, h, backupConn-first, results)
			}
		case <-wait.C:
			c.collectLate(results, pending)
			var none T
			return none, fault.Newf(fault.Unknown, "repeat the call", "no response from %s within %v", c.Addr, limit)
		}
	}
}

// attempt makes the call on one connection.
func (c HedgedCall[T]) attempt(ctx context.Context, h *Hedger, conn int, results chan<- attemptResult[T]) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	slow := time.AfterFunc(slowCall, func() { h.recordSlow(c.Addr) })
	defer slow.Stop()
	var mu sync.Mutex
	ended, end := false, func() {}
	overdue := time.AfterFunc(c.Delay, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			end = h.setOverdue(c.Addr, conn)
		}
	})
	defer overdue.Stop()
	call := c.Primary
	if conn == backupConn {
		call = c.Backup
	}
	response, err := call(ctx)
	mu.Lock()
	ended = true
	end()
	mu.Unlock()
	results <- attemptResult[T]{response, err}
}

// collectLate passes the responses of the attempts in progress to Late.
func (c HedgedCall[T]) collectLate(results <-chan attemptResult[T], pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if result := <-results; result.err == nil {
				c.Late(result.response)
			}
		}
	}()
}
