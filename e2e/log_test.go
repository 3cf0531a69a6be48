package e2e

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/measure/logspage"
)

// commonFields are the fields that any line may have: those of all lines, those of lines logged
// during a request, and those of lines logged by libraries.
var commonFields = []string{"time", "level", "msg", "daemon", "host", "request_id", "workspace", "endpoint", "attempt", "trace_id", "replica", "term", "library", "left_out"}

// documentedEvents returns the events listed in docs/LOGS.md.
var documentedEvents = sync.OnceValues(func() (map[string]logspage.PageEntry, error) {
	text, err := os.ReadFile("../docs/LOGS.md")
	return logspage.ParsePage(string(text)), err
})

// checkLog fails the test if a daemon has logged a line that does not match docs/LOGS.md. The
// last line is not checked: it may be truncated if the daemon was killed.
func (p *process) checkLog(t *testing.T) {
	if !strings.HasPrefix(p.args[0], "lilackeel-") {
		return
	}
	events, err := documentedEvents()
	if err != nil {
		t.Error(err)
		return
	}
	data, err := os.ReadFile(p.log)
	if err != nil {
		t.Error(err)
		return
	}
	lines := bytes.Split(data, []byte("\n"))
	for _, line := range lines[:len(lines)-1] {
		if problem := logLineError(line, events); problem != "" {
			t.Errorf("%s logged a line that does not match docs/LOGS.md: %s: %s", p.name, problem, line)
		}
	}
}

// logLineError returns how a line differs from the documentation, or an empty string if it
// matches.
func logLineError(line []byte, events map[string]logspage.PageEntry) string {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return err.Error()
	}
	timestamp, _ := fields["time"].(string)
	if _, err := time.Parse(time.RFC3339Nano, timestamp); err != nil {
		return err.Error()
	}
	if fields["daemon"] == nil || fields["host"] == nil {
		return "the daemon or host field is missing"
	}
	if fields["library"] != nil {
		return ""
	}
	message, _ := fields["msg"].(string)
	event, listed := events[message]
	level, _ := fields["level"].(string)
	switch {
	case !listed:
		return "the event is not documented"
	case !slices.Contains(event.Levels, level):
		return "the level is not documented"
	}
	for name := range fields {
		if !slices.Contains(commonFields, name) && !slices.Contains(event.Fields, name) {
			return "the field " + name + " is not documented"
		}
	}
	return ""
}
