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
	// maxLogLine bounds a line of a log, in bytes; a longer one is passed over.
	maxLogLine = 1 << 20
	// storyContext is how long before and after a request other lines of its
	// processes are shown that changed what they believed.
	storyContext = time.Second
)

// logLine is one line of a daemon's log.
type logLine struct {
	at           time.Time
	daemon, host string
	message      string
	level        string
	fields       map[string]any
}

// believed are the messages that say what a process came to believe: the ground on
// which it decided about a request.
var believed = map[string]bool{
	"starting": true, "ended": true, "reloaded the settings": true, "limited the calls of a pool": true,
	"stopping after the requests in flight": true, "stopped": true, "left a source of configuration": true,
	"learnt the control replicas": true, "leading": true, "no longer leading": true, "published a site": true, "switching an expert map": true,
}

// story prints what the logs say of one request, in order over the processes, and
// what these processes came to believe around it.
func (s *session) story(context.Context) error {
	lines, err := readLogs(strings.Split(s.settings.File, ","), s.stdin)
	if err != nil {
		return err
	}
	told := storyOf(lines, s.settings.Intent)
	if len(told) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all entries, from before the request to after it", "no line of %d names the request %q", len(lines), s.settings.Intent)
	}
	writeStory(s.stdout, told, s.settings.Intent)
	return nil
}

// readLogs reads the lines of several logs; "-" is the standard input. What is not
// a line of a daemon's log is passed over.
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
			return nil, fault.Newf(fault.Invalid, "cut the log at lines", "cannot read on in the log %s", path).WithCause(err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// parseLogLine reads a line; what a collector has put before its JSON is dropped.
func parseLogLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return logLine{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := logLine{fields: fields}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return logLine{}, false
	}
	line.at, line.daemon, line.host, line.message, line.level = at, take("daemon"), take("host"), take("msg"), take("level")
	return line, true
}

// storyOf returns the lines about a request, and what its processes came to believe
// around it.
func storyOf(lines []logLine, id string) []logLine {
	hosts := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if line.fields["request_id"] != id {
			continue
		}
		hosts[line.host] = true
		if first.IsZero() {
			first = line.at
		}
		last = line.at
	}
	if len(hosts) == 0 {
		return nil
	}
	if took, ok := tookOf(lines, id); ok {
		first = last.Add(-took)
	}
	var told []logLine
	for _, line := range lines {
		near := !line.at.Before(first.Add(-storyContext)) && !line.at.After(last.Add(storyContext))
		about := line.fields["request_id"] == id
		if about || near && believed[line.message] && (hosts[line.host] || line.daemon == "lilackeel-control") {
			told = append(told, line)
		}
	}
	return told
}

// tookOf returns how long the request took, as its last line says.
func tookOf(lines []logLine, id string) (time.Duration, bool) {
	for _, line := range slices.Backward(lines) {
		if took, ok := line.fields["took"].(float64); ok && line.fields["request_id"] == id {
			return time.Duration(took), true
		}
	}
	return 0, false
}

// durations are the fields that hold nanoseconds.
var durations = map[string]bool{
	"took": true, "left": true, "placed": true, "first": true, "longest_pause": true, "retry_after": true, "delay": true,
}

func writeStory(w io.Writer, told []logLine, id string) {
	for _, line := range told {
		mark := " "
		if line.fields["request_id"] == id {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s %s %s: %s%s\n", mark, line.at.Format("15:04:05.000000"), line.daemon, line.host, line.message, loggedFields(line.fields))
	}
}

// loggedFields writes the fields of a line in the order of their names.
func loggedFields(fields map[string]any) string {
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
		if number, ok := value.(float64); ok && durations[name] {
			value = time.Duration(number).Round(10 * time.Microsecond)
		}
		if value == "" || value == nil {
			continue
		}
		fmt.Fprintf(&text, " %s=%v", name, value)
	}
	return text.String()
}
