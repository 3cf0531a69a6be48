package telemetry

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"google.golang.org/grpc/grpclog"
)

// Install makes logger the default of the process and the destination of what
// the libraries log (package log, gRPC, OpenTelemetry), so that everything on
// the log is JSON lines. A daemon calls it once, before it makes connections.
func SetDefaultLogger(logger *slog.Logger) {
	slog.SetDefault(logger)
	grpclog.SetLoggerV2(&grpcLogger{logger: logger.With("library", "grpc"), last: map[string]warning{}})
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		logger.Warn("spans cannot be exported", "library", "opentelemetry", "error", err)
	}))
}

const (
	// repeatAfter is the time after which a warning of gRPC is written again; while
	// a peer is away the library repeats it several times a second.
	repeatAfter = 30 * time.Second
	// maxRemembered bounds the warnings that are remembered.
	maxRemembered = 256
	// warningPrefix is how much of a warning tells it from others, in bytes: what
	// follows numbers channels and attempts.
	warningPrefix = 48
)

// grpcLogger writes the warnings and errors of gRPC to a logger, each kind once in
// repeatAfter. It implements grpclog.LoggerV2.
type grpcLogger struct {
	logger *slog.Logger

	mu   sync.Mutex
	last map[string]warning
}

// warning is one kind of warning.
type warning struct {
	// written is when it was written last, leftOut how often it was not since.
	written time.Time
	leftOut int
}

// warn writes a warning unless one like it was written a moment ago.
func (g *grpcLogger) warn(message string) {
	leftOut, repeated := g.repeated(message, time.Now())
	if repeated {
		return
	}
	g.logger.Warn(message, slog.Int("left_out", leftOut))
}

// repeated notes a warning and reports whether one like it is recent, or else how
// many like it were left out before. Digits do not tell warnings apart.
func (g *grpcLogger) repeated(message string, now time.Time) (leftOut int, repeated bool) {
	kind := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, message)
	kind = kind[:min(len(kind), warningPrefix)]
	g.mu.Lock()
	defer g.mu.Unlock()
	before, known := g.last[kind]
	if known && now.Sub(before.written) < repeatAfter {
		before.leftOut++
		g.last[kind] = before
		return 0, true
	}
	if len(g.last) >= maxRemembered {
		clear(g.last)
	}
	g.last[kind] = warning{written: now}
	return before.leftOut, false
}

func (g *grpcLogger) Info(...any)          {}
func (g *grpcLogger) Infoln(...any)        {}
func (g *grpcLogger) Infof(string, ...any) {}

func (g *grpcLogger) Warning(args ...any)   { g.warn(fmt.Sprint(args...)) }
func (g *grpcLogger) Warningln(args ...any) { g.warn(sprintln(args...)) }
func (g *grpcLogger) Warningf(format string, args ...any) {
	g.warn(fmt.Sprintf(format, args...))
}

func (g *grpcLogger) Error(args ...any)                 { g.logger.Error(fmt.Sprint(args...)) }
func (g *grpcLogger) Errorln(args ...any)               { g.logger.Error(sprintln(args...)) }
func (g *grpcLogger) Errorf(format string, args ...any) { g.logger.Error(fmt.Sprintf(format, args...)) }

func (g *grpcLogger) Fatal(args ...any)                 { g.fatal(fmt.Sprint(args...)) }
func (g *grpcLogger) Fatalln(args ...any)               { g.fatal(sprintln(args...)) }
func (g *grpcLogger) Fatalf(format string, args ...any) { g.fatal(fmt.Sprintf(format, args...)) }

// V implements grpclog.LoggerV2: nothing verbose is wanted.
func (g *grpcLogger) V(int) bool { return false }

// fatal ends the process, as gRPC demands of Fatal.
func (g *grpcLogger) fatal(message string) {
	g.logger.Error(message)
	os.Exit(1)
}

func sprintln(args ...any) string { return strings.TrimSuffix(fmt.Sprintln(args...), "\n") }
