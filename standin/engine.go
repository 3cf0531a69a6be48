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

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	// Model, Version and Role are what the engine serves initially.
	Model, Version, Role string
	// Adapters are the adapters that are loaded initially.
	Adapters []string
	// Slots is the number of calls that run at once, the size of the running batch.
	Slots int
	// TokenTime is the time to generate one token. PrefillTime is the time to compute one
	// prompt block that is not cached.
	TokenTime, PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// EventDelay is the time after which cache events are published.
	EventDelay time.Duration
	// EventGapEvery drops every EventGapEvery-th cache event; none if zero.
	EventGapEvery int
	// LoadLag is the interval at which the reported load is sampled, and thus its maximum age.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing token is lower than the
	// highest it has seen.
	ChecksFencing bool
	// CountsOnly makes the engine report only the required load fields, such as the number of
	// its calls, and omit the optional ones.
	CountsOnly bool
	// MapLoadTime is the time that loading the weights of an expert map takes.
	MapLoadTime time.Duration
}

// Engine is a stand-in model engine. It implements http.Handler.
type Engine struct {
	http.ServeMux
	cfg      EngineConfig
	faults   faultState
	arrivals arrivals
	slots    *slots
	cache    *cache
	orders   orderHandler
	maps     loadedMaps
	streams  streams
	steps    stepTimes
	// inRankGroup is set if the engine is a rank of a group. Its steps then run whether or not
	// there are calls.
	inRankGroup atomic.Bool
	// prefillTokens counts the prompt tokens that were accepted and have not been computed.
	prefillTokens atomic.Int64

	mu        sync.Mutex
	load      engineapi.Load
	loadAt    time.Time
	started   int
	cancelled int
}

// NewEngine returns an engine without injected faults.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{
		cfg:     cfg,
		slots:   newSlots(max(cfg.Slots, 1)),
		cache:   newCache(cfg.CacheBlocks, cfg.EventDelay, cfg.EventGapEvery),
		streams: streams{bodies: make(map[string][]byte)},
	}
	e.orders.checksFencing = cfg.ChecksFencing
	e.orders.faults = &e.faults
	e.orders.maps = &e.maps
	e.orders.mapLoadTime = cfg.MapLoadTime
	e.orders.state = engineapi.State{Model: cfg.Model, Version: cfg.Version, Role: cfg.Role, Adapters: cfg.Adapters}
	e.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.HandleFunc("GET "+engineapi.PathLoad, e.serveLoad)
	e.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveEvents)
	e.HandleFunc(engineapi.PathOrders, e.orders.serve)
	e.HandleFunc("POST /standin/faults", e.faults.serve)
	e.HandleFunc("GET /standin/held-orders", e.orders.serveHeld)
	e.HandleFunc("GET /standin/arrivals", e.arrivals.serveMax)
	e.HandleFunc("POST /standin/clear", func(http.ResponseWriter, *http.Request) { e.cache.clear() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.arrivals.record(r)
	e.faults.setHeaders(w)
	if e.faults.reject(w, r) {
		return
	}
	e.ServeMux.ServeHTTP(w, r)
}

// MaxArrivals returns the largest number of requests, polls included, that arrived within any
// window of the given length since a time.
func (e *Engine) MaxArrivals(since time.Time, window time.Duration) int {
	return e.arrivals.maxInWindow(since, window)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// RawResponses returns the number of raw responses (Faults.RawResponse) that are being written.
func (e *Engine) RawResponses() int { return e.faults.rawResponses() }

// Counts returns how many model calls were started and how many of them were cancelled by their
// caller.
func (e *Engine) Counts() (started, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.cancelled
}

func (e *Engine) addCounts(started, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started += started
	e.cancelled += cancelled
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.loadAt) >= e.cfg.LoadLag {
		e.loadAt = time.Now()
		e.load = e.sampleLoad()
	}
	load := e.load
	load.AgeMS = time.Since(e.loadAt).Milliseconds()
	e.mu.Unlock()
	if f := e.faults.get(); f.OverrideLoad {
		load.Running, load.Waiting = f.ReportedRunning, 0
	}
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) sampleLoad() engineapi.Load {
	running, waiting := e.slots.counts()
	load := engineapi.Load{Running: running, Waiting: waiting, CacheUsed: e.cache.utilization(), RankLoad: 1}
	if e.cfg.TokenTime > 0 {
		load.TokensPerSecond = float64(running) / e.cfg.TokenTime.Seconds()
	}
	if !e.cfg.CountsOnly {
		e.addOptionalLoad(&load)
	}
	return load
}

// addOptionalLoad sets the load fields that an engine may omit.
func (e *Engine) addOptionalLoad(load *engineapi.Load) {
	prefilling := e.prefillTokens.Load()
	load.PrefillTokens = &prefilling
	if e.cfg.PrefillTime > 0 {
		load.PrefillRate = blockTokens / e.cfg.PrefillTime.Seconds()
	}
	step, own := e.steps.recent(e.inRankGroup.Load(), e.faults.get().Stall)
	load.StepUS, load.OwnStepUS = step.Microseconds(), own.Microseconds()
	load.Adapters = e.orders.adapters()
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(engineapi.QueryAfter), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(after, time.Now()))
}

