package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	// Model, Version and Role are what the engine serves at the start.
	Model, Version, Role string
	// Adapters are the adapters that it serves at the start.
	Adapters []string
	// Slots is the number of calls in the running batch.
	Slots int
	// TokenTime is the time of one token; PrefillTime that of one prompt block
	// that is not cached.
	TokenTime, PrefillTime time.Duration
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// EventGapEvery makes every so many-th cache event get lost; none if zero.
	EventGapEvery int
	// LoadLag is the age of the load figures that are reported.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old token.
	ChecksFencing bool
	// CountsOnly makes the engine report the number of its calls and leave out
	// what an engine need not know.
	CountsOnly bool
	// MapLoadTime is how long loading the weights of an expert map takes.
	MapLoadTime time.Duration
}

// Engine is a stand-in model engine. It is an http.Handler.
type Engine struct {
	http.ServeMux
	cfg      EngineConfig
	faults   faultSwitch
	arrivals arrivals
	slots    *slots
	cache    *cache
	orders   orders
	maps     expertMaps
	streams  streams
	steps    stepTimes
	// ranked is set for the engine of a group, whose steps do not wait for calls.
	ranked atomic.Bool
	// prefilling counts the prompt tokens accepted and not yet computed.
	prefilling atomic.Int64

	mu     sync.Mutex
	load   engineapi.Load
	loadAt time.Time
	runs   int
	gone   int
}

// NewEngine returns an engine that is ready to serve.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{
		cfg:     cfg,
		slots:   newSlots(max(cfg.Slots, 1)),
		cache:   newCache(cfg.CacheBlocks, cfg.EventDelay, cfg.EventGapEvery),
		streams: streams{bodies: make(map[string][]byte)},
	}
	e.orders.checks = cfg.ChecksFencing
	e.orders.faults = &e.faults
	e.orders.maps = &e.maps
	e.orders.loadTime = cfg.MapLoadTime
	e.orders.state = engineapi.State{Model: cfg.Model, Version: cfg.Version, Role: cfg.Role, Adapters: cfg.Adapters}
	e.HandleFunc("POST /v1/chat/completions", e.complete)
	e.HandleFunc("POST /v1/completions", e.complete)
	e.HandleFunc("GET "+engineapi.PathLoad, e.serveLoad)
	e.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveEvents)
	e.HandleFunc(engineapi.PathOrders, e.orders.serve)
	e.HandleFunc("POST /standin/faults", e.faults.serve)
	e.HandleFunc("GET /standin/arrivals", e.arrivals.serve)
	e.HandleFunc("POST /standin/clear", func(http.ResponseWriter, *http.Request) { e.cache.clear() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.arrivals.note(r)
	e.faults.name(w)
	if e.faults.rejects(w, r) {
		return
	}
	e.ServeMux.ServeHTTP(w, r)
}

// MostArrivals returns the greatest number of requests, polls included, that came within any
// window since a time.
func (e *Engine) MaxArrivals(since time.Time, window time.Duration) int {
	return e.arrivals.most(since, window)
}

// SetFaults switches faults on or off.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Counts returns how many model calls were begun and how many of their callers
// left before the end.
func (e *Engine) Counts() (runs, gone int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs, e.gone
}

func (e *Engine) count(runs, gone int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs += runs
	e.gone += gone
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.loadAt) >= e.cfg.LoadLag {
		e.loadAt = time.Now()
		e.load = e.measure()
	}
	load := e.load
	load.AgeMS = time.Since(e.loadAt).Milliseconds()
	e.mu.Unlock()
	if f := e.faults.get(); f.OverrideLoad {
		load.Running, load.Waiting = f.ReportedRunning, 0
	}
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) measure() engineapi.Load {
	running, waiting := e.slots.counts()
	load := engineapi.Load{Running: running, Waiting: waiting, CacheUsed: e.cache.used(), RankLoad: 1}
	if e.cfg.TokenTime > 0 {
		load.TokensPerSecond = float64(running) / e.cfg.TokenTime.Seconds()
	}
	if !e.cfg.CountsOnly {
		e.measureMore(&load)
	}
	return load
}

