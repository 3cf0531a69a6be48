package hopbyhop_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/agent/hopbyhop"
)

// The headers that Connection lists are removed with it, whatever their case and however they are
// listed; all others are kept.
func TestRemove(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	header.Add("Connection", "close, x-secret")
	header.Add("Connection", " X-Other ")
	for _, name := range []string{"TE", "keep-alive", "Upgrade", "X-Secret", "X-Other", "X-Kept"} {
		header.Set(name, "value")
	}
	header.Add("Connection", strings.Repeat("x-absent-1, x-absent-2,", 1000))
	is.Equal(hopbyhop.ConnectionOptions(header), map[string]bool{"X-Secret": true, "X-Other": true}) // of those that are present
	hopbyhop.Remove(header)
	is.Equal(header, http.Header{"X-Kept": {"value"}})
	is.True(hopbyhop.Is("transfer-encoding"))
	is.True(!hopbyhop.Is("X-Kept"))
}
