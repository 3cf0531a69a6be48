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

// SetDefaultLogger makes logger the default logger of the process and routes the
// output of libraries (package log, gRPC, OpenTelemetry) to it, so that the log
// consists of JSON lines only. A daemon calls it once, before it opens connections.
func SetDefaultLogger(logger *slog.Logger) {
	slog.SetDefault(logger)
	grpclog.SetLoggerV2(&grpcLogger{logger: logger.With("library", "grpc"), warnings: map[string]warningState{}})
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		logger.Warn("spans cannot be exported", "library", "opentelemetry", "error", err)
	}))
}

const (
	// warningRepeatInterval is the minimum time between two similar warnings of
	// gRPC. While a peer is unreachable, the library repeats a warning several times
	// a second.
	warningRepeatInterval = 30 * time.Second
	// maxTrackedWarnings bounds the number of distinct warnings that are tracked.
	maxTrackedWarnings = 256
	// warningKeyBytes is the length of the prefix by which warnings are told apart;
	// the rest of the message holds numbers of channels and attempts.
	warningKeyBytes = 48
)

// grpcLogger writes the warnings and errors of gRPC to a logger. Similar warnings are
// written once per warningRepeatInterval. It implements grpclog.LoggerV2.
type grpcLogger struct {
	logger *slog.Logger

	mu       sync.Mutex
	warnings map[string]warningState
}

// warningState is the state of a group of similar warnings.
type warningState struct {
	// loggedAt is when the warning was last written, and suppressed how many were
	// dropped since then.
	loggedAt   time.Time
	suppressed int
}

// warn writes a warning unless a similar one was written recently.
func (g *grpcLogger) warn(message string) {
	suppressed, drop := g.suppress(message, time.Now())
	if drop {
		return
	}
	g.logger.Warn(message, slog.Int("left_out", suppressed))
}

// suppress records a warning and reports whether to drop it, because a similar one was
// written recently; if not, it returns how many similar ones were dropped since the
// last that was written. Digits are ignored in the comparison.
func (g *grpcLogger) suppress(message string, now time.Time) (suppressed int, drop bool) {
	key := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, message)
	key = key[:min(len(key), warningKeyBytes)]
	g.mu.Lock()
	defer g.mu.Unlock()
	previous, found := g.warnings[key]
	if found && now.Sub(previous.loggedAt) < warningRepeatInterval {
		previous.suppressed++
		g.warnings[key] = previous
		return 0, true
	}
	if len(g.warnings) >= maxTrackedWarnings {
		clear(g.warnings)
	}
	g.warnings[key] = warningState{loggedAt: now}
	return previous.suppressed, false
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

// V implements grpclog.LoggerV2. It disables verbose logging.
func (g *grpcLogger) V(int) bool { return false }

// fatal exits the process, as grpclog requires of Fatal.
func (g *grpcLogger) fatal(message string) {
	g.logger.Error(message)
	os.Exit(1)
}

func sprintln(args ...any) string { return strings.TrimSuffix(fmt.Sprintln(args...), "\n") }
