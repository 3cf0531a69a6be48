package entry

import (
	"net/http"
	"net/textproto"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/hopbyhop"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
)

// privateHeaders end at the entry: credentials, what the entry acts on itself,
// and what would let a caller reach another one's stream or disguise a method.
var privateHeaders = headerSet(
	headerAuthorization, HeaderWorkspace, HeaderPriority, HeaderDeadline, engineapi.HeaderStreamID, engineapi.HeaderResumeOffset,
	engineapi.HeaderPriority, "X-Http-Method-Override", "X-Http-Method", "X-Method-Override", headerContentLength, "Host", "Expect",
	"Accept-Encoding", "Traceparent", "Tracestate",
)

// ownHeaders of an answer are the entry's to set.
var ownHeaders = headerSet(call.HeaderOutcome, call.HeaderReplayed, call.HeaderRequestID, engineapi.HeaderStreamID, engineapi.HeaderResumeOffset)

func headerSet(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return set
}

// isOwnHeader reports whether an answer's header is the entry's to set.
func isOwnHeader(name string) bool { return ownHeaders[textproto.CanonicalMIMEHeaderKey(name)] }

// forwardedHeaders returns the headers that the endpoint gets.
func forwardedHeaders(header http.Header) []*controlv1.Header {
	named := hopbyhop.Named(header)
	forwarded := make([]*controlv1.Header, 0, len(header)+2)
	for name, values := range header {
		if hopbyhop.Is(name) || privateHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &controlv1.Header{Name: name, Value: value})
		}
	}
	return forwarded
}
