package operator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recordedLog holds abridged log lines of two entries and a control replica: about a
// request that was refused, one whose answer was truncated and that was retried, and
// one that was handled with the configuration before a change.
const recordedLog = `-1.2 front-a {"time":"2026-09-24T18:45:44.100000000Z","level":"INFO","msg":"limited the calls of a pool","daemon":"lilackeel-entry","host":"front-a","pool":"p","limit":58.2,"running":61.5,"slots":192}
front-a {"time":"2026-09-24T18:45:44.300000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-a","request_id":"refused1","route":"r","version":3,"workspace":"w","pool":"p","endpoint":"","attempts":0,"outcome":"not-run","status":503,"placed":0,"took":1200000,"left":7998800000,"reason":"overloaded: not run: workspace w would wait about 396ms"}
{"time":"2026-09-24T18:45:50.000000000Z","level":"INFO","msg":"published a site","daemon":"lilackeel-control","host":"control-1","version":4,"revision":70}
{"time":"2026-09-24T18:45:50.100000000Z","level":"INFO","msg":"trying again","daemon":"lilackeel-entry","host":"front-b","request_id":"cut1","endpoint":"e1","attempts":1,"delay":3000000,"reason":"unknown: the endpoint's answer was cut"}
{"time":"2026-09-24T18:45:50.200000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-b","request_id":"old1","route":"r","version":3,"status":404,"reason":"no route leads to it","took":400000}
{"time":"2026-09-24T18:45:51.900000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-b","request_id":"cut1","endpoint":"e2","attempts":2,"outcome":"answered","took":1900000000}
not a line of a log
{"time":"2026-09-24T18:46:30.000000000Z","level":"INFO","msg":"published a site","daemon":"lilackeel-control","host":"control-1","version":5}
`

func explainRequest(t *testing.T, id string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	is.New(t).NoErr(os.WriteFile(path, []byte(recordedLog), 0o600))
	var out, stderr bytes.Buffer
	code := Run(context.Background(), []string{"explain-request", id, path}, nil, nil, &out, &stderr)
	return out.String() + stderr.String(), code
}

func TestExplainRequest(t *testing.T) {
	for id, expected := range map[string][]string{
		"refused1": {"limited the calls of a pool limit=58.2", "reason=overloaded: not run: workspace w would wait about 396ms", "took=1.2ms"},
		"cut1":     {"* 18:45:50.100000 lilackeel-entry front-b: trying again", "endpoint=e1", "endpoint=e2", "took=1.9s"},
		"old1":     {"  18:45:50.000000 lilackeel-control control-1: published a site revision=70 version=4", "version=3"},
	} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			text, code := explainRequest(t, id)
			is.Equal(code, ExitOK)
			for _, part := range expected {
				is.True(strings.Contains(text, part)) // must be shown
			}
			is.True(!strings.Contains(text, "version=5")) // outside the context window
		})
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	is := is.New(t)
	text, code := explainRequest(t, "nobody")
	is.True(code != ExitOK)
	is.True(strings.Contains(text, "name the logs of all entries"))
}
