package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

const (
	// stepRequestTimeout bounds one request for steps.
	stepRequestTimeout = time.Second
	// stepRequestRetryInterval is the delay after a request that failed or granted no steps.
	stepRequestRetryInterval = 2 * time.Millisecond
)

// rank is one engine of a group. It requests steps from its agent ahead of time.
type rank struct {
	number    int
	groupName string
	url       string
	run       string
	engine    *Engine
	group     *Group
	client    *http.Client
	// grantsLow triggers the next request when few granted steps are left.
	grantsLow chan struct{}

	mu      sync.Mutex
	grants  []engineapi.StepGrant
	granted uint64
	// refillAt is the step at which more steps are requested, halfway to granted.
	refillAt uint64
	minStep  uint64
	tokens   [][]uint64
	steps    uint64
}

// permit returns the epoch with which a step was granted. It returns false if the step was not
// granted, the engine has not loaded that epoch's map or the engine is stalled.
func (r *rank) permit(step uint64) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if step >= r.refillAt {
		select {
		case r.grantsLow <- struct{}{}:
		default:
		}
	}
	for len(r.grants) > 0 && r.grants[0].Until <= step {
		r.grants = r.grants[1:]
	}
	if len(r.grants) == 0 || step < r.grants[0].From || r.engine.faults.get().Stall {
		return 0, false
	}
	epoch = r.grants[0].Epoch
	_, ok = r.engine.maps.get(epoch)
	return epoch, ok
}

// requestSteps requests steps until ctx ends, one request at a time.
func (r *rank) requestSteps(ctx context.Context) {
	for ctx.Err() == nil {
		grant, err := r.requestGrant(ctx)
		if err == nil && r.addGrant(grant) {
			select {
			case <-r.grantsLow:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(stepRequestRetryInterval)
	}
}

func (r *rank) requestGrant(ctx context.Context) (grant engineapi.StepGrant, err error) {
	ctx, cancel := context.WithTimeout(ctx, stepRequestTimeout)
	defer cancel()
	body, err := json.Marshal(r.buildRequest())
	if err != nil {
		return grant, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+engineapi.PathSteps, bytes.NewReader(body))
	if err != nil {
		return grant, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return grant, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return grant, fmt.Errorf("%s", response.Status)
	}
	return grant, json.NewDecoder(response.Body).Decode(&grant)
}

func (r *rank) buildRequest() engineapi.StepRequest {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	return engineapi.StepRequest{
		Group: r.groupName, Rank: r.number, Run: r.run,
		Step: step, Granted: r.granted,
		Loaded: r.engine.maps.list(),
	}
}

// addGrant records a response of the agent and reports whether it grants steps.
func (r *rank) addGrant(grant engineapi.StepGrant) bool {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.minStep = max(r.minStep, grant.First)
	if grant.Until == 0 {
		return false
	}
	r.grants = append(r.grants, grant)
	r.granted = grant.Until - 1
	r.refillAt = (step + r.granted) / 2
	return true
}

func (r *rank) firstStep() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minStep
}

// compute returns the compute time of a step with an epoch's map and adds its tokens to the
// counts.
func (r *rank) compute(p *expertPopularity, epoch uint64, tokenTime time.Duration) time.Duration {
	m, ok := r.engine.maps.get(epoch)
	if !ok {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps++
	var total uint64
	for layer := range m.Layers {
		if layer == len(r.tokens) {
			r.tokens = append(r.tokens, make([]uint64, p.experts))
		}
		total += p.count(m, layer, r.number, r.tokens[layer])
	}
	return time.Duration(total) * tokenTime
}

func (r *rank) serveExperts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, http.StatusOK, engineapi.ExpertCounts{Run: r.run, Steps: r.steps, Tokens: r.tokens})
}
