package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// summarySpan is the time that one row of a summary stands for.
	summarySpan = 10 * time.Second
	// summaryCauses bounds the causes that a summary lists.
	summaryCauses = 20
)

// The messages of the lines that a summary counts.
const (
	messageEnded      = "ended a request"
	messageRefused    = "refused a request"
	messageAgain      = "trying again"
	messageEndedUnder = "an endpoint ended under a request"
)

// summarise prints what became of the requests that the logs tell of: by time and pool, by cause,
// and which of them endpoints have ended under.
func (s *session) summarise(context.Context) error {
	lines, err := readLogs(strings.Split(s.settings.File, ","), s.stdin)
	if err != nil {
		return err
	}
	told := summaryOf(lines)
	if len(told.rows) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all entries", "none of %d lines tells the end of a request", len(lines))
	}
	told.write(s.stdout)
	return nil
}

// daySummary is what the logs of a time come to.
type daySummary struct {
	rows   map[summaryKey]map[string]int
	causes map[string]*causeCount
	// ended are the endpoints that ended under each request, by its fingerprint.
	ended map[string]map[string]bool
}

// summaryKey names one row.
type summaryKey struct {
	at   time.Time
	pool string
}

// causeCount is how often something happened, and when first and last.
type causeCount struct {
	count       int
	first, last time.Time
}

func summaryOf(lines []logLine) *daySummary {
	told := &daySummary{rows: map[summaryKey]map[string]int{}, causes: map[string]*causeCount{}, ended: map[string]map[string]bool{}}
	for i := range lines {
		told.take(&lines[i])
	}
	return told
}

// take counts one line.
func (d *daySummary) take(line *logLine) {
	switch line.message {
	case messageEnded:
		outcome := line.text("outcome")
		d.row(line, outcome)
		if outcome != "answered" {
			d.cause(line, outcome)
		}
	case messageRefused:
		d.row(line, "refused at once")
		d.cause(line, "refused at once")
	case messageAgain:
		d.cause(line, messageAgain)
	case messageEndedUnder:
		request := line.text("fingerprint")
		if d.ended[request] == nil {
			d.ended[request] = map[string]bool{}
		}
		d.ended[request][line.text("endpoint")] = true
	}
}

// text returns a field of a line, empty if it has none.
func (l *logLine) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

func (d *daySummary) row(line *logLine, outcome string) {
	key := summaryKey{line.at.Truncate(summarySpan), line.text("pool")}
	if d.rows[key] == nil {
		d.rows[key] = map[string]int{}
	}
	d.rows[key][outcome]++
}

// names are words with digits, which differ from request to request.
var names = regexp.MustCompile(`[0-9a-z]*\d+[0-9a-z]*`)

func (d *daySummary) cause(line *logLine, what string) {
	reason := cmp.Or(line.text("reason"), line.text("message"))
	text := what + ": " + names.ReplaceAllString(reason, "…")
	c := d.causes[text]
	if c == nil {
		c = &causeCount{first: line.at}
		d.causes[text] = c
	}
	c.count++
	c.last = line.at
}

func (d *daySummary) write(w io.Writer) {
	d.writeRows(w)
	d.writeCauses(w)
	d.writeEnded(w)
}

// outcomes are the columns of the rows.
var outcomes = []string{"answered", "not-run", "unknown", "caller left", "refused at once"}

func (d *daySummary) writeRows(w io.Writer) {
	keys := make([]summaryKey, 0, len(d.rows))
	for key := range d.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b summaryKey) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.pool, b.pool))
	})
	rows := newTable(w, append([]string{"FROM", "POOL"}, upperAll(outcomes)...)...)
	for _, key := range keys {
		cells := []string{key.at.Format(time.TimeOnly), cmp.Or(key.pool, "-")}
		for _, outcome := range outcomes {
			cells = append(cells, strconv.Itoa(d.rows[key][outcome]))
		}
		rows.row(cells...)
	}
	rows.end()
}

func upperAll(words []string) []string {
	upper := make([]string, 0, len(words))
	for _, word := range words {
		upper = append(upper, strings.ToUpper(word))
	}
	return upper
}

// writeCauses lists why requests had no answer or were tried again, the most frequent first.
func (d *daySummary) writeCauses(w io.Writer) {
	texts := make([]string, 0, len(d.causes))
	for text := range d.causes {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.causes[b].count, d.causes[a].count), cmp.Compare(a, b))
	})
	fmt.Fprintln(w)
	causes := newTable(w, "TIMES", "FIRST", "LAST", "CAUSE")
	for _, text := range texts[:min(len(texts), summaryCauses)] {
		c := d.causes[text]
		causes.row(strconv.Itoa(c.count), c.first.Format(time.TimeOnly), c.last.Format(time.TimeOnly), text)
	}
	causes.end()
	if more := len(texts) - summaryCauses; more > 0 {
		fmt.Fprintf(w, "and %d causes that are rarer\n", more)
	}
}

// writeEnded lists the requests under which more than one endpoint has ended.
func (d *daySummary) writeEnded(w io.Writer) {
	var requests []string
	for request, endpoints := range d.ended {
		if len(endpoints) > 1 {
			requests = append(requests, request)
		}
	}
	if len(requests) == 0 {
		return
	}
	slices.SortFunc(requests, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(d.ended[b]), len(d.ended[a])), cmp.Compare(a, b))
	})
	fmt.Fprintln(w)
	ended := newTable(w, "ENDPOINTS ENDED", "UNDER THE REQUEST")
	for _, request := range requests {
		ended.row(strconv.Itoa(len(d.ended[request])), request)
	}
	ended.end()
}
