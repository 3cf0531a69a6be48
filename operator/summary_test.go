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

// endpointEndedLog holds lines of two entries about endpoints that ended during a request.
const endpointEndedLog = `{"time":"2026-09-24T18:45:51.000000000Z","level":"INFO","msg":"an endpoint ended under a request","daemon":"lilackeel-entry","host":"front-a","fingerprint":"f00d","endpoint":"e1","ends":1}
{"time":"2026-09-24T18:45:52.000000000Z","level":"INFO","msg":"an endpoint ended under a request","daemon":"lilackeel-entry","host":"front-a","fingerprint":"beef","endpoint":"e1","ends":1}
{"time":"2026-09-24T18:45:53.000000000Z","level":"INFO","msg":"an endpoint ended under a request","daemon":"lilackeel-entry","host":"front-b","fingerprint":"f00d","endpoint":"e2","ends":2}
{"time":"2026-09-24T18:45:54.000000000Z","level":"INFO","msg":"an endpoint ended under a request","daemon":"lilackeel-entry","host":"front-b","fingerprint":"aaaa","endpoint":"e3","ends":1,"prompt_parts":["shared","crash","own1"]}
{"time":"2026-09-24T18:45:55.000000000Z","level":"INFO","msg":"an endpoint ended under a request","daemon":"lilackeel-entry","host":"front-a","fingerprint":"bbbb","endpoint":"e4","ends":1,"prompt_parts":["crash","own2"]}
`

// levelLog holds lines about requests of several levels in one pool, and of one level in another.
const levelLog = `{"time":"2026-09-24T18:46:10.000000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-a","pool":"mixed","priority_level":12,"outcome":"not-run"}
{"time":"2026-09-24T18:46:11.000000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-a","pool":"mixed","priority_level":0,"outcome":"answered"}
{"time":"2026-09-24T18:46:12.000000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-a","pool":"mixed","priority_level":12,"outcome":"answered"}
{"time":"2026-09-24T18:46:13.000000000Z","level":"INFO","msg":"ended a request","daemon":"lilackeel-entry","host":"front-a","pool":"uniform","priority_level":7,"outcome":"answered"}
`

func runSummary(t *testing.T, text string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	var out, stderr bytes.Buffer
	code := Run(context.Background(), []string{"summary", path}, nil, nil, &out, &stderr)
	return out.String() + stderr.String(), code
}

func TestSummary(t *testing.T) {
	is := is.New(t)
	text, code := runSummary(t, recordedLog+endpointEndedLog+levelLog)
	is.Equal(code, ExitOK)
	lines := strings.Split(text, "\n")
	has := func(parts ...string) bool {
		for _, line := range lines {
			if strings.Join(strings.Fields(line), " ") == strings.Join(parts, " ") {
				return true
			}
		}
		return false
	}
	is.True(has("18:45:40", "p", "0", "1", "0", "0", "0"))                                                    // by time and pool
	is.True(has("1", "18:45:44", "18:45:44", "not-run: overloaded: not run: workspace w would wait about …")) // by cause
	is.True(has("1", "18:45:50", "18:45:50", "trying again: unknown: the endpoint's answer was cut"))         // by cause of retries
	is.True(has("mixed", "0", "1", "0", "0", "0"))                                                            // by level
	is.True(has("mixed", "12", "1", "1", "0", "0"))
	is.True(!has("uniform", "7", "1", "0", "0", "0"))
	is.True(has("2", "f00d"))                // two endpoints ended during it
	is.True(has("2", "crash"))               // two endpoints ended during requests with this part
	is.True(!strings.Contains(text, "own1")) // one during those with these
	is.True(!strings.Contains(text, "beef")) // only one endpoint ended during it
}

func TestSummaryOfLogsWithoutRequests(t *testing.T) {
	is := is.New(t)
	text, code := runSummary(t, "nothing\n")
	is.True(code != ExitOK)
	is.True(strings.Contains(text, "name the logs of all entries"))
}
