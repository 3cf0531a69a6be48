// Package caller is a small stand-in for the callers of lilackeel: it sends
// model requests and calls of a plain service to the entries in turn and
// checks that each answer is whole.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Headers that the entries read and write.
const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Lilackeel-Outcome"
)

// streamEnd is the last event of a whole streamed answer.
const streamEnd = "data: [DONE]"

// Caller sends requests to one or more entries.
type Caller struct {
	// Entries are host:port; request i goes to entry i modulo their number.
	Entries []string
	// Key is the workspace's key.
	Key string
	// Model is named in model requests.
	Model string
	// Client sends the requests.
	Client *http.Client
	// OnFirstByte, if set, is called when the first byte of an answer is there.
	OnFirstByte func()
}

// Result is how one request ended.
type Result struct {
	// Status is the HTTP status, Outcome the outcome that the entry stated.
	Status  int
	Outcome string
	// Whole is true when the answer came to its stated end.
	Complete bool
	// FirstByte and Total are measured from the sending of the request.
	FirstByte, Total time.Duration
	// Body is the answer.
	Body []byte
}

// Chat sends streamed chat request i and reads the answer to its end.
func (c *Caller) Chat(ctx context.Context, i int, prompt string, tokens int) (Result, error) {
	body, err := json.Marshal(map[string]any{
		"model":      c.Model,
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Result{}, err
	}
	result, err := c.send(ctx, i, http.MethodPost, "/v1/chat/completions", body, "")
	if err != nil {
		return result, err
	}
	result.Complete = result.Status == http.StatusOK && endsWithDone(result.Body)
	return result, nil
}

// Call sends call i of a plain service. An empty key leaves the idempotency
// key to the entry.
func (c *Caller) Call(ctx context.Context, i int, method, path string, body []byte, key string) (Result, error) {
	result, err := c.send(ctx, i, method, path, body, key)
	result.Complete = err == nil && result.Status < http.StatusBadRequest
	return result, err
}

// NewKey returns a fresh idempotency key.
func NewKey() string { return uuid.NewString() }

func (c *Caller) send(ctx context.Context, i int, method, path string, body []byte, key string) (Result, error) {
	url := fmt.Sprintf("http://%s%s", c.Entries[i%len(c.Entries)], path)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Result{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(headerKey, key)
	}
	start := time.Now()
	response, err := c.Client.Do(request)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response, start)
}

// read takes the whole answer. The outcome of a stream is known at its end only
// and comes in the trailer.
func (c *Caller) read(response *http.Response, start time.Time) (Result, error) {
	result := Result{Status: response.StatusCode, Outcome: response.Header.Get(headerOutcome)}
	reader := bufio.NewReader(response.Body)
	if _, err := reader.Peek(1); err == nil {
		result.FirstByte = time.Since(start)
		if c.OnFirstByte != nil {
			c.OnFirstByte()
		}
	}
	body, err := io.ReadAll(reader)
	result.Body = body
	if result.Outcome == "" {
		result.Outcome = response.Trailer.Get(headerOutcome)
	}
	result.Total = time.Since(start)
	return result, err
}

// endsWithDone reports whether a stream of events came to its explicit end.
func endsWithDone(body []byte) bool {
	return strings.HasSuffix(strings.TrimSpace(string(body)), streamEnd)
}
