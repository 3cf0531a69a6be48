// Package daemon runs a daemon from its settings to its planned stop. The mains
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

	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

// flushTimeout bounds sending the last spans at the end.
const flushTimeout = 3 * time.Second

// recoverPause is the time before a daemon that has failed is assembled anew.
const recoverPause = 300 * time.Millisecond

// Daemon is an assembled daemon.
type Daemon interface {
	// Ready says whether the daemon takes new work.
	Ready() *telemetry.Ready
	// Run serves until ctx ends and then stops without cutting work in flight.
	Run(ctx context.Context) error
}

// Program is a daemon that is not yet assembled.
type Program struct {
	// Name is the name of the program.
	Name string
	// Register registers the settings.
	Register func(*setting.Set)
	// Telemetry is filled when the settings are parsed; its Host names the
	// daemon in the logs.
	Telemetry *telemetry.Config
	// New assembles the daemon once the settings are parsed and checked.
	New func(*slog.Logger) (Daemon, error)
	// Reload puts settings in force that may change while the daemon runs. It
	// registers all settings anew, reads them with parse, and returns its error,
	// upon which everything stays as it was. Nil: a reload changes nothing.
	Reload func(d Daemon, parse func(*setting.Set) error) error
	// Recover is asked when the daemon has failed: it may remove the cause and
	// return true, and the daemon is assembled anew. Nil: a failure ends it.
	Recover func(err error, logger *slog.Logger) bool
	// Args are the arguments; nil for those of the process.
	Args []string
}

// Main runs the program with the arguments and the environment of this process
// until SIGTERM or an interrupt, and returns the exit code. SIGHUP, or a change
// of the file of settings, is a reload and never an end.
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
		wait.For(ctx, recoverPause)
		err = p.run(ctx, logger, reloads)
	}
	if err != nil {
		logger.Error("the daemon failed", slog.Any("error", err))
		return 1
	}
	logger.Info("ended")
	return 0
}

// run serves until ctx ends.
func (p Program) run(ctx context.Context, logger *slog.Logger, reloads *reloader) (err error) {
	flush, err := telemetry.StartTracing(ctx, *p.Telemetry)
	if err != nil {
		return err
	}
	defer func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		err = errors.Join(err, flush(limited))
	}()
	d, err := p.New(logger)
	if err != nil {
		return err
	}
	admin, err := telemetry.ServeAdmin(*p.Telemetry, d.Ready(), logger)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, admin.Shutdown(context.WithoutCancel(ctx))) }()
	running, ended := context.WithCancel(ctx)
	defer ended()
	go reloads.run(running, d)
	return d.Run(ctx)
}
