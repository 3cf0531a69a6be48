package routed

import (
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/hopbyhop"
	"github.com/lilackeel/lilackeel/call"
)

// Headers are the names of the headers exchanged between callers, entry and endpoints beyond
// those defined by HTTP. An empty name disables the header.
type Headers struct {
	// Deadline, in requests: how many milliseconds the sender waits.
	Deadline string
	// Workspace, to endpoints: the name of the workspace to which the key belongs.
	Workspace string
	// Endpoint, to endpoints: the id of the intended endpoint. Any other endpoint responds
	// with 421 and runs nothing.
	Endpoint string
	// Priority, to endpoints: the rank of the request's level among those of the pool, from 0, which
	// goes first, to 9. It is sent where the requests of the pool are ordered by level.
	Priority string
	// NotRun, from endpoints: its presence proves that the request did not run.
	NotRun string
	// Signature, from endpoints: set by an endpoint on every response of its own. A successful
	// response without it is considered incomplete.
	Signature string
	// RateLimit, from endpoints: the requests per second that the endpoint accepts from all
	// entries together. It applies while the responses contain it.
	RateLimit string
	// Leaving, from endpoints: its presence means that the endpoint is about to stop and must
	// get no new requests.
	Leaving string
	// Size returns the size of a model call: the prompt tokens and the maximum output tokens.
	// Zeros, or a nil Size, mean unknown.
	Size func(http.Header) (prompt, answer int)
	// PromptParts returns the ids of the parts of a model call's prompt, in order. An empty result,
	// or a nil PromptParts, means unknown.
	PromptParts func(http.Header) []string
}

// headerLastEvent is the standard header to resume an event stream.
const headerLastEvent = "Last-Event-Id"

// DefaultHeaders are lilackeel's own header names.
var DefaultHeaders = Headers{
	Deadline:  "Lilackeel-Deadline-Ms",
	Workspace: "Lilackeel-Workspace",
	Endpoint:  "Lilackeel-Endpoint",
	Priority:  "Lilackeel-Engine-Priority",
	NotRun:    engineapi.HeaderNotRun,
	RateLimit: engineapi.HeaderRateLimit,
	Leaving:   engineapi.HeaderLeaving,
}

// consumed returns the canonical names of the headers that are not forwarded, because the
// entry acts on them or sets them itself.
func (h Headers) consumed() map[string]bool {
	consumed := map[string]bool{}
	for _, name := range []string{
		h.Deadline, h.Workspace, h.Endpoint, h.Priority,
		"Authorization", "Content-Length", "Host", "Expect", headerLastEvent,
	} {
		consumed[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return consumed
}

// forwardedHeaders returns the caller's headers that are forwarded to the endpoint.
func forwardedHeaders(header http.Header, consumed map[string]bool) http.Header {
	connectionHeaders := hopbyhop.ConnectionOptions(header)
	forwarded := make(http.Header, len(header)+6)
	for name, values := range header {
		if !hopbyhop.Is(name) && !consumed[name] && !connectionHeaders[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// copyResponseHeaders copies an endpoint's end-to-end headers to the caller's response.
func copyResponseHeaders(from, to http.Header) {
	connectionHeaders := hopbyhop.ConnectionOptions(from)
	for name, values := range from {
		if !hopbyhop.Is(name) && !connectionHeaders[name] && name != "Content-Length" {
			to[name] = values
		}
	}
	if _, hasType := from["Content-Type"]; !hasType {
		// A nil value prevents net/http from detecting a type.
		to["Content-Type"] = nil
	}
	if _, hasDate := from["Date"]; !hasDate {
		to["Date"] = nil
	}
}

// readMillis parses a header that contains milliseconds; zero if it is absent or invalid.
func readMillis(header http.Header, name string) time.Duration {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || ms <= 0 || ms > int64(maxDeadline/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxDeadline limits the value that a caller may state; it prevents overflow.
const maxDeadline = 24 * time.Hour

// impliesNotRun reports whether a status claims that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// requestID returns the request id sent by the caller, or a generated one. It is forwarded to
// the endpoint.
func (s *Server) requestID(r *http.Request) string {
	if id := r.Header.Get(call.HeaderRequestID); id != "" {
		return id
	}
	return s.name + "-" + strconv.FormatUint(s.sequence.Add(1), 36) + "-" + strconv.FormatUint(s.startNonce, 36)
}
