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
	// askTimeout bounds one request for steps.
	askTimeout = time.Second
	// askPause is the time between two requests that bring nothing.
	askPause = 2 * time.Millisecond
)

// rank is one engine of a group: it asks its agent for steps ahead.
type rank struct {
	number int
	name   string
	url    string
	run    string
	engine *Engine
	group  *Group
	client *http.Client
	// low wakes the asking when few granted steps are left.
	low chan struct{}

	mu      sync.Mutex
	grants  []engineapi.StepGrant
	granted uint64
	// askFrom is the step from which more are asked for, half way to granted.
	askFrom uint64
	first   uint64
	tokens  [][]uint64
	steps   uint64
}

// permit returns the epoch that a step was granted with. A rank whose engine
// lacks that map, or stalls, does not begin the step.
func (r *rank) permit(step uint64) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if step >= r.askFrom {
		select {
		case r.low <- struct{}{}:
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

// askOn asks for steps until ctx ends, one request at a time.
func (r *rank) askOn(ctx context.Context) {
	for ctx.Err() == nil {
		grant, err := r.ask(ctx)
		if err == nil && r.take(grant) {
			select {
			case <-r.low:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(askPause)
	}
}

func (r *rank) ask(ctx context.Context) (grant engineapi.StepGrant, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := json.Marshal(r.request())
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

func (r *rank) request() engineapi.StepRequest {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	return engineapi.StepRequest{
		Group: r.name, Rank: r.number, Run: r.run,
		Step: step, Granted: r.granted,
		Loaded: r.engine.maps.list(),
	}
}

// take notes an answer and reports whether it grants steps.
func (r *rank) take(grant engineapi.StepGrant) bool {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = max(r.first, grant.First)
	if grant.Until == 0 {
		return false
	}
	r.grants = append(r.grants, grant)
	r.granted = grant.Until - 1
	r.askFrom = (step + r.granted) / 2
	return true
}

func (r *rank) firstStep() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first
}

// compute returns the time of a step under an epoch's map and counts its tokens.
func (r *rank) compute(p *popularity, epoch uint64, tokenTime time.Duration) time.Duration {
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
