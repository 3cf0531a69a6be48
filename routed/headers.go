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

// Headers are the names by which callers, entry and endpoints understand each
// other beyond what HTTP defines. An empty name is not used.
type Headers struct {
	// Deadline, in a request: the milliseconds that its sender waits.
	Deadline string
	// Workspace, to endpoints: the name of the workspace that the key stands for.
	Workspace string
	// Endpoint, to endpoints: the id of the endpoint that is meant. Any other
	// answers 421 and runs nothing.
	Endpoint string
	// Priority, to endpoints: the rank of the request, 0 first.
	Priority string
	// NotRun, from endpoints: its presence proves that the request did not run.
	NotRun string
	// Signature, from endpoints: the mark that an endpoint puts on its own
	// answer. An answer of success without it is not whole.
	Signature string
	// RateLimit, from endpoints: the requests a second that the endpoint takes from all
	// entries together, for as long as its answers say so.
	RateLimit string
	// Leaving, from endpoints: its presence says that the endpoint is about to stop and is to get
	// no new work.
	Leaving string
	// Size reads the size of a model call: the prompt's tokens and the most that
	// the answer may have. Nil or zeros: not known.
	Size func(http.Header) (prompt, answer int)
}

// headerLastEvent is the standard header of a resumed stream.
const headerLastEvent = "Last-Event-Id"

// DefaultHeaders are the product's own names.
var DefaultHeaders = Headers{
	Deadline:  "Lilackeel-Deadline-Ms",
	Workspace: "Lilackeel-Workspace",
	Endpoint:  "Lilackeel-Endpoint",
	Priority:  "Lilackeel-Engine-Priority",
	NotRun:    engineapi.HeaderNotRun,
	RateLimit: engineapi.HeaderRateLimit,
	Leaving:   engineapi.HeaderLeaving,
}

// private returns the canonical names of the headers that end at the entry,
// because it acts on them or sets them itself.
func (h Headers) private() map[string]bool {
	private := map[string]bool{}
	for _, name := range []string{
		h.Deadline, h.Workspace, h.Endpoint, h.Priority,
		"Authorization", "Content-Length", "Host", "Expect", headerLastEvent,
	} {
		private[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return private
}

// forward returns the caller's headers that an endpoint gets.
func forward(header http.Header, private map[string]bool) http.Header {
	named := hopbyhop.ConnectionOptions(header)
	forwarded := make(http.Header, len(header)+6)
	for name, values := range header {
		if !hopbyhop.Is(name) && !private[name] && !named[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// deliverable copies an endpoint's headers to the caller's answer.
func deliverable(from, to http.Header) {
	named := hopbyhop.ConnectionOptions(from)
	for name, values := range from {
		if !hopbyhop.Is(name) && !named[name] && name != "Content-Length" {
			to[name] = values
		}
	}
	if _, typed := from["Content-Type"]; !typed {
		// An entry of nil keeps net/http from guessing a type.
		to["Content-Type"] = nil
	}
	if _, dated := from["Date"]; !dated {
		to["Date"] = nil
	}
}

// readMillis reads a header that holds milliseconds; zero if it is absent or no
// number.
func readMillis(header http.Header, name string) time.Duration {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || ms <= 0 || ms > int64(maxDeadline/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxDeadline bounds what a caller may state, against overflow.
const maxDeadline = 24 * time.Hour

// isPromise reports whether a status says that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// requestID is the id of a request, which the endpoint gets as the caller sent
// it; one is made for a request without.
func (s *Server) requestID(r *http.Request) string {
	if id := r.Header.Get(call.HeaderRequestID); id != "" {
		return id
	}
	return s.name + "-" + strconv.FormatUint(s.sequence.Add(1), 36) + "-" + strconv.FormatUint(s.start, 36)
}
