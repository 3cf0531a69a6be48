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
	// summaryInterval is the time that one row of a summary covers.
	summaryInterval = 10 * time.Second
	// maxSummaryCauses is the maximum number of causes that a summary lists.
	maxSummaryCauses = 20
)

// Messages of the log lines that a summary counts.
const (
	messageRequestEnded   = "ended a request"
	messageRequestRefused = "refused a request"
	messageRetry          = "trying again"
	messageEndpointEnded  = "an endpoint ended under a request"
)

// summarizeLogs prints the outcomes of the requests in the logs by time and pool, the
// causes of failures and retries, and the requests during which several endpoint
// processes ended.
func (s *session) summarizeLogs(context.Context) error {
	lines, err := readLogs(strings.Split(s.settings.File, ","), s.stdin)
	if err != nil {
		return err
	}
	summary := newLogSummary(lines)
	if len(summary.outcomeCounts) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all entries", "none of %d log lines records the end of a request", len(lines))
	}
	summary.write(s.stdout)
	return nil
}

// logSummary counts the outcomes of requests and their causes.
type logSummary struct {
	outcomeCounts map[summaryKey]map[string]int
	// levelCounts counts outcomes by pool and level; only pools with requests of different levels are
	// printed.
	levelCounts map[levelKey]map[string]int
	causes      map[string]*causeCount
	// endedByRequest and endedByPart hold the endpoints whose processes ended during requests, by the
	// fingerprint of the request and by the parts of its prompt.
	endedByRequest, endedByPart endedEndpoints
}

// endedEndpoints holds endpoints whose processes ended during a request, by what the requests have in
// common.
type endedEndpoints map[string]map[string]bool

func (e endedEndpoints) add(common, endpoint string) {
	if e[common] == nil {
		e[common] = map[string]bool{}
	}
	e[common][endpoint] = true
}

// summaryKey identifies a row.
type summaryKey struct {
	start time.Time
	pool  string
}

// levelKey identifies a row of the outcomes by level.
type levelKey struct {
	pool  string
	level int
}

// causeCount is the number of occurrences of a cause, and the times of the first and
// the last.
type causeCount struct {
	count       int
	first, last time.Time
}

func newLogSummary(lines []logLine) *logSummary {
	summary := &logSummary{outcomeCounts: map[summaryKey]map[string]int{}, levelCounts: map[levelKey]map[string]int{}, causes: map[string]*causeCount{}, endedByRequest: endedEndpoints{}, endedByPart: endedEndpoints{}}
	for i := range lines {
		summary.add(&lines[i])
	}
	return summary
}

// add counts one line.
func (s *logSummary) add(line *logLine) {
	switch line.message {
	case messageRequestEnded:
		outcome := line.stringField("outcome")
		s.countOutcome(line, outcome)
		s.countLevel(line, outcome)
		if outcome != "answered" {
			s.countCause(line, outcome)
		}
	case messageRequestRefused:
		s.countOutcome(line, "refused at once")
		s.countCause(line, "refused at once")
	case messageRetry:
		s.countCause(line, messageRetry)
	case messageEndpointEnded:
		ended := line.stringField("endpoint")
		s.endedByRequest.add(line.stringField("fingerprint"), ended)
		parts, _ := line.fields["prompt_parts"].([]any)
		for _, part := range parts {
			s.endedByPart.add(fmt.Sprint(part), ended)
		}
	}
}

