// Package overhead measures the cost of the request path through entry and agent:
// latency, CPU time and allocations compared with direct calls of the endpoint,
// the memory of open streams, the claims of non-idempotent calls, and how latency
// grows with the number of endpoints.
//
// All components run in one process and communicate over loopback, so that only
// ratios and differences within one run are meaningful.
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

// Names used in the fleet.
const (
	// WorkspaceKey is the key of the fleet's only workspace.
	WorkspaceKey = "measure-key"
	// Model is the model that the engines serve.
	Model = "draft"
	// ServicePrefix is the URL path prefix of the plain service.
	ServicePrefix = "/roster-api"

	workspaceName = "measure"
	modelVersion  = "1"
	enginePool    = "lilackeel-pool"
	servicePool   = "roster-api"
	startTimeout  = 10 * time.Second
	// slots is so high that no request is queued by admission control.
	slots = 1 << 14
)

// FleetConfig configures a fleet.
type FleetConfig struct {
	// Engine configures the stand-in engines.
	Engine standin.EngineConfig
	// ServiceTime is the time that the stand-in service takes for a call.
	ServiceTime time.Duration
	// Endpoints is the number of engine endpoints, 1 if zero. They share one
	// stand-in engine and one agent, under different IDs.
	Endpoints int
	// SeparateEngines gives each endpoint its own stand-in engine.
	SeparateEngines bool
	// PollInterval is the interval at which the agent polls each engine. If it is
	// zero, the total rate of polls is at most that of a host in production.
	PollInterval time.Duration
	// Freshness is the maximum age of the configuration's last confirmation for the
	// agent to admit calls; zero means the agent's default.
	Freshness time.Duration
	// DataDir, if set, is the directory for the logs of three real control
	// replicas; without it the control state is in memory and not replicated.
	DataDir string
	// ConfigureEntry, if set, modifies the settings of the entry.
	ConfigureEntry func(*entry.Config)
}

// Fleet is an entry, an agent, stand-in engines, a stand-in service and a control
// plane in this process, connected over loopback.
type Fleet struct {
	// EntryURL is the base URL of the entry, EngineURL and ServiceURL are those of
	// the stand-ins.
	EntryURL, EngineURL, ServiceURL string
	// Engine is the first stand-in engine.
	Engine *standin.Engine
	// Engines and EngineURLs have one element per endpoint; Engine and EngineURL
	// are the first ones.
	Engines    []*standin.Engine
	EngineURLs []string
	// Entry is the entry, and Service the stand-in service.
	Entry   *entry.Daemon
	Service *standin.Service
	// StopEntry starts the graceful shutdown of the entry; EntryDone receives its
	// result.
	StopEntry context.CancelFunc
	EntryDone chan error

	cleanups []func()
}

// controlPlane is the part of the control replicas that a fleet uses.
type controlPlane interface {
	addrs() []string
	// accept plans and confirms an intent as soon as its endpoints are known.
	accept(intent *controlv1.Intent) error
	stop()
}

func startControl(cfg FleetConfig) (controlPlane, error) {
	if cfg.DataDir == "" {
		return startMemoryReplica()
	}
	return startCluster(cfg.DataDir)
}

// StartFleet starts a fleet and waits until it serves requests.
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
	f.cleanups = append(f.cleanups, control.stop)
	for _, start := range []func() error{
		func() error { return f.startAgent(cfg, control.addrs()) },
		func() error { return f.applyConfiguration(cfg, control) },
		func() error { return f.startEntry(cfg, strings.Join(control.addrs(), ",")) },
		f.waitUntilServing,
	} {
		if err := start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close stops all components without a graceful shutdown.
func (f *Fleet) Close() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *Fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.cleanups = append(f.cleanups, func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// startEngines starts the stand-in engines, one for all endpoints unless
// SeparateEngines is set.
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
	// Register sets the defaults of all settings that are not set below.
	settings := &agent.Settings{}
	settings.Register(setting.New("lilackeel-agent"))
	settings.Name, settings.Host, settings.Zone, settings.Region = "agent", "host", "zone", "region"
	settings.Listen = "127.0.0.1:0"
	settings.Control, settings.Feed = control, control
	settings.Limits = gate.DefaultLimits()
	if cfg.Freshness > 0 {
		settings.Limits.Freshness = cfg.Freshness
	}
	settings.PollInterval = pollInterval(cfg)
	for i := range max(cfg.Endpoints, 1) {
		settings.Endpoints = append(settings.Endpoints, agent.Endpoint{
			ID: engineID(i), Pool: enginePool, Kind: agent.KindEngine, URL: f.EngineURLs[i], Model: Model, Version: modelVersion, Slots: slots,
		})
	}
	settings.Endpoints = append(settings.Endpoints, agent.Endpoint{
		ID: "service-1", Pool: servicePool, Kind: agent.KindService, URL: f.ServiceURL, Slots: slots,
	})
	daemon, err := agent.New(settings, discardLogger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	f.cleanups = append(f.cleanups, func() {
		cancel()
		select {
		case <-done:
		case <-time.After(startTimeout):
		}
	})
	return nil
}

// pollInterval returns an interval at which the single agent polls no more often
// than an agent of a production host, whatever the number of endpoints.
func pollInterval(cfg FleetConfig) time.Duration {
	if cfg.PollInterval > 0 {
		return cfg.PollInterval
	}
	const perHost = 8
	return time.Second * time.Duration(max(cfg.Endpoints/perHost, 1))
}

func engineID(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func discardLogger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

// applyConfiguration accepts an intent that defines the workspace, the model and the
// service, and sets all endpoints to serving.
func (f *Fleet) applyConfiguration(cfg FleetConfig, control controlPlane) error {
	digest := sha256.Sum256([]byte(WorkspaceKey))
	intent := &controlv1.Intent{
		Id: "serve", Operator: "measure",
		Workspaces: []*fleetv1.Workspace{{Name: workspaceName, Importance: 1, KeyDigests: []string{hex.EncodeToString(digest[:])}, MaxQueue: slots}},
		Models:     []*fleetv1.Model{{Name: Model, Pool: enginePool, Version: modelVersion}},
		Services:   []*fleetv1.Service{{Name: servicePool, Pool: servicePool, PathPrefix: ServicePrefix}},
	}
	for i := range max(cfg.Endpoints, 1) {
		intent.Endpoints = append(intent.Endpoints, servingChange(engineID(i)))
	}
	intent.Endpoints = append(intent.Endpoints, servingChange("service-1"))
	return control.accept(intent)
}

func servingChange(id string) *controlv1.EndpointChange {
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
	daemon, err := entry.New(settings, discardLogger())
	if err != nil {
		return err
	}
	f.Entry, f.EntryURL = daemon, "http://"+daemon.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	f.StopEntry = cancel
	go func() { f.EntryDone <- daemon.Run(ctx) }()
	f.cleanups = append(f.cleanups, cancel)
	return nil
}

// waitUntilServing waits until a model call and a call that needs a claim succeed.
func (f *Fleet) waitUntilServing() error {
	var lastErr error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		lastErr = errors.Join(f.Complete(f.EntryURL, 1), f.CallNonIdempotent())
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}
