// Command lilackeel-agent runs in front of the endpoints of one host: it announces them, admits
// calls and orders to them, and reports their load.
package main

import (
	"log/slog"
	"os"

	"github.com/lilackeel/lilackeel/agent"
	"github.com/lilackeel/lilackeel/daemon"
)

func main() {
	var settings agent.Settings
	os.Exit(daemon.Main(daemon.Program{
		Name:      "lilackeel-agent",
		Register:  settings.Register,
		Telemetry: &settings.Telemetry,
		New:       func(logger *slog.Logger) (daemon.Daemon, error) { return agent.New(&settings, logger) },
	}))
}
