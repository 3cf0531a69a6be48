// Command lilackeel-control runs a control replica: it keeps the replicated log of accepted
// configuration changes and distributes them to the fleet.
package main

import (
	"log/slog"
	"os"

	"github.com/lilackeel/lilackeel/control"
	"github.com/lilackeel/lilackeel/daemon"
)

func main() {
	var settings control.Settings
	os.Exit(daemon.Main(daemon.Program{
		Name:      "lilackeel-control",
		Register:  settings.Register,
		Telemetry: &settings.Telemetry,
		Recover:   settings.Recover,
		New:       func(logger *slog.Logger) (daemon.Daemon, error) { return control.New(&settings, logger) },
	}))
}
