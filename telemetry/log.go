package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/trace"
)

// redacted stands in place of a secret.
const redacted = "[redacted]"

// Logger returns a logger of JSON lines. An unknown level counts as info.
func NewLogger(w io.Writer, level, daemon, host string) *slog.Logger {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: least, ReplaceAttr: redact})
	return slog.New(&contextHandler{handler}).With("daemon", daemon, "host", host)
}

// attributesKey is the context key of the bound attributes.
type attributesKey struct{}

// WithAttributes binds attributes to ctx, after those bound already. Each line
// that is logged with the context carries them.
func WithAttributes(ctx context.Context, attrs ...slog.Attr) context.Context {
	bound, _ := ctx.Value(attributesKey{}).([]slog.Attr)
	joined := make([]slog.Attr, 0, len(bound)+len(attrs))
	joined = append(joined, bound...)
	joined = append(joined, attrs...)
	return context.WithValue(ctx, attributesKey{}, joined)
}

// contextHandler adds the attributes and the trace id of the context.
type contextHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h *contextHandler) Handle(ctx context.Context, record slog.Record) error {
	if bound, ok := ctx.Value(attributesKey{}).([]slog.Attr); ok {
		record.AddAttrs(bound...)
	}
	if span := trace.SpanContextFromContext(ctx); span.HasTraceID() {
		record.AddAttrs(slog.String("trace_id", span.TraceID().String()))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *contextHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &contextHandler{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *contextHandler) WithGroup(name string) slog.Handler {
	return &contextHandler{h.Handler.WithGroup(name)}
}

// secretWords are the endings of keys whose values are secrets.
var secretWords = []string{
	"authorization", "password", "passwd", "secret", "credential", "credentials",
	"cookie", "api_key", "apikey", "workspace_key", "private_key", "tls_key", "access_token", "bearer_token",
}

// isSecret reports whether a key names a secret. Fencing tokens, counts of
// tokens and idempotency keys are no secrets.
func isSecret(key string) bool {
	key = strings.ToLower(strings.ReplaceAll(key, "-", "_"))
	if key == "token" || key == "key" {
		return true
	}
	for _, word := range secretWords {
		if strings.HasSuffix(key, word) {
			return true
		}
	}
	return false
}

// redact replaces the values of secrets, also inside headers and URLs.
func redact(_ []string, attr slog.Attr) slog.Attr {
	if isSecret(attr.Key) {
		return slog.String(attr.Key, redacted)
	}
	switch typed := attr.Value.Any().(type) {
	case http.Header:
		attr.Value = slog.AnyValue(redactHeader(typed))
	case *url.URL:
		attr.Value = slog.StringValue(redactURL(typed))
	}
	return attr
}

func redactHeader(header http.Header) http.Header {
	safe := make(http.Header, len(header))
	for name, values := range header {
		if isSecret(name) {
			values = []string{redacted}
		}
		safe[name] = values
	}
	return safe
}

// redactURL hides the password and the values of the query.
func redactURL(address *url.URL) string {
	if address == nil {
		return ""
	}
	safe := *address
	if safe.RawQuery != "" {
		safe.RawQuery = "redacted"
	}
	return safe.Redacted()
}
