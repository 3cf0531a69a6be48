package e2e

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
)

// anyone stands for all processes that dial a forwarder.
const anyone = 0

// cut says which way nothing passes: up to the daemon, down from it.
type cut struct{ up, down bool }

// forwarder passes TCP on to one daemon and can be cut. A silent cut keeps
// connections open, accepts new ones and holds what is sent on them back until
// it heals, as a network does that loses packets for a while.
type forwarder struct {
	target  string
	mu      sync.Mutex
	changed *sync.Cond
	// cuts holds the silent cuts by process id of the dialing side.
	cuts map[int]cut
	open map[*forwarded]bool
}

// forwarded is one connection, near to the side that dialed.
type forwarded struct {
	near, far net.Conn
	held      cut
}

// forwardTo starts a forwarder for each target.
func forwardTo(t *testing.T, targets []string) (list []*forwarder, addrs []string) {
	t.Helper()
	open := listeners(t, len(targets))
	for i, target := range targets {
		listener := open[i]
		addrs = append(addrs, listener.Addr().String())
		f := &forwarder{target: target, cuts: map[int]cut{}, open: map[*forwarded]bool{}}
		f.changed = sync.NewCond(&f.mu)
		t.Cleanup(func() { _ = listener.Close(); f.heal(); f.reset() })
		go f.serve(listener)
		list = append(list, f)
	}
	return list, addrs
}

func (f *forwarder) serve(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &forwarded{near: near, far: far}
		f.mu.Lock()
		f.open[c] = true
		for pid, held := range f.cuts {
			c.hold(pid, held)
		}
		f.mu.Unlock()
		go f.pump(far, near, func() bool { return c.held.up })
		go f.pump(near, far, func() bool { return c.held.down })
	}
}

// pump passes one direction of a connection on.
func (f *forwarder) pump(to, from net.Conn, held func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		for held() {
			f.changed.Wait()
		}
		f.mu.Unlock()
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// cut begins a silent cut for the connections of a process.
func (f *forwarder) cut(pid int, c cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[pid] = c
	for connection := range f.open {
		connection.hold(pid, c)
	}
}

// reset breaks all connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.open {
		_, _ = connection.near.Close(), connection.far.Close()
	}
	clear(f.open)
}

// heal lets everything pass, late.
func (f *forwarder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	for connection := range f.open {
		connection.held = cut{}
	}
	f.changed.Broadcast()
}

// hold holds the connection back if the process has made it.
func (c *forwarded) hold(pid int, held cut) {
	if pid == anyone || dialedBy(pid, c.near.RemoteAddr().(*net.TCPAddr).Port) {
		c.held = held
	}
}

// dialedBy reports whether the process has a socket with the local port.
func dialedBy(pid, port int) bool {
	table, _ := os.ReadFile("/proc/net/tcp")
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			continue
		}
		for _, d := range descriptors {
			if link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, d.Name())); link == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}
