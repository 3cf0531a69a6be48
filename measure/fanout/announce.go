package fanout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// heartbeat is the interval at which each agent renews its lease.
	heartbeat = 500 * time.Millisecond
	// announcementTime is the length of the measured window.
	announcementTime = 4 * time.Second
)

// announcementCost is the cost of lease renewals for one number of agents.
type announcementCost struct {
	Agents int `json:"agents"`
	// PerSecond is the number of announcements accepted per second.
	PerSecond float64 `json:"announcements_per_second"`
	// CPU is the CPU time per announcement in microseconds, of agents and replicas
	// together.
	CPU float64 `json:"cpu_us_per_announcement"`
	// Bytes is the number of bytes per announcement on the connection, request and
	// response together.
	Bytes float64 `json:"bytes_per_announcement"`
}

// newCountingPool returns a connection pool that counts the bytes sent and
// received on its connections.
func newCountingPool(counter *byteCounter) (*link.Pool, error) {
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	var dialer net.Dialer
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		return countingConn{conn, counter}, err
	}
	return link.NewPool(append(options, grpc.WithContextDialer(dial))...), nil
}

func (p Plan) reportAnnouncements(w io.Writer, results *figures) error {
	fmt.Fprintf(w, "\nLease renewals, one per agent every %v, sent to the leader of %d replicas; CPU time of agents and replicas together.\n\n", heartbeat, replicas)
	fmt.Fprintln(w, "| agents | announcements/s | CPU µs per announcement | bytes per announcement |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, agents := range p.FleetSizes {
		result, err := measureAnnouncements(agents)
		if err != nil {
			return err
		}
		results.Announcements = append(results.Announcements, result)
		fmt.Fprintf(w, "| %d | %.0f | %.0f | %.0f |\n", agents, result.PerSecond, result.CPU, result.Bytes)
	}
	return nil
}

// measureAnnouncements measures the cost of lease renewals by the given number of
// agents.
func measureAnnouncements(agents int) (result announcementCost, err error) {
	dir, err := os.MkdirTemp("", "lilackeel-announce")
	if err != nil {
		return announcementCost{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := startCluster(dir)
	if err != nil {
		return announcementCost{}, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counter := &byteCounter{}
	pool, err := newCountingPool(counter)
	if err != nil {
		return announcementCost{}, err
	}
	defer func() { _ = pool.Close() }()
	leader, err := c.registerAgents(ctx, pool, agents)
	if err != nil {
		return announcementCost{}, err
	}
	return measureRenewals(ctx, leader, agents, counter), nil
}

// measureRenewals measures the cost of all agents renewing their leases. The CPU
// time that the same replicas use without renewals is subtracted.
func measureRenewals(ctx context.Context, leader controlv1.ControlClient, agents int, counter *byteCounter) announcementCost {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	time.Sleep(settleTime)
	idleStart := currentUsage(counter)
	time.Sleep(announcementTime)
	idleEnd := currentUsage(counter)
	var accepted atomic.Int64
	var group sync.WaitGroup
	for i := range agents {
		group.Go(func() { renewLease(ctx, leader, i, agents, &accepted) })
	}
	time.Sleep(settleTime)
	start, acceptedBefore := currentUsage(counter), accepted.Load()
	time.Sleep(announcementTime)
	end, acceptedAfter := currentUsage(counter), accepted.Load()
	cancel()
	group.Wait()
	seconds := end.at.Sub(start.at).Seconds()
	idleCPU := microseconds(idleEnd.cpu-idleStart.cpu) / idleEnd.at.Sub(idleStart.at).Seconds()
	renewals := float64(acceptedAfter - acceptedBefore)
	return announcementCost{
		Agents:    agents,
		PerSecond: renewals / seconds,
		CPU:       (microseconds(end.cpu-start.cpu) - idleCPU*seconds) / renewals,
		Bytes:     float64(end.bytes-start.bytes) / renewals,
	}
}

// registerAgents sends the full announcement of every agent and returns a client
// of the leader.
func (c *cluster) registerAgents(ctx context.Context, pool *link.Pool, agents int) (controlv1.ControlClient, error) {
	var lastErr error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, addr := range c.addrs {
			conn, err := pool.Get(addr)
			if err != nil {
				return nil, err
			}
			client := controlv1.NewControlClient(conn)
			if lastErr = announceAll(ctx, client, agents); lastErr == nil {
				return client, nil
			}
		}
	}
	return nil, fault.New(fault.NoQuorum, "no replica took the announcements", "run the command on a less busy machine").WithCause(errors.Join(lastErr, c.replicaErrors()))
}

func announceAll(ctx context.Context, client controlv1.ControlClient, agents int) error {
	for i := range agents {
		if _, err := client.Announce(ctx, announcement(i)); err != nil {
			return err
		}
	}
	return nil
}

// renewLease renews the lease of agent i once per heartbeat until ctx ends. The
// first renewals of the agents are spread evenly over one heartbeat.
func renewLease(ctx context.Context, leader controlv1.ControlClient, i, agents int, accepted *atomic.Int64) {
	request := announcement(i)
	request.Endpoints, request.Full = nil, false
	time.Sleep(heartbeat * time.Duration(i) / time.Duration(agents))
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if _, err := leader.Announce(ctx, request); err == nil {
			accepted.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
