package e2e

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
)

// anyProcess applies a partition to the connections of all processes.
const anyProcess = 0

// partition says which directions are blocked: up to the daemon, down from it.
type partition struct{ up, down bool }

// forwarder forwards TCP connections to one daemon and can partition it. A partition keeps
// connections open, accepts new ones and holds back the data sent on them until it heals, like
// a network that loses packets for a while.
type forwarder struct {
	target  string
	mu      sync.Mutex
	changed *sync.Cond
	// partitions holds the active partitions by process ID of the dialing side.
	partitions  map[int]partition
	connections map[*forwardedConn]bool
}

// forwardedConn is a forwarded connection: client is the side that dialed, server the target.
type forwardedConn struct {
	client, server net.Conn
	blocked        partition
}

// startForwarders starts a forwarder for each target.
func startForwarders(t *testing.T, targets []string) (forwarders []*forwarder, addrs []string) {
	t.Helper()
	listeners := listenOnFreePorts(t, len(targets))
	for i, target := range targets {
		listener := listeners[i]
		addrs = append(addrs, listener.Addr().String())
		f := &forwarder{target: target, partitions: map[int]partition{}, connections: map[*forwardedConn]bool{}}
		f.changed = sync.NewCond(&f.mu)
		t.Cleanup(func() { _ = listener.Close(); f.heal(); f.reset() })
		go f.serve(listener)
		forwarders = append(forwarders, f)
	}
	return forwarders, addrs
}

func (f *forwarder) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &forwardedConn{client: client, server: server}
		f.mu.Lock()
		f.connections[c] = true
		for pid, p := range f.partitions {
			c.blockIfDialedBy(pid, p)
		}
		f.mu.Unlock()
		go f.pump(server, client, func() bool { return c.blocked.up })
		go f.pump(client, server, func() bool { return c.blocked.down })
	}
}

// pump copies one direction of a connection while it is not blocked.
func (f *forwarder) pump(to, from net.Conn, blocked func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		for blocked() {
			f.changed.Wait()
		}
		f.mu.Unlock()
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// partition starts a partition for the connections of a process.
func (f *forwarder) partition(pid int, p partition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitions[pid] = p
	for connection := range f.connections {
		connection.blockIfDialedBy(pid, p)
	}
}

// reset closes all connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.connections {
		_, _ = connection.client.Close(), connection.server.Close()
	}
	clear(f.connections)
}

// heal ends all partitions. The data held back is then delivered late.
func (f *forwarder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.partitions)
	for connection := range f.connections {
		connection.blocked = partition{}
	}
	f.changed.Broadcast()
}

// blockIfDialedBy blocks the connection if the process dialed it.
func (c *forwardedConn) blockIfDialedBy(pid int, p partition) {
	if pid == anyProcess || dialedBy(pid, c.client.RemoteAddr().(*net.TCPAddr).Port) {
		c.blocked = p
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
