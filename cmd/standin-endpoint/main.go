// Command standin-endpoint serves stand-in model engines and plain services for tests and the
// example deployments.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/standin"
)

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 5 * time.Second

type settings struct {
	engines, services []string
	engine            standin.EngineConfig
	serviceTime       time.Duration
	group             standin.RankGroupConfig
}

func (s *settings) register(set *setting.Set) {
	set.List(&s.engines, "engine-listen", nil, "addresses of the stand-in engines, one each", setting.HostPort)
	set.List(&s.services, "service-listen", nil, "addresses of the stand-in services, one each", setting.HostPort)
	set.String(&s.engine.Model, "model", "draft", "model that the engines report")
	set.String(&s.engine.Version, "model-version", "1", "model version that the engines report")
	set.List(&s.engine.Adapters, "adapters", nil, "adapters that the engines have loaded")
	set.Int(&s.engine.Slots, "slots", 16, "maximum number of calls in an engine's running batch", setting.Min(1))
	set.Duration(&s.engine.TokenTime, "token-time", 5*time.Millisecond, "time to generate one token", setting.Min(time.Duration(0)))
	set.Duration(&s.engine.PrefillTime, "prefill-time", 2*time.Millisecond, "time to compute one prompt block that is not cached", setting.Min(time.Duration(0)))
	set.Int(&s.engine.CacheBlocks, "cache-blocks", 4096, "capacity of an engine's prefix cache in blocks", setting.Min(0))
	set.Duration(&s.engine.EventDelay, "event-delay", 50*time.Millisecond, "delay before cache events are published", setting.Min(time.Duration(0)))
	set.Int(&s.engine.EventGapEvery, "event-gap-every", 0, "drop every n-th cache event; 0 for none", setting.Min(0))
	set.Duration(&s.engine.LoadLag, "load-lag", 100*time.Millisecond, "interval at which the reported load is sampled", setting.Min(time.Duration(0)))
	set.Bool(&s.engine.ChecksFencing, "checks-fencing", false, "refuse orders with a stale fencing token")
	set.Duration(&s.serviceTime, "service-time", 2*time.Millisecond, "time of a service call", setting.Min(time.Duration(0)))
	set.Duration(&s.engine.MapLoadTime, "map-load-time", 20*time.Millisecond, "time to load the weights of an expert map", setting.Min(time.Duration(0)))
	set.String(&s.group.Name, "group", "", "group that the engines form, in order of rank; empty for none", setting.Name)
	set.List(&s.group.Agents, "group-agents", nil, "agent addresses at which the ranks request steps, one each", setting.HostPort)
	set.Int(&s.group.Experts, "group-experts", 16, "experts per layer", setting.Min(1))
	set.Duration(&s.group.StepTime, "step-time", 4500*time.Microsecond, "base time of a step", setting.Min(time.Millisecond))
	set.Duration(&s.group.TokenTime, "step-token-time", time.Microsecond, "time that each token of a layer adds to a step on its rank", setting.Min(time.Duration(0)))
	set.Check(s.checkGroup)
	set.Check(func() error {
		if len(s.engines)+len(s.services) > 0 {
			return nil
		}
		return fault.New(fault.Invalid, "no stand-in is configured", "set -engine-listen or -service-listen")
	})
}

func (s *settings) checkGroup() error {
	if s.group.Name == "" || len(s.group.Agents) == len(s.engines) {
		return nil
	}
	return fault.Newf(fault.Invalid, "set -group-agents to one agent address per engine",
		"%d engines are configured, but %d rank agents", len(s.engines), len(s.group.Agents))
}

func main() {
	var s settings
	set := setting.New("standin-endpoint")
	s.register(set)
	if code, done := set.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs all stand-ins until ctx ends, then shuts them down gracefully.
func serve(ctx context.Context, s settings) error {
	var servers []*http.Server
	failed := make(chan error, len(s.engines)+len(s.services))
	start := func(address string, handler http.Handler) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		go func() { failed <- server.Serve(listener) }()
		return nil
	}
	var engines []*standin.Engine
	for range s.engines {
		engines = append(engines, standin.NewEngine(s.engine))
	}
	if s.group.Name != "" {
		for i, address := range s.group.Agents {
			s.group.Agents[i] = "http://" + address
		}
		go standin.NewRankGroup(s.group, engines).Run(ctx)
	}
	for i, address := range s.engines {
		if err := start(address, engines[i]); err != nil {
			return err
		}
	}
	for _, address := range s.services {
		if err := start(address, standin.NewService(s.serviceTime)); err != nil {
			return err
		}
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Shutdown(context.WithoutCancel(ctx)))
	}
	return errors.Join(errs...)
}
