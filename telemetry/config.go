package telemetry

import (
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/setting"
)

// Trace exporters.
const (
	// ExporterOff records no spans.
	ExporterOff = "off"
	// ExporterStdout writes spans as JSON lines to standard output.
	ExporterStdout = "stdout"
	// ExporterFile appends spans as JSON lines to the file named by -trace-endpoint.
	ExporterFile = "file"
	// ExporterOTLP sends spans to the OTLP/HTTP collector at -trace-endpoint.
	ExporterOTLP = "otlp"
)

// defaultAdminListen is the default address of metrics, health and readiness.
const defaultAdminListen = "127.0.0.1:9090"

// Config configures the telemetry of a daemon.
type Config struct {
	// Daemon is the name of the program. Every log line and span carries it.
	Daemon string
	// Host is the name of the host. Every log line and span carries it.
	Host string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TraceExporter is one of the Exporter constants.
	TraceExporter string
	// TraceEndpoint is a URL for ExporterOTLP and a path for ExporterFile.
	TraceEndpoint string
	// TraceRatio is the fraction of new traces that are recorded, 0 to 1. The
	// sampling decision of an incoming trace is kept.
	TraceRatio float64
	// AdminListen is the host:port of metrics, health and readiness; if it is
	// empty, there is no admin listener.
	AdminListen string
}

// RegisterSettings registers the settings of cfg. If cfg.AdminListen is set
// beforehand, it is the default of -admin-listen, so that several daemons on one
// host can have different defaults.
func RegisterSettings(s *setting.Set, cfg *Config) {
	cfg.Daemon = s.Daemon()
	adminListen := cfg.AdminListen
	if adminListen == "" {
		adminListen = defaultAdminListen
	}
	s.String(&cfg.LogLevel, "log-level", "info", "least severe log line that is written",
		setting.OneOf("debug", "info", "warn", "error"))
	s.String(&cfg.TraceExporter, "trace-exporter", ExporterOff, "where spans are sent",
		setting.OneOf(ExporterOff, ExporterStdout, ExporterFile, ExporterOTLP))
	s.String(&cfg.TraceEndpoint, "trace-endpoint", "", "URL of the OTLP/HTTP collector (path /v1/traces if it has none), or path of the file, that spans are sent to")
	s.Float(&cfg.TraceRatio, "trace-ratio", 1, "share of new traces that are recorded",
		setting.Min(0.0), setting.Max(1.0))
	s.String(&cfg.AdminListen, "admin-listen", adminListen, "address of /metrics, /healthz and /readyz", setting.HostPort)
	s.Check(cfg.check)
}

// check returns an error if the trace settings contradict each other.
func (cfg *Config) check() error {
	needsEndpoint := cfg.TraceExporter == ExporterFile || cfg.TraceExporter == ExporterOTLP
	switch {
	case needsEndpoint && cfg.TraceEndpoint == "":
		return fault.Newf(fault.Invalid, "set -trace-endpoint, or -trace-exporter=off",
			"-trace-exporter=%s has no -trace-endpoint", cfg.TraceExporter)
	case !needsEndpoint && cfg.TraceEndpoint != "":
		return fault.Newf(fault.Invalid, "set -trace-exporter to file or otlp, or remove -trace-endpoint",
			"-trace-endpoint contradicts -trace-exporter=%s", cfg.TraceExporter)
	case cfg.TraceExporter == ExporterOTLP && !setting.IsURL(cfg.TraceEndpoint):
		return fault.New(fault.Invalid, "-trace-endpoint is not a URL",
			"write the http:// or https:// URL of the collector, such as http://127.0.0.1:4318")
	}
	return nil
}
