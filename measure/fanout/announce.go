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
	// heartbeat is the agents' interval between two announcements.
	heartbeat = 500 * time.Millisecond
	// announceTime is how long announcements are counted.
	announceTime = 4 * time.Second
)

// announcing is what renewals of leases cost.
type announcing struct {
	Agents int `json:"agents"`
	// PerSecond is the number of announcements taken in a second.
	PerSecond float64 `json:"announcements_per_second"`
	// CPU is the processor time of one announcement, agent and leader together.
	CPU float64 `json:"cpu_us_per_announcement"`
	// Bytes is what one announcement and its answer take on the connection.
	Bytes float64 `json:"bytes_per_announcement"`
}

// countedPool returns connections whose bytes are counted.
func countedPool(count *traffic) (*link.Pool, error) {
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	var dialer net.Dialer
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		return countedConn{conn, count}, err
	}
	return link.NewPool(append(options, grpc.WithContextDialer(dial))...), nil
}

func (p Plan) announcements(w io.Writer, all *figures) error {
	fmt.Fprintf(w, "\nRenewals of leases by agents, one each %v, at the leader of %d replicas; processor time of both ends together.\n\n", heartbeat, replicas)
	fmt.Fprintln(w, "| agents | announcements/s | CPU µs per announcement | bytes per announcement |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, agents := range p.FleetSizes {
		result, err := measureAnnouncing(agents)
		if err != nil {
			return err
		}
		all.Announcing = append(all.Announcing, result)
		fmt.Fprintf(w, "| %d | %.0f | %.0f | %.0f |\n", agents, result.PerSecond, result.CPU, result.Bytes)
	}
	return nil
}

// measureAnnouncing measures one number of agents.
func measureAnnouncing(agents int) (result announcing, err error) {
	dir, err := os.MkdirTemp("", "lilackeel-announce")
	if err != nil {
		return announcing{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := startCluster(dir)
	if err != nil {
		return announcing{}, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	count := &traffic{}
	pool, err := countedPool(count)
	if err != nil {
		return announcing{}, err
	}
	defer func() { _ = pool.Close() }()
	leader, err := c.join(ctx, pool, agents)
	if err != nil {
		return announcing{}, err
	}
	return countRenewals(ctx, leader, agents, count), nil
}

// countRenewals lets every agent renew its lease, and sets the processor time of
// that against the time of the same replicas without renewals.
func countRenewals(ctx context.Context, leader controlv1.ControlClient, agents int, count *traffic) announcing {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	time.Sleep(settle)
	first := used(count)
	time.Sleep(announceTime)
	rest := used(count)
	var taken atomic.Int64
	var renewing sync.WaitGroup
	for i := range agents {
		renewing.Go(func() { renew(ctx, leader, i, agents, &taken) })
	}
	time.Sleep(settle)
	before, counted := used(count), taken.Load()
	time.Sleep(announceTime)
	after, total := used(count), taken.Load()
	cancel()
	renewing.Wait()
	seconds := after.at.Sub(before.at).Seconds()
	idle := micros(rest.cpu-first.cpu) / rest.at.Sub(first.at).Seconds()
	renewals := float64(total - counted)
	return announcing{
		Agents:    agents,
		PerSecond: renewals / seconds,
		CPU:       (micros(after.cpu-before.cpu) - idle*seconds) / renewals,
		Bytes:     float64(after.bytes-before.bytes) / renewals,
	}
}

// join announces every agent in full and returns a client of the leader.
func (c *cluster) join(ctx context.Context, pool *link.Pool, agents int) (controlv1.ControlClient, error) {
	var last error
	for limit := time.Now().Add(clusterPeriod); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		for _, addr := range c.addrs {
			conn, err := pool.Get(addr)
			if err != nil {
				return nil, err
			}
			client := controlv1.NewControlClient(conn)
			if last = announceAll(ctx, client, agents); last == nil {
				return client, nil
			}
		}
	}
	return nil, fault.New(fault.NoQuorum, "no replica took the announcements", "run the command on a less busy machine").WithCause(errors.Join(last, c.ended()))
}

func announceAll(ctx context.Context, client controlv1.ControlClient, agents int) error {
	for i := range agents {
		if _, err := client.Announce(ctx, announcement(i)); err != nil {
			return err
		}
	}
	return nil
}

// renew announces agent i each heartbeat, spread evenly over it.
func renew(ctx context.Context, leader controlv1.ControlClient, i, agents int, taken *atomic.Int64) {
	request := announcement(i)
	request.Endpoints, request.Full = nil, false
	time.Sleep(heartbeat * time.Duration(i) / time.Duration(agents))
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if _, err := leader.Announce(ctx, request); err == nil {
			taken.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
