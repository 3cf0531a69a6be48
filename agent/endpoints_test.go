package agent

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/setting"
)

const goodEndpoints = `endpoints:
- {id: engine-1, pool: lilackeel-pool, kind: engine, url: "http://127.0.0.1:8001", model: draft, slots: 16, group: g, rank: 3}
- {id: roster-1, pool: roster-api, kind: service, url: "http://127.0.0.1:8002", slots: 4}
`

// Guards against a validation that stops at the first error of the endpoints file, or that accepts
// unknown or duplicate fields.
func TestEndpointsFileReportsEveryFault(t *testing.T) {
	is := is.New(t)
	endpoints, err := DecodeEndpoints([]byte(goodEndpoints))
	is.NoErr(err)
	is.Equal(len(endpoints), 2)
	bad := strings.NewReplacer("engine-1", "roster-1", "kind: service", "kind: servant", "slots: 16", "slots: 0", "draft", `""`).Replace(goodEndpoints)
	_, err = DecodeEndpoints([]byte(bad))
	for _, part := range []string{"used twice", "kind is unknown", "slots is out of range", "model is missing"} {
		is.True(strings.Contains(err.Error(), part)) // all errors at once
	}
	for _, broken := range []string{"endpoints: []", "endpoint: []", "endpoints: [{id: a, id: b}]", "endpoints: [{colour: red}]", "\t"} {
		_, err = DecodeEndpoints([]byte(broken))
		is.True(fault.Is(err, fault.Invalid))
	}
}

// Guards against a validation that stops at the first invalid setting.
func TestSettingsReportEveryFault(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "endpoints.yaml")
	is.NoErr(os.WriteFile(path, []byte(goodEndpoints), 0o600))
	parse := func(args ...string) (Settings, error) {
		var s Settings
		set := setting.New("lilackeel-agent")
		s.Register(set)
		_, err := set.Parse(args, nil)
		return s, err
	}
	_, err := parse("-listen=0.0.0.0:7400", "-insecure", "-freshness=0s", "-endpoints="+path+".absent")
	for _, part := range []string{"-name", "-zone", "-control", "-advertise", "-freshness", "endpoints file"} {
		is.True(strings.Contains(err.Error(), part)) // all errors at once
	}
	good, err := parse("-name=a", "-zone=z", "-control=127.0.0.1:1,127.0.0.1:2", "-answer-memory=1MiB", "-endpoints="+path)
	is.NoErr(err)
	is.Equal(good.Feed, good.Control)
	is.Equal(good.Host, "a")
	is.Equal(good.Limits.AnswerBytes, 1<<20)
	is.Equal(len(good.Endpoints), 2)
}

// FuzzDecodeEndpoints checks that decoding neither panics nor accepts an endpoint that the rest of the
// agent cannot use, whatever the file contains.
func FuzzDecodeEndpoints(f *testing.F) {
	f.Add([]byte(goodEndpoints))
	f.Add([]byte("endpoints:\n- id: a\n  id: b\n"))
	f.Add([]byte("endpoints: &a [*a]"))
	f.Add([]byte(`{"endpoints":[{"id":"A","slots":1e9,"rank":-1,"url":"http://x?y"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		endpoints, err := DecodeEndpoints(data)
		var typed *fault.Error
		if err != nil {
			if !errors.As(err, &typed) || typed.Remedy == "" {
				t.Fatalf("error without a remedy: %v", err)
			}
			return
		}
		seen := map[string]bool{}
		for _, e := range endpoints {
			if seen[e.ID] || e.ID == "" || e.Slots < 1 || e.Rank < 0 || (e.Kind != KindEngine && e.Kind != KindService) {
				t.Fatalf("accepted %+v", e)
			}
			if target, err := targetURL(e.URL, "/x"); err != nil || !strings.HasPrefix(target, "http") {
				t.Fatalf("accepted URL %q: %v", e.URL, err)
			}
			seen[e.ID] = true
		}
	})
}
