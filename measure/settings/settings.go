// Package settings writes the page of all settings from the code that registers
// them, so that the page cannot drift.
package settings

import (
	"fmt"
	"io"

	"github.com/lilackeel/lilackeel/agent"
	"github.com/lilackeel/lilackeel/control"
	"github.com/lilackeel/lilackeel/entry"
	"github.com/lilackeel/lilackeel/operator"
	"github.com/lilackeel/lilackeel/rankhost"
	"github.com/lilackeel/lilackeel/setting"
)

const head = `# Settings

Made by ` + "`go run ./cmd/lilackeel-measure settings > docs/SETTINGS.md`" + `; do not edit.

Every setting is a flag, an environment variable, or a line of the file named by ` + "`-settings`" + `;
the flag wins, then the variable. ` + "`-check`" + ` checks the settings and exits,
` + "`-version`" + ` prints the version. A wrong, missing or contradictory value stops the start with every fault listed.
`

// program is one program and the registration of its settings.
type program struct {
	name     string
	register func(*setting.Set)
}

var programs = []program{
	{"lilackeel-entry", func(s *setting.Set) { entry.Settings(s, &entry.Config{}) }},
	{"lilackeel-agent", func(s *setting.Set) { (&agent.Settings{}).Register(s) }},
	{"lilackeel-control", func(s *setting.Set) { (&control.Settings{}).Register(s) }},
	{"lilackeel-platform rank", func(s *setting.Set) { (&rankhost.Settings{}).Register(s) }},
	{"lilackeelctl", func(s *setting.Set) { (&operator.Settings{}).Register(s) }},
}

// Write prints the page.
func Write(w io.Writer) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, p := range programs {
		set := setting.New(p.name)
		p.register(set)
		if _, err := fmt.Fprintf(w, "\n## %s\n\n%s", p.name, set.Markdown()); err != nil {
			return err
		}
	}
	return nil
}
