package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxExchangeBody is the maximum size of a response body read from an engine's API, in bytes.
const maxExchangeBody = 4 << 20

// exchange sends a request to the API of package engineapi at an endpoint. It decodes the JSON body
// of a response with status 200 into result, unless result is nil. A notSentError means that nothing
// was sent.
func (c *endpointClient) exchange(ctx context.Context, method string, e Endpoint, path string, body []byte, result any) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(e.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, invalidCallError(err)
	}
	transport := c.keepAlive
	if method != http.MethodGet {
		transport = c.singleUse
		request.GetBody = nil
	}
	response, err := c.roundTrip(transport, request, e)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil || response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.NewDecoder(io.LimitReader(response.Body, maxExchangeBody)).Decode(result)
}
