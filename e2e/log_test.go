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

// commonFields are those that lines of any event may have: of all lines, of lines
// written in a request, and of lines of a library.
var commonFields = []string{"time", "level", "msg", "daemon", "host", "request_id", "workspace", "endpoint", "attempt", "trace_id", "replica", "term", "library", "left_out"}

// listedEvents are the events of docs/LOGS.md.
var listedEvents = sync.OnceValues(func() (map[string]logspage.PageEntry, error) {
	text, err := os.ReadFile("../docs/LOGS.md")
	return logspage.ParsePage(string(text)), err
})

// checkLog fails the test if a daemon has written a line that is not as
// docs/LOGS.md says. The last line may be cut: the daemon may have been killed.
func (p *process) checkLog(t *testing.T) {
	if !strings.HasPrefix(p.args[0], "lilackeel-") {
		return
	}
	events, err := listedEvents()
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
		if fault := faultOf(line, events); fault != "" {
			t.Errorf("%s logs a line that is not as documented: %s: %s", p.name, fault, line)
		}
	}
}

// faultOf says what is wrong with a line, nothing if it is as documented.
func faultOf(line []byte, events map[string]logspage.PageEntry) string {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return err.Error()
	}
	written, _ := fields["time"].(string)
	if _, err := time.Parse(time.RFC3339Nano, written); err != nil {
		return err.Error()
	}
	if fields["daemon"] == nil || fields["host"] == nil {
		return "no daemon or host"
	}
	if fields["library"] != nil {
		return ""
	}
	message, _ := fields["msg"].(string)
	event, listed := events[message]
	level, _ := fields["level"].(string)
	switch {
	case !listed:
		return "the event is not listed"
	case !slices.Contains(event.Levels, level):
		return "another level"
	}
	for name := range fields {
		if !slices.Contains(commonFields, name) && !slices.Contains(event.Fields, name) {
			return "the field " + name + " is not listed"
		}
	}
	return ""
}
