package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/standin/caller"
)

// Requests work through separate processes: an intent is accepted, model responses are
// streamed, and a call that is not idempotent is repeated through the other entry with the same
// key.
func TestRequestsThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	c := s.caller()
	for i := range 4 {
		result, err := c.Chat(context.Background(), i, fmt.Sprintf("draft %d", i), 8)
		is.NoErr(err)
		is.True(result.Complete)
		is.Equal(result.Outcome, "answered")
	}
	for i := range 4 {
		body, key := fmt.Sprintf("swap-%d.", i), caller.NewKey()
		first, err := c.Call(context.Background(), i, http.MethodPost, swapsPath, []byte(body), key)
		is.NoErr(err)
		is.True(first.Complete)
		second, err := c.Call(context.Background(), i+1, http.MethodPost, swapsPath, []byte(body), key)
		is.NoErr(err)
		is.Equal(string(second.Body), string(first.Body)) // the repeat gets the recorded response
		is.Equal(s.runCount(t, body), 1)
	}
}
