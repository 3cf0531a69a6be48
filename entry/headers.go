package entry

import (
	"net/http"
	"net/textproto"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/hopbyhop"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
)

// unforwardedHeaders are request headers that are not forwarded to endpoints: credentials, headers
// that the entry evaluates itself, and headers that would let a caller access another caller's
// stream or override the method.
var unforwardedHeaders = headerSet(
	headerAuthorization, HeaderWorkspace, HeaderPriority, HeaderDeadline, engineapi.HeaderStreamID, engineapi.HeaderResumeOffset,
	engineapi.HeaderPriority, "X-Http-Method-Override", "X-Http-Method", "X-Method-Override", headerContentLength, "Host", "Expect",
	"Accept-Encoding", "Traceparent", "Tracestate",
)

// entryHeaders are the response headers that only the entry may set.
var entryHeaders = headerSet(call.HeaderOutcome, call.HeaderReplayed, call.HeaderRequestID, engineapi.HeaderStreamID, engineapi.HeaderResumeOffset)

func headerSet(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return set
}

// isEntryHeader reports whether a response header may only be set by the entry.
func isEntryHeader(name string) bool { return entryHeaders[textproto.CanonicalMIMEHeaderKey(name)] }

// forwardedHeaders returns the request headers that are forwarded to the endpoint.
func forwardedHeaders(header http.Header) []*controlv1.Header {
	connectionHeaders := hopbyhop.ConnectionOptions(header)
	forwarded := make([]*controlv1.Header, 0, len(header)+2)
	for name, values := range header {
		if hopbyhop.Is(name) || unforwardedHeaders[name] || connectionHeaders[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &controlv1.Header{Name: name, Value: value})
		}
	}
	return forwarded
}
