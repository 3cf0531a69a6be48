package overhead

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/control"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
)

// replicas is the number of control replicas in a cluster.
const replicas = 3

// cluster is a set of real control replicas in this process, each with its own data
// directory and a log that is synced to disk.
type cluster struct {
	addresses []string
	pool      *link.Pool
	stops     []func()
}

// startCluster starts control replicas with data directories below dir.
func startCluster(dir string) (*cluster, error) {
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	c := &cluster{pool: link.NewPool(options...)}
	peers, listeners := map[uint64]string{}, map[uint64]net.Listener{}
	defer func() { // those that no replica serves on
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for id := uint64(1); id <= replicas; id++ {
		listener, err := link.Listen(context.Background(), "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[id], peers[id] = listener, listener.Addr().String()
		c.addresses = append(c.addresses, peers[id])
	}
	for id := uint64(1); id <= replicas; id++ {
		if err := c.startReplica(id, listeners[id], peers, dir); err != nil {
			c.stop()
			return nil, err
		}
		delete(listeners, id)
	}
	return c, nil
}

// startReplica starts a replica that serves on the listener.
func (c *cluster) startReplica(id uint64, listener net.Listener, peers map[uint64]string, dir string) error {
	// Register sets the defaults of all settings that are not set below.
	settings := &control.Settings{}
	settings.Register(setting.New("lilackeel-control"))
	settings.ID, settings.Host, settings.Listen, settings.Peers = id, fmt.Sprint("control-", id), listener.Addr().String(), peers
	settings.DataDir = filepath.Join(dir, settings.Host)
	if err := os.MkdirAll(settings.DataDir, 0o750); err != nil {
		return err
	}
	daemon, err := control.New(settings, discardLogger())
	if err != nil {
		return err
	}
	daemon.UseListener(listener)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	c.stops = append(c.stops, func() {
		cancel()
		<-done
	})
	return nil
}

func (c *cluster) addrs() []string { return c.addresses }

func (c *cluster) stop() {
	for _, stop := range c.stops {
		go stop()
	}
	_ = c.pool.Close()
}

// accept plans and confirms an intent. It retries until there is a leader that
// knows the endpoints, with a different intent ID for each attempt.
func (c *cluster) accept(intent *controlv1.Intent) error {
	var lastErr error
	baseID := intent.GetId()
	for attempt, deadline := 0, time.Now().Add(startTimeout); time.Now().Before(deadline); attempt++ {
		intent.Id = fmt.Sprintf("%s-%d", baseID, attempt)
		if lastErr = c.acceptOnce(intent, c.addresses[attempt%len(c.addresses)]); lastErr == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return lastErr
}

func (c *cluster) acceptOnce(intent *controlv1.Intent, addr string) error {
	connection, err := c.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := controlv1.NewControlClient(connection)
	planned, err := client.Plan(ctx, &controlv1.PlanRequest{Intent: intent})
	if err != nil {
		return err
	}
	_, err = client.Confirm(ctx, &controlv1.ConfirmRequest{
		IntentId: intent.GetId(), Digest: planned.GetPlan().GetDigest(), Operator: intent.GetOperator(),
	})
	return err
}
