package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

const (
	// stepTimeout is the time for which a step request waits for a grant. It is short because the
	// engine's position in the request becomes stale.
	stepTimeout = 20 * time.Millisecond
	// maxStepRequest is the maximum size of the body of a step request, in bytes.
	maxStepRequest = 64 << 10
)

// Handler serves engineapi.PathSteps to the engines of the host.
func (r *Ranks) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathSteps, r.serveSteps)
	return mux
}

func (r *Ranks) serveSteps(w http.ResponseWriter, request *http.Request) {
	var stepRequest engineapi.StepRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxStepRequest)).Decode(&stepRequest); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	driver := r.drivers[rankKey{stepRequest.Group, stepRequest.Rank}]
	if driver == nil {
		http.Error(w, "this agent does not serve the rank: check group and rank in the endpoints file", http.StatusNotFound)
		return
	}
	r.reportOverrun(stepRequest)
	ctx, cancel := context.WithTimeout(request.Context(), stepTimeout)
	defer cancel()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.awaitGrant(ctx, driver, stepRequest))
}

// awaitGrant waits until steps are granted. It returns without a grant when ctx ends or when another
// run of the engine requests steps.
func (r *Ranks) awaitGrant(ctx context.Context, d *rankDriver, stepRequest engineapi.StepRequest) engineapi.StepGrant {
	for first := true; ; first = false {
		grant, changed, current := r.tryGrant(d, stepRequest, first)
		if grant.Until != 0 || grant.First != 0 || !current {
			return grant
		}
		select {
		case <-changed:
		case <-ctx.Done():
			metrics.GetOrCreateCounter(`lilackeel_agent_step_waits_total{group="` + stepRequest.Group + `"}`).Inc()
			return grant
		}
	}
}

// tryGrant returns a grant if steps can be granted now, and a channel that is closed when that may have
// changed. Only the first try of a request may start a new run of the engine; current is false if
// another run has started since.
func (r *Ranks) tryGrant(d *rankDriver, stepRequest engineapi.StepRequest, first bool) (grant engineapi.StepGrant, changed <-chan struct{}, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !first && stepRequest.Run != d.run {
		return grant, nil, false
	}
	changed = d.changed
	grant, out := d.handleRequest(r.now(), stepRequest, uint64(r.cfg.StepsAhead))
	r.deliver(out)
	return grant, changed, true
}

// reportOverrun logs and counts an engine that has run steps without a grant. The agent cannot undo
// them.
func (r *Ranks) reportOverrun(stepRequest engineapi.StepRequest) {
	if stepRequest.Granted == 0 || stepRequest.Step <= stepRequest.Granted+1 {
		return
	}
	metrics.GetOrCreateCounter(`lilackeel_agent_steps_beyond_grant_total{group="` + stepRequest.Group + `"}`).Inc()
	r.cfg.Logger.Error("a rank ran steps that were not granted", slog.String("group", stepRequest.Group), slog.Int("rank", stepRequest.Rank),
		slog.Uint64("step", stepRequest.Step), slog.Uint64("granted", stepRequest.Granted))
}
