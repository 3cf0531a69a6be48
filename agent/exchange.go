package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxExchange bounds the body that is read from an engine's own API, in bytes.
const maxExchangeBody = 4 << 20

// exchange sends a body to an endpoint's own API and decodes the JSON answer of
// status 200 into result, if result is not nil. An error of type notAsked means
// that the endpoint never saw the request.
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
