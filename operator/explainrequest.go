package operator

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// maxLogLine is the maximum length of a log line, in bytes; reading a log with a
	// longer one fails.
	maxLogLine = 1 << 20
	// contextWindow is the time before and after a request for which the context
	// messages of the processes involved are shown.
	contextWindow = time.Second
)

// logLine is one line of a daemon's log.
type logLine struct {
	time         time.Time
	daemon, host string
	message      string
	level        string
	fields       map[string]any
}

// contextMessages are the messages about changes of a process's state, such as its
// configuration, on which its decisions about requests are based.
var contextMessages = map[string]bool{
	"starting": true, "ended": true, "reloaded the settings": true, "limited the calls of a pool": true,
	"stopping after the requests in flight": true, "stopped": true, "left a source of configuration": true,
	"learnt the control replicas": true, "leading": true, "no longer leading": true, "published a site": true, "switching an expert map": true,
}

// explainRequest prints the log lines about one request, from all processes in order
// of time, and the context messages of these processes around it.
func (s *session) explainRequest(context.Context) error {
	lines, err := readLogs(strings.Split(s.settings.File, ","), s.stdin)
	if err != nil {
		return err
	}
	selected := selectLines(lines, s.settings.Intent)
	if len(selected) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all entries, from before the request to after it", "none of %d log lines has the request id %q", len(lines), s.settings.Intent)
	}
	writeLines(s.stdout, selected, s.settings.Intent)
	return nil
}

// readLogs reads several logs and sorts their lines by time; "-" is standard input.
// Lines that are not from a daemon's log are skipped.
func readLogs(paths []string, stdin io.Reader) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		source := stdin
		if path != standardInput {
			file, err := os.Open(path)
			if err != nil {
				return nil, fault.Newf(fault.Invalid, "name readable files, separated by commas", "cannot read the log %s", path).WithCause(err)
			}
			defer func() { _ = file.Close() }()
			source = file
		}
		scanner := bufio.NewScanner(source)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			if line, ok := parseLogLine(scanner.Bytes()); ok {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fault.Newf(fault.Invalid, "split the log at line breaks", "cannot read all of the log %s", path).WithCause(err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines, nil
}

// parseLogLine parses a log line. A prefix before its JSON, such as a log collector
// adds, is dropped.
func parseLogLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return logLine{}, false
	}
	popString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := logLine{fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, popString("time"))
	if err != nil {
		return logLine{}, false
	}
	line.time, line.daemon, line.host, line.message, line.level = timestamp, popString("daemon"), popString("host"), popString("msg"), popString("level")
	return line, true
}

// selectLines returns the lines about a request, and the context messages around it
// from the hosts involved and the control replicas.
func selectLines(lines []logLine, id string) []logLine {
	hosts := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if line.fields["request_id"] != id {
			continue
		}
		hosts[line.host] = true
		if first.IsZero() {
			first = line.time
		}
		last = line.time
	}
	if len(hosts) == 0 {
		return nil
	}
	if took, ok := requestDuration(lines, id); ok {
		first = last.Add(-took)
	}
	var selected []logLine
	for _, line := range lines {
		inWindow := !line.time.Before(first.Add(-contextWindow)) && !line.time.After(last.Add(contextWindow))
		matches := line.fields["request_id"] == id
		if matches || inWindow && contextMessages[line.message] && (hosts[line.host] || line.daemon == "lilackeel-control") {
			selected = append(selected, line)
		}
	}
	return selected
}

// requestDuration returns the duration of a request from the field took of its last
// line that has one.
func requestDuration(lines []logLine, id string) (time.Duration, bool) {
	for _, line := range slices.Backward(lines) {
		if took, ok := line.fields["took"].(float64); ok && line.fields["request_id"] == id {
			return time.Duration(took), true
		}
	}
	return 0, false
}

// durationFields are the fields whose values are durations in nanoseconds.
var durationFields = map[string]bool{
	"took": true, "left": true, "placed": true, "first": true, "longest_pause": true, "retry_after": true, "delay": true,
}

func writeLines(w io.Writer, selected []logLine, id string) {
	for _, line := range selected {
		marker := " "
		if line.fields["request_id"] == id {
			marker = "*"
		}
		fmt.Fprintf(w, "%s %s %s %s: %s%s\n", marker, line.time.Format("15:04:05.000000"), line.daemon, line.host, line.message, formatFields(line.fields))
	}
}

// formatFields formats the fields of a line, sorted by name. Empty fields are omitted.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "request_id" && name != "settings" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	var text strings.Builder
	for _, name := range names {
		value := fields[name]
		if number, ok := value.(float64); ok && durationFields[name] {
			value = time.Duration(number).Round(10 * time.Microsecond)
		}
		if value == "" || value == nil {
			continue
		}
		fmt.Fprintf(&text, " %s=%v", name, value)
	}
	return text.String()
}