// completionRequest holds the fields of an OpenAI request that the stand-in uses.
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

// serveCompletion serves a completion, or resumes the stream named in the headers.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.respondRaw(w) {
		return
	}
	if f := e.faults.get(); f.Status != 0 {
		http.Error(w, "injected fault", f.Status)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	offset, resumed := 0, r.Header.Get(engineapi.HeaderResumeOffset) != ""
	if resumed {
		offset, _ = strconv.Atoi(r.Header.Get(engineapi.HeaderResumeOffset))
	}
	id, chunks, ok := e.streams.open(request, r.URL.Path, r.Header.Get(engineapi.HeaderStreamID), offset)
	if !ok {
		http.Error(w, "unknown stream or invalid offset; send the request without "+engineapi.HeaderStreamID, http.StatusNotFound)
		return
	}
	if resumed {
		w.Header().Set(engineapi.HeaderResumeOffset, strconv.Itoa(offset))
	} else {
		e.addCounts(1, 0)
	}
	w.Header().Set(engineapi.HeaderStreamID, id)
	if !e.generate(w, r, request, chunks) {
		e.addCounts(0, 1)
	}
}

// prefill waits for a slot and computes the blocks that are not cached. It returns false,
// without holding a slot, if the caller disconnected.
func (e *Engine) prefill(r *http.Request, blocks []uint64, priority int) bool {
	tokens := int64(len(blocks) * blockTokens)
	e.prefillTokens.Add(tokens)
	defer e.prefillTokens.Add(-tokens)
	if !e.slots.acquire(r.Context(), priority) {
		return false
	}
	e.steps.callStarted()
	misses := len(blocks) - e.cache.lookup(blocks)
	if !e.wait(r, time.Duration(misses)*e.cfg.PrefillTime) {
		e.endCall()
		return false
	}
	return true
}

// endCall undoes prefill: it ends the call and releases its slot.
func (e *Engine) endCall() {
	e.steps.callEnded()
	e.slots.release()
}

// generateToken waits for the time of one token. For an engine outside a rank group a token
// counts as a step.
func (e *Engine) generateToken(r *http.Request) bool {
	start := time.Now()
	ok := e.wait(r, e.cfg.TokenTime)
	if ok && e.cfg.TokenTime > 0 && !e.inRankGroup.Load() {
		elapsed := time.Since(start)
		e.steps.record(elapsed, elapsed)
	}
	return ok
}

// generate writes the chunks at the speed of the engine. It returns false if the caller
// disconnected.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, request completionRequest, chunks [][]byte) bool {
	priority, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderPriority))
	blocks := PromptBlocks(request.prompt())
	if !e.prefill(r, blocks, priority) {
		return false
	}
	defer e.endCall()
	if !request.Stream {
		return e.writeUnstreamed(w, r, request, chunks)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &abortingWriter{ResponseWriter: w, faults: &e.faults}
	for _, chunk := range chunks {
		if !e.generateToken(r) {
			return false
		}
		if _, err := out.Write(chunk); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// writeUnstreamed responds to a request that is not streamed, after the time of all its tokens.
func (e *Engine) writeUnstreamed(w http.ResponseWriter, r *http.Request, request completionRequest, chunks [][]byte) bool {
	for range request.MaxTokens {
		if !e.generateToken(r) {
			return false
		}
	}
	var body []byte
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := (&abortingWriter{ResponseWriter: w, faults: &e.faults}).Write(body)
	return err == nil
}

// wait sleeps for d, scaled if the engine is slowed down and extended while it is stalled. It
// returns false if the caller disconnected.
func (e *Engine) wait(r *http.Request, d time.Duration) bool {
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
