// Package caller is a test client of lilackeel. It sends model requests and service calls to
// the entries in turn and checks that each response is complete.
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

// Headers of the entry's API.
const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Lilackeel-Outcome"
)

// streamEnd is the last event of a complete streamed response.
const streamEnd = "data: [DONE]"

// Caller sends requests to one or more entries.
type Caller struct {
	// Entries holds the host:port of each entry; request i goes to entry i modulo their number.
	Entries []string
	// Key is the API key of the workspace.
	Key string
	// Model is the model named in model requests.
	Model  string
	Client *http.Client
	// Chunked sends the bodies of service calls in chunks, without their length.
	Chunked bool
	// OnFirstByte, if set, is called when the first byte of a response has arrived.
	OnFirstByte func()
}

// Result is the result of one request.
type Result struct {
	// Status is the HTTP status. Outcome is the outcome that the entry stated.
	Status  int
	Outcome string
	// Complete is true if the response was successful and reached its end: the end marker of a
	// stream, or any status below 400 for a service call.
	Complete bool
	// FirstByte and Total are measured from the sending of the request.
	FirstByte, Total time.Duration
	// Body is the response body.
	Body []byte
}

// Chat sends streamed chat request i and reads the response to its end.
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
	result.Complete = result.Status == http.StatusOK && hasStreamEnd(result.Body)
	return result, nil
}

// Call sends service call i. If key is empty, the entry assigns the idempotency key.
func (c *Caller) Call(ctx context.Context, i int, method, path string, body []byte, key string) (Result, error) {
	result, err := c.send(ctx, i, method, path, body, key)
	result.Complete = err == nil && result.Status < http.StatusBadRequest
	return result, err
}

// NewKey returns a new idempotency key.
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
		if c.Chunked {
			request.ContentLength = -1
		}
	}
	start := time.Now()
	response, err := c.Client.Do(request)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response, start)
}

// read reads the response to its end. The outcome of a stream is known only at its end, so it
// arrives in the trailer.
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

// hasStreamEnd reports whether an event stream ends with its end marker.
func hasStreamEnd(body []byte) bool {
	return strings.HasSuffix(strings.TrimSpace(string(body)), streamEnd)
}
