package overhead

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// client keeps enough connections that none is opened while measuring.
var client = &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 14}}

// doneEvent ends a stream of the completions API.
const doneEvent = "data: [DONE]\n\n"

// chatBody returns a request for a stream of the given number of tokens.
func chatBody(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, tokens, strings.Repeat("why is the pairing legal ", 8))
}

// Complete calls the model at base, the entry or the engine itself, and reads
// the whole stream.
func (f *Fleet) Complete(base string, tokens int) error {
	response, err := f.post(base+"/v1/chat/completions", chatBody(tokens))
	if err != nil {
		return err
	}
	return readStream(response)
}

// Act makes a call of the service that may not be repeated.
func (f *Fleet) CallNonIdempotent() error { return f.CallNonIdempotentAt(f.EntryURL) }

// ActAt is Act at base, the entry or the service itself.
func (f *Fleet) CallNonIdempotentAt(base string) error {
	response, err := f.post(base+ServicePrefix+"/swap", []byte(`{"crew":"AB","duty":7}`))
	if err != nil {
		return err
	}
	return drain(response)
}

// Read makes a call of the service that may be repeated.
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
	return drain(response)
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

func drain(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return err
}

func readStream(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	case !bytes.HasSuffix(body, []byte(doneEvent)):
		return errors.New("the stream ended without its last event; see the logs of entry and agent")
	}
	return nil
}
