package overhead

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// client keeps enough idle connections that none has to be opened during a
// measurement.
var client = &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 14}}

// doneEvent is the last event of a stream of the completions API.
const doneEvent = "data: [DONE]\n\n"

// chatBody returns the body of a request for a stream of the given number of tokens.
func chatBody(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, tokens, strings.Repeat("why is the pairing legal ", 8))
}

// Complete requests a streamed completion at base, the URL of the entry or of an
// engine, and reads the whole stream.
func (f *Fleet) Complete(base string, tokens int) error {
	response, err := f.post(base+"/v1/chat/completions", chatBody(tokens))
	if err != nil {
		return err
	}
	return readStream(response)
}

// CallNonIdempotent makes a non-idempotent call of the service through the entry.
func (f *Fleet) CallNonIdempotent() error { return f.CallNonIdempotentAt(f.EntryURL) }

// CallNonIdempotentAt makes a non-idempotent call at base, the URL of the entry or of
// the service.
func (f *Fleet) CallNonIdempotentAt(base string) error {
	response, err := f.post(base+ServicePrefix+"/swap", []byte(`{"crew":"AB","duty":7}`))
	if err != nil {
		return err
	}
	return readResponse(response)
}

// CallIdempotent makes an idempotent call at base, the URL of the entry or of the
// service.
func (f *Fleet) CallIdempotent(base string) error {
	request, err := http.NewRequest(http.MethodGet, base+ServicePrefix+"/duties", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return readResponse(response)
}

func (f *Fleet) post(url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	request.Header.Set("Content-Type", "application/json")
	return client.Do(request)
}

// readResponse reads and closes the body, and returns an error unless the status is
// 200.
func readResponse(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return err
}

// readStream reads and closes the body, and returns an error unless the status is 200
// and the stream is complete.
func readStream(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	case !bytes.HasSuffix(body, []byte(doneEvent)):
		return errors.New("stream ended without the [DONE] event; see the logs of entry and agent")
	}
	return nil
}
