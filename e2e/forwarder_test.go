package e2e

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
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
	// inode is that of the dialing process's socket.
	inode   string
	blocked partition
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
		go f.connect(client)
	}
}

// connect connects an accepted connection to the target. Nothing is forwarded on it before the
// partition of the process that dialed it applies.
func (f *forwarder) connect(client net.Conn) {
	server, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &forwardedConn{client: client, server: server, inode: socketInode(client)}
	f.mu.Lock()
	f.connections[c] = true
	for pid, p := range f.partitions {
		blockDialedBy(pid, p, c)
	}
	f.mu.Unlock()
	go f.pump(server, client, func() bool { return c.blocked.up })
	go f.pump(client, server, func() bool { return c.blocked.down })
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
	blockDialedBy(pid, p, slices.Collect(maps.Keys(f.connections))...)
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

// blockDialedBy blocks those of the connections that the process dialed.
func blockDialedBy(pid int, p partition, connections ...*forwardedConn) {
	var dialed map[string]bool
	if pid != anyProcess {
		dialed = openSockets(pid)
	}
	for _, c := range connections {
		if pid == anyProcess || dialed[c.inode] {
			c.blocked = p
		}
	}
}

// openSockets returns the inodes of the process's sockets.
func openSockets(pid int) map[string]bool {
	inodes := map[string]bool{}
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	for _, d := range descriptors {
		link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, d.Name()))
		if inode, found := strings.CutPrefix(link, "socket:["); found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// socketInode returns the inode of the socket that dialed an accepted connection. Both of its ports
// identify it: the system gives the same local port to several connections if their remote ports
// differ. It reads the system's table, which takes long while other tests have thousands of sockets
// open, and so must not be called with a lock held.
func socketInode(accepted net.Conn) string {
	hexPort := func(address net.Addr) string { return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port) }
	local, remote := hexPort(accepted.RemoteAddr()), hexPort(accepted.LocalAddr())
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) >= 10 && strings.HasSuffix(fields[1], local) && strings.HasSuffix(fields[2], remote) {
			return fields[9]
		}
	}
	return ""
}
