// Package overhead measures what the path of a request costs: entry and agent
// over a direct call of the endpoint, in time, processor time and allocations,
// the streams that an entry holds and their memory, the claim of a call that is
// not idempotent, and how all that grows with the number of endpoints.
//
// All figures are taken in one process on loopback and are reported as ratios
// or differences within one run.
package overhead

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/agent"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/entry"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/standin"
)

// Names in the fleet.
const (
	// Key is the workspace key of the fleet's only workspace.
	WorkspaceKey = "measure-key"
	// Model is the model that the engines serve.
	Model = "draft"
	// ServicePrefix is the path prefix of the plain service.
	ServicePrefix = "/roster-api"

	workspaceName = "measure"
	modelVersion  = "1"
	enginePool    = "lilackeel-pool"
	servicePool   = "roster-api"
	startTimeout  = 10 * time.Second
	// slots is enough that admission never waits.
	slots = 1 << 14
)

// FleetConfig describes a fleet on loopback.
type FleetConfig struct {
	// Engine describes the stand-in engine.
	Engine standin.EngineConfig
	// ServiceTime is the time of a call of the stand-in service.
	ServiceTime time.Duration
	// Endpoints is the number of engines, 1 if zero. All of them are the same
	// stand-in behind the same agent, under names of their own.
	Endpoints int
	// Separate gives each engine a stand-in of its own.
	SeparateEngines bool
	// PollInterval is the time between the agent's looks at an engine; zero keeps
	// the looks of all engines at what a host of a real fleet has.
	PollInterval time.Duration
	// DataDir, if set, is where three real control replicas keep their synced
	// logs; without it the control state is in memory and not replicated.
	DataDir string
	// Configure changes the entry's settings, if set.
	ConfigureEntry func(*entry.Config)
}

// Fleet is one entry, one agent, stand-in engines and one stand-in service in this
// process, connected over loopback.
type Fleet struct {
	// EntryURL is where callers call, EngineURL and ServiceURL the stand-ins.
	EntryURL, EngineURL, ServiceURL string
	// Engine and Service are the stand-ins themselves.
	Engine *standin.Engine
	// Engines and EngineURLs are by endpoint; Engine and EngineURL are the first.
	Engines    []*standin.Engine
	EngineURLs []string
	// Entry is the entry.
	Entry   *entry.Daemon
	Service *standin.Service
	// StopEntry begins the planned stop of the entry, EntryDone ends with it.
	StopEntry context.CancelFunc
	EntryDone chan error

	stops []func()
}

// controlSide is what a fleet needs of the control replicas.
type controlSide interface {
	addrs() []string
	// accept carries an intent through as soon as the endpoints are known.
	accept(intent *controlv1.Intent) error
	stop()
}

func startControl(cfg FleetConfig) (controlSide, error) {
	if cfg.DataDir == "" {
		return startReplica()
	}
	return startCluster(cfg.DataDir)
}

// StartFleet starts a fleet and waits until it serves.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	cfg.Engine.Model = Model
	f := &Fleet{Service: standin.NewService(cfg.ServiceTime), EntryDone: make(chan error, 1)}
	f.startEngines(cfg)
	f.ServiceURL = f.serve(f.Service)
	control, err := startControl(cfg)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.stops = append(f.stops, control.stop)
	for _, start := range []func() error{
		func() error { return f.startAgent(cfg, control.addrs()) },
		func() error { return f.configure(cfg, control) },
		func() error { return f.startEntry(cfg, strings.Join(control.addrs(), ",")) },
		f.await,
	} {
		if err := start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close stops everything at once.
func (f *Fleet) Close() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
}

