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

// redacted replaces the value of a secret.
const redacted = "[redacted]"

// NewLogger returns a logger that writes JSON lines. An unknown level is treated as
// info.
func NewLogger(w io.Writer, level, daemon, host string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel, ReplaceAttr: redact})
	return slog.New(&contextHandler{handler}).With("daemon", daemon, "host", host)
}

// attributesKey is the context key of the attributes set by WithAttributes.
type attributesKey struct{}

// WithAttributes returns a context with attrs appended to the attributes of ctx.
// Every line that is logged with the context carries them.
func WithAttributes(ctx context.Context, attrs ...slog.Attr) context.Context {
	existing, _ := ctx.Value(attributesKey{}).([]slog.Attr)
	joined := make([]slog.Attr, 0, len(existing)+len(attrs))
	joined = append(joined, existing...)
	joined = append(joined, attrs...)
	return context.WithValue(ctx, attributesKey{}, joined)
}

// contextHandler adds the attributes and the trace id of the context to each record.
type contextHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h *contextHandler) Handle(ctx context.Context, record slog.Record) error {
	if existing, ok := ctx.Value(attributesKey{}).([]slog.Attr); ok {
		record.AddAttrs(existing...)
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

// secretSuffixes are the endings of keys whose values are secrets.
var secretSuffixes = []string{
	"authorization", "password", "passwd", "secret", "credential", "credentials",
	"cookie", "api_key", "apikey", "workspace_key", "private_key", "tls_key", "access_token", "bearer_token",
}

// isSecret reports whether a key names a secret. Fencing tokens, token counts and
// idempotency keys are not secrets.
func isSecret(key string) bool {
	key = strings.ToLower(strings.ReplaceAll(key, "-", "_"))
	if key == "token" || key == "key" {
		return true
	}
	for _, suffix := range secretSuffixes {
		if strings.HasSuffix(key, suffix) {
			return true
		}
	}
	return false
}

// maxLoggedText is the length up to which a text is logged, in bytes. Remote peers choose the length of ids, paths
// and what errors quote.
const maxLoggedText = 2 << 10

// shorten cuts a text that is too long to be logged.
func shorten(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
}

// redact replaces the values of secrets, including those in headers and URLs, and cuts long texts.
func redact(_ []string, attr slog.Attr) slog.Attr {
	if isSecret(attr.Key) {
		return slog.String(attr.Key, redacted)
	}
	if attr.Value.Kind() == slog.KindString {
		attr.Value = slog.StringValue(shorten(attr.Value.String()))
		return attr
	}
	switch typed := attr.Value.Any().(type) {
	case error:
		if text := typed.Error(); len(text) > maxLoggedText {
			attr.Value = slog.StringValue(shorten(text))
		}
	case http.Header:
		attr.Value = slog.AnyValue(redactHeader(typed))
	case *url.URL:
		attr.Value = slog.StringValue(redactURL(typed))
	}
	return attr
}

func redactHeader(header http.Header) http.Header {
	sanitized := make(http.Header, len(header))
	for name, values := range header {
		if isSecret(name) {
			values = []string{redacted}
		}
		sanitized[name] = values
	}
	return sanitized
}

// redactURL formats a URL with its password and its query redacted.
func redactURL(address *url.URL) string {
	if address == nil {
		return ""
	}
	sanitized := *address
	if sanitized.RawQuery != "" {
		sanitized.RawQuery = "redacted"
	}
	return sanitized.Redacted()
}