// stringField returns a string field of a line; it is empty if there is none.
func (l *logLine) stringField(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

func (s *logSummary) countOutcome(line *logLine, outcome string) {
	key := summaryKey{line.time.Truncate(summaryInterval), line.stringField("pool")}
	if s.outcomeCounts[key] == nil {
		s.outcomeCounts[key] = map[string]int{}
	}
	s.outcomeCounts[key][outcome]++
}

// countLevel counts the outcome of a request whose line states its level.
func (s *logSummary) countLevel(line *logLine, outcome string) {
	level, ok := line.fields["priority_level"].(float64)
	if !ok {
		return
	}
	key := levelKey{line.stringField("pool"), int(level)}
	if s.levelCounts[key] == nil {
		s.levelCounts[key] = map[string]int{}
	}
	s.levelCounts[key][outcome]++
}

// variableWords matches words with digits, which differ from request to request.
var variableWords = regexp.MustCompile(`[0-9a-z]*\d+[0-9a-z]*`)

func (s *logSummary) countCause(line *logLine, category string) {
	reason := cmp.Or(line.stringField("reason"), line.stringField("message"))
	text := category + ": " + variableWords.ReplaceAllString(reason, "…")
	c := s.causes[text]
	if c == nil {
		c = &causeCount{first: line.time}
		s.causes[text] = c
	}
	c.count++
	c.last = line.time
}

func (s *logSummary) write(w io.Writer) {
	s.writeOutcomes(w)
	s.writeLevels(w)
	s.writeCauses(w)
	s.endedByRequest.write(w, "REQUEST FINGERPRINT")
	s.endedByPart.write(w, "PROMPT PART")
}

// outcomeColumns are the outcomes that the rows have a column for.
var outcomeColumns = []string{"answered", "not-run", "unknown", "caller left", "refused at once"}

func (s *logSummary) writeOutcomes(w io.Writer) {
	keys := make([]summaryKey, 0, len(s.outcomeCounts))
	for key := range s.outcomeCounts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b summaryKey) int {
		return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.pool, b.pool))
	})
	rows := newTable(w, append([]string{"FROM", "POOL"}, upperCaseAll(outcomeColumns)...)...)
	for _, key := range keys {
		cells := []string{key.start.Format(time.TimeOnly), cmp.Or(key.pool, "-")}
		for _, outcome := range outcomeColumns {
			cells = append(cells, strconv.Itoa(s.outcomeCounts[key][outcome]))
		}
		rows.row(cells...)
	}
	rows.flush()
}

// writeLevels prints the outcomes by level of the pools that have had requests of different levels.
func (s *logSummary) writeLevels(w io.Writer) {
	levelsOf := map[string]int{}
	for key := range s.levelCounts {
		levelsOf[key.pool]++
	}
	var keys []levelKey
	for key := range s.levelCounts {
		if levelsOf[key.pool] > 1 {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.SortFunc(keys, func(a, b levelKey) int { return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.level, b.level)) })
	fmt.Fprintln(w)
	columns := outcomeColumns[:len(outcomeColumns)-1] // the level of a request that is refused at once is not known
	rows := newTable(w, append([]string{"POOL", "LEVEL"}, upperCaseAll(columns)...)...)
	for _, key := range keys {
		cells := []string{cmp.Or(key.pool, "-"), strconv.Itoa(key.level)}
		for _, outcome := range columns {
			cells = append(cells, strconv.Itoa(s.levelCounts[key][outcome]))
		}
		rows.row(cells...)
	}
	rows.flush()
}

func upperCaseAll(words []string) []string {
	upper := make([]string, 0, len(words))
	for _, word := range words {
		upper = append(upper, strings.ToUpper(word))
	}
	return upper
}

// writeCauses prints the causes of failed and retried requests, the most frequent
// first.
func (s *logSummary) writeCauses(w io.Writer) {
	texts := make([]string, 0, len(s.causes))
	for text := range s.causes {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.causes[b].count, s.causes[a].count), cmp.Compare(a, b))
	})
	fmt.Fprintln(w)
	causes := newTable(w, "TIMES", "FIRST", "LAST", "CAUSE")
	for _, text := range texts[:min(len(texts), maxSummaryCauses)] {
		c := s.causes[text]
		causes.row(strconv.Itoa(c.count), c.first.Format(time.TimeOnly), c.last.Format(time.TimeOnly), text)
	}
	causes.flush()
	if remaining := len(texts) - maxSummaryCauses; remaining > 0 {
		fmt.Fprintf(w, "and %d less frequent causes\n", remaining)
	}
}

// write prints what the processes of more than one endpoint ended under.
func (e endedEndpoints) write(w io.Writer, title string) {
	var names []string
	for name, endpoints := range e {
		if len(endpoints) > 1 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(e[b]), len(e[a])), cmp.Compare(a, b))
	})
	fmt.Fprintln(w)
	ended := newTable(w, "ENDPOINTS ENDED", title)
	for _, name := range names[:min(len(names), maxSummaryCauses)] {
		ended.row(strconv.Itoa(len(e[name])), name)
	}
	ended.flush()
}
