// Command lilackeel-entry terminates callers' HTTP connections and routes each request to an
// endpoint. Run it with -help for its settings.
package main

import (
	"log/slog"
	"os"

	"github.com/lilackeel/lilackeel/daemon"
	"github.com/lilackeel/lilackeel/entry"
	"github.com/lilackeel/lilackeel/setting"
)

func main() {
	var config entry.Config
	os.Exit(daemon.Main(daemon.Program{
		Name:      "lilackeel-entry",
		Register:  func(set *setting.Set) { entry.Settings(set, &config) },
		Telemetry: &config.Telemetry,
		New:       func(logger *slog.Logger) (daemon.Daemon, error) { return entry.New(config, logger) },
	}))
}
