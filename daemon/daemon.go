// Package daemon runs a daemon from reading its settings to graceful shutdown. The main packages
// under cmd share it.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

// flushTimeout bounds the export of the remaining spans at shutdown.
const flushTimeout = 3 * time.Second

// recoverDelay is the delay before a failed daemon is created anew.
const recoverDelay = 300 * time.Millisecond

// Daemon is a daemon that is ready to run.
type Daemon interface {
	// Ready reports whether the daemon accepts new work.
	Ready() *telemetry.Ready
	// Resources are what the HTTP listeners of the daemon share.
	Resources() *inbound.Resources
	// Run serves until ctx ends and then stops without interrupting work in progress.
	Run(ctx context.Context) error
}

// Program describes how a daemon is configured and created.
type Program struct {
	// Name is the name of the program.
	Name string
	// Register registers the settings.
	Register func(*setting.Set)
	// Telemetry is set when the settings are parsed; its Host names the daemon in the logs.
	Telemetry *telemetry.Config
	// New creates the daemon once the settings are parsed and checked.
	New func(*slog.Logger) (Daemon, error)
	// Reload applies the settings that may change while the daemon runs. It registers all settings
	// anew, reads them with parse and returns its error, in which case nothing changes. If it is
	// nil, a reload changes nothing.
	Reload func(d Daemon, parse func(*setting.Set) error) error
	// Recover is called when the daemon has failed. If it removes the cause, it returns true and
	// the daemon is created anew. If it is nil, every failure ends the program.
	Recover func(err error, logger *slog.Logger) bool
	// Args are the command-line arguments; nil means those of the process.
	Args []string
}

// Main runs the program with its arguments and the environment of this process until SIGTERM or an
// interrupt, and returns the exit code. SIGHUP or a change of the settings file triggers a reload
// and never ends the program.
func Main(p Program) int {
	if p.Args == nil {
		p.Args = os.Args[1:]
	}
	set := setting.New(p.Name)
	p.Register(set)
	if code, done := set.Main(p.Args, os.Environ(), os.Stdout, os.Stderr); done {
		return code
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	logger := telemetry.NewLogger(os.Stdout, p.Telemetry.LogLevel, set.Daemon(), p.Telemetry.Host)
	telemetry.SetDefaultLogger(logger)
	logger.Info("starting", slog.String("version", setting.Version()), slog.Any("settings", set))
	for _, warning := range set.Warnings() {
		logger.Warn(warning)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := &reloader{program: p, file: set.File(), logger: logger, hangup: hangup}
	err := p.run(ctx, logger, reloads)
	for err != nil && ctx.Err() == nil && p.Recover != nil && p.Recover(err, logger) {
		wait.For(ctx, recoverDelay)
		err = p.run(ctx, logger, reloads)
	}
	if err != nil {
		logger.Error("the daemon failed", slog.Any("error", err))
		return 1
	}
	logger.Info("ended")
	return 0
}

// run creates the daemon and serves until ctx ends.
func (p Program) run(ctx context.Context, logger *slog.Logger, reloads *reloader) (err error) {
	flush, err := telemetry.StartTracing(ctx, *p.Telemetry)
	if err != nil {
		return err
	}
	defer func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		err = errors.Join(err, flush(callCtx))
	}()
	d, err := p.New(logger)
	if err != nil {
		return err
	}
	admin, err := telemetry.ServeAdmin(*p.Telemetry, d.Ready(), d.Resources(), logger)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, admin.Shutdown(context.WithoutCancel(ctx))) }()
	reloadCtx, stopReloads := context.WithCancel(ctx)
	defer stopReloads()
	go reloads.run(reloadCtx, d)
	return d.Run(ctx)
}
