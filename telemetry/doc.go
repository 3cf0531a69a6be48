// Package telemetry provides structured logging, tracing, metrics, health and
// readiness, in the same form for every daemon.
//
// Logs are JSON lines. Attributes that are bound to a context with
// WithAttributes (request id, workspace, endpoint, attempt, revision) appear on
// each line logged with that context, as does the trace id. Values of attributes
// whose keys name a secret are redacted.
//
// Traces use OpenTelemetry with the W3C traceparent header. Tracing is off by
// default; an incoming traceparent is propagated even then.
package telemetry
