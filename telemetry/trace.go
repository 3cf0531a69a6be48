package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	gtrace "github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/lilackeel/lilackeel/fault"
)

// scope names the library that makes the spans.
const scope = "github.com/lilackeel/lilackeel"

// traceFileMode is the permission of a new file of spans.
const traceFileMode = 0o640

// propagator reads and writes the traceparent and tracestate headers.
var propagator = propagation.TraceContext{}

// recorder is the tracer in use; nil while tracing is off.
var recorder atomic.Pointer[trace.Tracer]

// Tracing starts the recording of spans as cfg says, for the whole process. The
// returned function sends what is still buffered and stops the recording.
func Tracing(ctx context.Context, cfg Config) (shutdown func(context.Context) error, err error) {
	exporter, sink, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Daemon),
			attribute.String("host.name", cfg.Host),
		)),
	)
	otel.SetTextMapPropagator(propagator)
	tracer := provider.Tracer(scope)
	recorder.Store(&tracer)
	return func(ctx context.Context) error {
		recorder.CompareAndSwap(&tracer, nil)
		return gtrace.Wrap(errors.Join(provider.Shutdown(ctx), sink.Close()))
	}, nil
}

// newExporter returns the exporter of cfg and the file to close after it; a nil
// exporter if tracing is off.
func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, io.Closer, error) {
	none := io.NopCloser(nil)
	switch cfg.TraceExporter {
	case "", ExporterOff:
		return nil, none, nil
	case ExporterStdout:
		exporter, err := stdouttrace.New()
		return exporter, none, gtrace.Wrap(err)
	case ExporterFile:
		file, err := os.OpenFile(cfg.TraceEndpoint, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, nil, fault.New(fault.Invalid, "the file of -trace-endpoint cannot be opened",
				"name a file in a folder that the daemon may write to").WithCause(err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file, gtrace.Wrap(err)
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collectorURL(cfg.TraceEndpoint)))
		return exporter, none, gtrace.Wrap(err)
	}
	return nil, nil, fault.Newf(fault.Invalid, "use off, stdout, file or otlp",
		"unknown trace exporter %q", cfg.TraceExporter)
}

// collectorPath is where OTLP/HTTP collectors take spans.
const collectorPath = "/v1/traces"

// collectorURL adds the usual path to the URL of a collector that has none.
func collectorURL(endpoint string) string {
	parsed, err := url.Parse(endpoint)
	if err != nil || strings.Trim(parsed.Path, "/") != "" {
		return endpoint
	}
	parsed.Path = collectorPath
	return parsed.String()
}

// Span starts a span below the one in ctx. The caller ends it, best with End.
// While tracing is off it returns ctx itself and a span that does nothing.
func Span(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	tracer := recorder.Load()
	if tracer == nil {
		return ctx, idleSpan
	}
	return (*tracer).Start(ctx, name, trace.WithAttributes(slices.Clone(attrs)...))
}

// idleSpan is the span of a process that does not trace.
var idleSpan = trace.SpanFromContext(context.Background())

// End ends a span. A non-nil error marks it as failed, with the kind of the
// fault; the message is left out, as it may quote a caller's data.
func End(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		kind := string(fault.KindOf(err))
		span.SetAttributes(attribute.String("fault.kind", kind))
		span.SetStatus(codes.Error, kind)
	}
	span.End()
}

// Extract returns ctx with the trace that the HTTP headers carry, if any.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace of ctx to the HTTP headers.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
