package setting

import (
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"strings"
)

// Main parses the settings and performs every action except Run: it prints the
// version, the help, the result of -check or the errors. If done is true, the
// program must exit with code; otherwise it starts.
func (s *Set) Main(args, environ []string, stdout, stderr io.Writer) (code int, done bool) {
	action, err := s.Parse(args, environ)
	switch action {
	case PrintHelp:
		s.Usage(stdout)
		return exitOK, true
	case PrintVersion:
		fmt.Fprintln(stdout, s.daemon, Version())
		return exitOK, true
	}
	for _, warning := range s.warnings {
		fmt.Fprintf(stderr, "%s: warning: %s\n", s.daemon, warning)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", s.daemon, err)
		return exitUsage, true
	}
	if action == CheckOnly {
		fmt.Fprintf(stdout, "%s: the settings are valid\n", s.daemon)
		return exitOK, true
	}
	return exitOK, false
}

// Exit codes of Main.
const (
	exitOK    = 0
	exitUsage = 2
)

// Usage prints every setting with its environment variable, constraints and default.
func (s *Set) Usage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s [flags]\n\nEach flag can be set by its environment variable; the flag takes precedence.\n\n", s.daemon)
	for _, entry := range s.settings {
		fmt.Fprintf(w, "  -%s (%s)\n", entry.name, entry.environmentName())
		fmt.Fprintf(w, "        %s [%s]\n", entry.description, entry.properties())
	}
	fmt.Fprint(w, "  -check\n        validate the settings and exit\n")
	fmt.Fprint(w, "  -version\n        print the version and exit\n")
}

// Markdown returns a table of all settings for the reference documentation.
func (s *Set) Markdown() string {
	var table strings.Builder
	table.WriteString("| Flag | Environment variable | Type | Default | Limits | Meaning |\n")
	table.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, entry := range s.settings {
		fmt.Fprintf(&table, "| `-%s` | `%s` | %s | %s | %s | %s |\n",
			entry.name, entry.environmentName(), entry.kind,
			code(entry.printable(entry.defaultText)),
			escape(entry.constraints()), escape(entry.description))
	}
	return table.String()
}

// LogValue implements slog.LogValuer. It lists the settings that were set explicitly,
// with secrets redacted, so that a daemon can log its settings at startup.
func (s *Set) LogValue() slog.Value {
	var attrs []slog.Attr
	for _, entry := range s.settings {
		if entry.source != fromDefault {
			attrs = append(attrs, slog.String(entry.name, entry.printable(entry.text)))
		}
	}
	return slog.GroupValue(attrs...)
}

// Version returns the module version, the VCS revision and the Go version that the
// program was built with.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, each := range info.Settings {
		if each.Key == "vcs.revision" {
			version += " " + each.Value
		}
	}
	return version + " " + info.GoVersion
}

// properties joins the type, the constraints and the default for the help.
func (e *setting) properties() string {
	parts := []string{string(e.kind)}
	if constraints := e.constraints(); constraints != "" {
		parts = append(parts, constraints)
	}
	if e.defaultText != "" {
		parts = append(parts, "default "+e.printable(e.defaultText))
	}
	return strings.Join(parts, "; ")
}

func (e *setting) constraints() string {
	constraints := make([]string, len(e.rules))
	for i, rule := range e.rules {
		constraints[i] = rule.constraint
	}
	return strings.Join(constraints, "; ")
}

// maxEdits is the maximum edit distance between a misspelt name and its suggestion.
const maxEdits = 2

// closestName returns the name of the setting closest to a misspelt one; it is empty
// if none is within maxEdits.
func (s *Set) closestName(name string) string {
	closest, closestEdits := "", maxEdits+1
	for _, entry := range s.settings {
		if edits := editDistance(name, entry.name); edits < closestEdits {
			closest, closestEdits = entry.name, edits
		}
	}
	return closest
}

// editDistance returns the Levenshtein distance of two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func escape(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
