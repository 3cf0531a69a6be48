package setting

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// sampleSettings has one setting of each kind.
type sampleSettings struct {
	listen, zone, key, cert string
	wait                    time.Duration
	streams                 int
	body                    int64
	ratio                   float64
	trace                   bool
	peers                   []string
}

func newSample() (*Set, *sampleSettings) {
	cfg := &sampleSettings{}
	s := New("lilackeel-sample")
	s.String(&cfg.listen, "listen", "127.0.0.1:8080", "address callers connect to", HostPort)
	s.String(&cfg.zone, "zone", "", "availability zone of this host", Required, Name)
	s.Secret(&cfg.key, "workspace-key", "key of the workspace")
	s.String(&cfg.cert, "tls-cert", "", "certificate file")
	s.Duration(&cfg.wait, "wait", time.Second, "longest wait", Min(10*time.Millisecond))
	s.Int(&cfg.streams, "streams", 16, "streams held", Min(1), Max(100))
	s.Bytes(&cfg.body, "body", 8<<20, "largest body", Min(int64(1<<10)))
	s.Float(&cfg.ratio, "ratio", 0.5, "share of traces kept", Min(0.0), Max(1.0))
	s.Bool(&cfg.trace, "trace", false, "trace requests")
	s.List(&cfg.peers, "peers", nil, "other hosts", HostPort)
	s.Check(func() error {
		if cfg.trace && cfg.cert == "" {
			return fault.New(fault.Invalid, "-trace without -tls-cert", "set both")
		}
		return nil
	})
	return s, cfg
}

func TestParseReportsEveryErrorWithItsRemedy(t *testing.T) {
	is := is.New(t)
	s, _ := newSample()
	_, err := s.Parse(
		[]string{"-lissten", "x:1", "-wait", "5", "stray", "-streams=1000", "-ratio", "NaN", "-trace", "-wait=6s", "-peers", "a:1", "-peers=nowhere", "-body"},
		[]string{"LILACKEEL_LISTEN=8080", "LILACKEEL_WORKSPACE_KEY=@/nonexistent/key"},
	)
	var errs Errors
	is.True(errors.As(err, &errs))
	expected := []string{
		"unknown flag -lissten (did you mean -listen?",
		`unexpected argument "stray"`,
		"flag needs an argument: -body",
		`LILACKEEL_LISTEN has the value "8080"`,
		"-zone is missing (set -zone or LILACKEEL_ZONE",
		"LILACKEEL_WORKSPACE_KEY cannot be read",
		"-wait is given twice",
		`-wait has the malformed value "5" (write a duration`,
		`-streams has the value "1000" (it must be at most 100)`,
		`-ratio has the malformed value "NaN"`,
		`-peers has the value "a:1,nowhere"`,
		"-trace without -tls-cert (set both)",
	}
	for _, part := range expected {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("not reported: %s\n%v", part, err)
		}
	}
	is.Equal(len(errs), len(expected))
	for _, each := range errs {
		is.True(each.Remedy != "") // every error states its remedy
	}
}

func TestFlagOverridesEnvironmentOverridesDefault(t *testing.T) {
	is := is.New(t)
	s, cfg := newSample()
	action, err := s.Parse(
		[]string{"-zone", "sahel-a", "-streams", "20", "-peers", "a:1", "-peers", "b:2,c:3", "-check"},
		[]string{"LILACKEEL_STREAMS=30", "LILACKEEL_BODY=64KiB", "LILACKEEL_WAIT=", "LILACKEEL_TRCE=1", "PATH=/bin"},
	)
	is.NoErr(err)
	is.Equal(action, CheckOnly)
	is.Equal(cfg.streams, 20)         // flag over environment
	is.Equal(cfg.body, int64(64<<10)) // environment over default
	is.Equal(cfg.wait, time.Second)   // an empty variable counts as not set
	is.Equal(cfg.peers, []string{"a:1", "b:2", "c:3"})
	is.Equal(len(s.Warnings()), 1) // LILACKEEL_TRCE is unknown
}

func TestSecretsAreNeverPrinted(t *testing.T) {
	is := is.New(t)
	s, cfg := newSample()
	var out bytes.Buffer
	code, done := s.Main([]string{"-workspace-key", "hush-123", "-zone", "Not A Zone"}, nil, &out, &out)
	is.True(done)
	is.Equal(code, exitUsage)
	is.Equal(cfg.key, "hush-123")
	s.Usage(&out)
	printed := out.String() + s.Markdown() + s.LogValue().String()
	is.True(strings.Contains(printed, redacted))
	is.True(!strings.Contains(printed, "hush-123"))
}