func (f *Fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.stops = append(f.stops, func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// startEngines starts the stand-in engines, one for all endpoints unless they
// are to be separate.
func (f *Fleet) startEngines(cfg FleetConfig) {
	for i := range max(cfg.Endpoints, 1) {
		if i == 0 || cfg.SeparateEngines {
			f.Engine = standin.NewEngine(cfg.Engine)
			f.EngineURL = f.serve(f.Engine)
		}
		f.Engines = append(f.Engines, f.Engine)
		f.EngineURLs = append(f.EngineURLs, f.EngineURL)
	}
	f.Engine, f.EngineURL = f.Engines[0], f.EngineURLs[0]
}

func (f *Fleet) startAgent(cfg FleetConfig, control []string) error {
	// Register fills in the defaults of what is not set here.
	settings := &agent.Settings{}
	settings.Register(setting.New("lilackeel-agent"))
	settings.Name, settings.Host, settings.Zone, settings.Region = "agent", "host", "zone", "region"
	settings.Listen = "127.0.0.1:0"
	settings.Control, settings.Feed = control, control
	settings.Limits = gate.DefaultLimits()
	settings.PollInterval = pollInterval(cfg)
	for i := range max(cfg.Endpoints, 1) {
		settings.Endpoints = append(settings.Endpoints, agent.Endpoint{
			ID: engineID(i), Pool: enginePool, Kind: agent.KindEngine, URL: f.EngineURLs[i], Model: Model, Version: modelVersion, Slots: slots,
		})
	}
	settings.Endpoints = append(settings.Endpoints, agent.Endpoint{
		ID: "service-1", Pool: servicePool, Kind: agent.KindService, URL: f.ServiceURL, Slots: slots,
	})
	daemon, err := agent.New(settings, quiet())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	f.stops = append(f.stops, func() {
		cancel()
		select {
		case <-done:
		case <-time.After(startTimeout):
		}
	})
	return nil
}

// pollInterval keeps the polls of the one agent at what a host of a real fleet
// has, however many endpoints it stands for.
func pollInterval(cfg FleetConfig) time.Duration {
	if cfg.PollInterval > 0 {
		return cfg.PollInterval
	}
	const perHost = 8
	return time.Second * time.Duration(max(cfg.Endpoints/perHost, 1))
}

func engineID(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func quiet() *slog.Logger {
	return slog.New(slog.NewJSONHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

// configure accepts the intent that puts everything in service.
func (f *Fleet) configure(cfg FleetConfig, control controlSide) error {
	digest := sha256.Sum256([]byte(WorkspaceKey))
	intent := &controlv1.Intent{
		Id: "serve", Operator: "measure",
		Workspaces: []*fleetv1.Workspace{{Name: workspaceName, Importance: 1, KeyDigests: []string{hex.EncodeToString(digest[:])}, MaxQueue: slots}},
		Models:     []*fleetv1.Model{{Name: Model, Pool: enginePool, Version: modelVersion}},
		Services:   []*fleetv1.Service{{Name: servicePool, Pool: servicePool, PathPrefix: ServicePrefix}},
	}
	for i := range max(cfg.Endpoints, 1) {
		intent.Endpoints = append(intent.Endpoints, serving(engineID(i)))
	}
	intent.Endpoints = append(intent.Endpoints, serving("service-1"))
	return control.accept(intent)
}

func serving(id string) *controlv1.EndpointChange {
	return &controlv1.EndpointChange{Id: id, State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING}
}

func (f *Fleet) startEntry(cfg FleetConfig, control string) error {
	var settings entry.Config
	set := setting.New("lilackeel-entry")
	entry.Settings(set, &settings)
	args := []string{
		"-name=entry", "-zone=zone", "-listen=127.0.0.1:0", "-feed=" + control, "-control=" + control,
		"-access-log=false", "-drain-delay=10ms", "-admin-listen=",
	}
	if _, err := set.Parse(args, nil); err != nil {
		return err
	}
	if cfg.ConfigureEntry != nil {
		cfg.ConfigureEntry(&settings)
	}
	daemon, err := entry.New(settings, quiet())
	if err != nil {
		return err
	}
	f.Entry, f.EntryURL = daemon, "http://"+daemon.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	f.StopEntry = cancel
	go func() { f.EntryDone <- daemon.Run(ctx) }()
	f.stops = append(f.stops, cancel)
	return nil
}

// await waits until a model call and a claimed call are answered.
func (f *Fleet) await() error {
	var last error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		last = errors.Join(f.Complete(f.EntryURL, 1), f.CallNonIdempotent())
		if last == nil {
			return nil
		}
	}
	return last
}
