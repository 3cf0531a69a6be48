package entry_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/measure/overhead"
	"github.com/lilackeel/lilackeel/standin"
)

// TestTruncatedAnswerToHTTP10Caller guards against a truncated answer that looks whole to a caller to
// whom the end of the connection ends an answer: it must be reset.
func TestTruncatedAnswerToHTTP10Caller(t *testing.T) {
	is := is.New(t)
	f := start(t, overhead.FleetConfig{Engine: standin.EngineConfig{TokenTime: time.Millisecond}})
	f.Engine.SetFaults(standin.Faults{AbortAfterBytes: 200})
	c, err := net.Dial("tcp", strings.TrimPrefix(f.EntryURL, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	body := chat(200, true)
	_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer "+overhead.WorkspaceKey+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	is.NoErr(err)
	text, err := io.ReadAll(c)
	is.True(strings.Contains(string(text), "200 OK"))
	is.True(err != nil)
}
