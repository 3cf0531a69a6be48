package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc/grpclog"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/setting"
)

func TestLogLinesCarryContextAttributesButNoSecrets(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewLogger(&out, "info", "lilackeel-entry", "host-1")
	ctx := WithAttributes(t.Context(), slog.String("request_id", "r-17"), slog.String("workspace", "nawras"))
	address := &url.URL{Scheme: "http", User: url.UserPassword("u", "hush-1"), Host: "h", RawQuery: "key=hush-2"}
	logger.With("workspace-key", "hush-3").WithGroup("caller").InfoContext(ctx, "refused",
		"Authorization", "Bearer hush-4",
		"headers", http.Header{"Authorization": {"hush-5"}, "Accept": {"text/plain"}},
		"url", address,
		slog.Group("auth", "password", "hush-6"),
		"fencing_token", 41,
	)
	line := out.String()
	is.True(!strings.Contains(line, "hush"))
	for _, part := range []string{`"request_id":"r-17"`, `"workspace":"nawras"`, `"host":"host-1"`, `"fencing_token":41`, "text/plain"} {
		is.True(strings.Contains(line, part)) // must not be redacted
	}
}

// TestLongTextsAreCut guards against log lines whose length a caller chooses.
func TestLongTextsAreCut(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	long := strings.Repeat("x", 20_000)
	NewLogger(&output, "info", "daemon", "host").Info("refused", slog.String("request_id", long), slog.Any("error", errors.New(long)), slog.String("path", "short"))
	is.True(output.Len() < 3*maxLoggedText)
	is.True(strings.Contains(output.String(), `"path":"short"`))
	is.True(json.Valid(output.Bytes()))
}

func TestLibrariesLogJSONLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	previous := slog.Default()
	defer slog.SetDefault(previous)
	SetDefaultLogger(NewLogger(&out, "info", "lilackeel-entry", "host-1"))
	log.Print("from package log")
	grpclog.Warningf("from %s", "gRPC")
	otel.Handle(errors.New("from OpenTelemetry"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	for _, line := range lines {
		is.True(json.Valid([]byte(line)))
	}
}

func TestSpansReachOTLPCollector(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.URL.Path }))
	defer collector.Close()
	shutdown, err := StartTracing(t.Context(), Config{TraceExporter: ExporterOTLP, TraceEndpoint: collector.URL, TraceRatio: 1})
	is.NoErr(err)
	_, span := StartSpan(t.Context(), "pick")
	span.End()
	is.NoErr(shutdown(context.Background()))
	is.Equal(<-received, "/v1/traces")
}

func TestSpansJoinIncomingTrace(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "spans.json")
	shutdown, err := StartTracing(t.Context(), Config{Daemon: "lilackeel-entry", TraceExporter: ExporterFile, TraceEndpoint: path, TraceRatio: 1})
	is.NoErr(err)
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	incoming := http.Header{"Traceparent": {"00-" + traceID + "-00f067aa0ba902b7-01"}}
	ctx, span := StartSpan(Extract(t.Context(), incoming), "pick", attribute.Int("attempt", 1))
	outgoing := http.Header{}
	Inject(ctx, outgoing)
	EndSpan(span, fault.New(fault.Overloaded, "a caller's data", "wait"))
	is.NoErr(shutdown(context.Background()))
	recorded, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(recorded), traceID))
	is.True(strings.Contains(string(recorded), "overloaded"))
	is.True(!strings.Contains(string(recorded), "a caller's data"))
	is.True(strings.Contains(outgoing.Get("traceparent"), traceID))
	is.True(outgoing.Get("traceparent") != incoming.Get("traceparent")) // the new span is the parent

	ctx, _ = StartSpan(Extract(t.Context(), incoming), "pick") // tracing is off again
	Inject(ctx, outgoing)
	is.Equal(outgoing.Get("traceparent"), incoming.Get("traceparent")) // propagated unchanged
}

func TestReadyzReportsReason(t *testing.T) {
	is := is.New(t)
	ready := NewReady()
	get := func(path string) (int, string) {
		recorder := httptest.NewRecorder()
		AdminHandler(ready).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, recorder.Body.String()
	}
	code, _ := get("/readyz")
	is.Equal(code, http.StatusServiceUnavailable) // not ready initially
	ready.Set(true, "")
	code, _ = get("/readyz")
	is.Equal(code, http.StatusOK)
	ready.Set(false, "stopping")
	code, body := get("/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "stopping"))
	code, _ = get("/healthz")
	is.Equal(code, http.StatusOK)
	code, body = get("/metrics")
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(body, "go_goroutines"))
}

func TestContradictoryTraceSettingsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{"-trace-exporter=otlp"},
		{"-trace-exporter=otlp", "-trace-endpoint=collector"},
		{"-trace-endpoint=/tmp/spans"},
	} {
		s := setting.New("lilackeel-sample")
		RegisterSettings(s, &Config{})
		_, err := s.Parse(args, nil)
		is.True(err != nil)
	}
}

// BenchmarkSpan measures the cost of a span while tracing is off.
func BenchmarkSpan(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, span := StartSpan(b.Context(), "pick", attribute.Int("attempt", 1))
		EndSpan(span, nil)
	}
}
