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

// processRuns names the runs of the endpoints' processes, as far as calls reveal them: a run ends
// when a call breaks off and nothing listens at the address any more, and the next answer begins a
// new one.
type processRuns struct {
	// prefix makes the names of this incarnation of the agent differ from those of others.
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

// recordAnswer records that an endpoint's process has answered.
func (r *processRuns) recordAnswer(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.byEndpoint[endpoint]; run != nil && run.ended {
		run.number++
		run.ended = false
	}
}

// recordEnd records that an endpoint's process has ended, and returns the name of the run.
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

// refusesConnections reports whether nothing listens at an endpoint's address. Any other connection
// error, such as a time-out, does not show that the process has ended.
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

// dialAddress returns the host:port of a URL, with the port of its scheme if it names none.
func dialAddress(target *url.URL) string {
	if target.Port() == "" {
		return net.JoinHostPort(target.Hostname(), target.Scheme)
	}
	return target.Host
}
