package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync"
	"syscall"
)

// runs names the runs of the endpoints' processes, as far as calls show them: a call that
// breaks off while nothing listens any more ends a run, the next answer begins one.
type processRuns struct {
	// prefix keeps the names of one incarnation of the agent apart from those of others.
	prefix string

	mu         sync.Mutex
	byEndpoint map[string]*processRun
}

type processRun struct {
	number int
	ended  bool
}

func newProcessRuns(g *lockedGate) *processRuns {
	return &processRuns{prefix: fmt.Sprintf("%s/%x", g.agent, g.incarnation()), byEndpoint: map[string]*processRun{}}
}

// answered notes that an endpoint's process has answered.
func (r *processRuns) recordAnswer(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.byEndpoint[endpoint]; run != nil && run.ended {
		run.number++
		run.ended = false
	}
}

// end notes that an endpoint's process has ended, and returns the name of its run.
func (r *processRuns) recordEnd(endpoint string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.byEndpoint[endpoint]
	if run == nil {
		run = &processRun{}
		r.byEndpoint[endpoint] = run
	}
	run.ended = true
	return fmt.Sprintf("%s/%s/%d", r.prefix, endpoint, run.number)
}

// refuses reports whether nothing listens at an endpoint's address. A call that was not
// answered for another reason says nothing of the process.
func (c *endpointClient) refusesConnections(ctx context.Context, e Endpoint) bool {
	target, err := url.Parse(e.URL)
	if err != nil {
		return false
	}
	connection, err := c.dialer.DialContext(ctx, "tcp", dialAddress(target))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}

// address is where an endpoint takes connections, host:port.
func dialAddress(target *url.URL) string {
	if target.Port() == "" {
		return net.JoinHostPort(target.Hostname(), target.Scheme)
	}
	return target.Host
}