// measureMore fills in the figures that an engine need not know.
func (e *Engine) measureMore(load *engineapi.Load) {
	prefilling := e.prefilling.Load()
	load.PrefillTokens = &prefilling
	if e.cfg.PrefillTime > 0 {
		load.PrefillRate = blockTokens / e.cfg.PrefillTime.Seconds()
	}
	step, own := e.steps.recent(e.ranked.Load(), e.faults.get().Stall)
	load.StepUS, load.OwnStepUS = step.Microseconds(), own.Microseconds()
	load.Adapters = e.orders.adapters()
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(engineapi.QueryAfter), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.after(after, time.Now()))
}

// completionRequest is the part of an OpenAI request that matters here.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c completionRequest) prompt() string {
	text := c.Prompt
	for _, m := range c.Messages {
		text += m.Role + "\n" + m.Content + "\n"
	}
	return text
}

// complete serves a completion, or resumes the stream that the headers name.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f := e.faults.get(); f.Status != 0 {
		http.Error(w, "switched fault", f.Status)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	offset, resumed := 0, r.Header.Get(engineapi.HeaderResumeOffset) != ""
	if resumed {
		offset, _ = strconv.Atoi(r.Header.Get(engineapi.HeaderResumeOffset))
	}
	id, parts, ok := e.streams.open(request, r.URL.Path, r.Header.Get(engineapi.HeaderStreamID), offset)
	if !ok {
		http.Error(w, "unknown stream; send the request without "+engineapi.HeaderStreamID, http.StatusNotFound)
		return
	}
	if resumed {
		w.Header().Set(engineapi.HeaderResumeOffset, strconv.Itoa(offset))
	} else {
		e.count(1, 0)
	}
	w.Header().Set(engineapi.HeaderStreamID, id)
	if !e.run(w, r, request, parts) {
		e.count(0, 1)
	}
}

// prefill waits for a slot and computes the blocks that are not cached; it
// reports false, without a slot, if the caller left.
func (e *Engine) prefill(r *http.Request, blocks []uint64, priority int) bool {
	tokens := int64(len(blocks) * blockTokens)
	e.prefilling.Add(tokens)
	defer e.prefilling.Add(-tokens)
	if !e.slots.acquire(r.Context(), priority) {
		return false
	}
	e.steps.enter()
	misses := len(blocks) - e.cache.use(blocks)
	if !e.pause(r, time.Duration(misses)*e.cfg.PrefillTime) {
		e.leave()
		return false
	}
	return true
}

// leave ends what prefill began.
func (e *Engine) leave() {
	e.steps.leave()
	e.slots.release()
}

// token waits for one token, which is a step of an engine that is no rank.
func (e *Engine) token(r *http.Request) bool {
	begun := time.Now()
	ok := e.pause(r, e.cfg.TokenTime)
	if ok && e.cfg.TokenTime > 0 && !e.ranked.Load() {
		took := time.Since(begun)
		e.steps.note(took, took)
	}
	return ok
}

// run writes the parts at the pace of the engine; it reports false if the
// caller left.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, request completionRequest, parts [][]byte) bool {
	priority, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderPriority))
	blocks := PromptBlocks(request.prompt())
	if !e.prefill(r, blocks, priority) {
		return false
	}
	defer e.leave()
	if !request.Stream {
		return e.writeWhole(w, r, request, parts)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &cutWriter{ResponseWriter: w, faults: &e.faults}
	for _, part := range parts {
		if !e.token(r) {
			return false
		}
		if _, err := out.Write(part); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// writeWhole answers a request that is not streamed, after all its tokens.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, request completionRequest, parts [][]byte) bool {
	for range request.MaxTokens {
		if !e.token(r) {
			return false
		}
	}
	var body []byte
	for _, part := range parts {
		body = append(body, part...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := (&cutWriter{ResponseWriter: w, faults: &e.faults}).Write(body)
	return err == nil
}

// pause waits for d, longer if the engine is slow or stalled; it reports false
// if the caller left.
func (e *Engine) pause(r *http.Request, d time.Duration) bool {
	if f := e.faults.get().SlowFactor; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-r.Context().Done():
			return false
		case <-timer.C:
		}
	}
	return e.faults.waitStall(r)
}
