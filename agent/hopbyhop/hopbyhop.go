// Package hopbyhop identifies and removes hop-by-hop headers: those that apply to a single connection
// and must not be forwarded (RFC 9110, section 7.6.1).
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders holds the canonical names of the headers that are hop-by-hop in every message.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Is reports whether a header is hop-by-hop in every message, whatever its Connection header lists.
func Is(name string) bool { return hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(name)] }

// ConnectionOptions returns the canonical names of the headers of the message that its Connection header lists as
// hop-by-hop; nil if there are none. Listed names that the message does not have are left out, so that the result
// is not larger than the message.
func ConnectionOptions(header http.Header) map[string]bool {
	var options map[string]bool
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if _, present := header[name]; !present {
				continue
			}
			if options == nil {
				options = make(map[string]bool)
			}
			options[name] = true
		}
	}
	return options
}

// Remove deletes the hop-by-hop headers of a message.
func Remove(header http.Header) {
	for name := range ConnectionOptions(header) {
		header.Del(name)
	}
	for name := range hopByHopHeaders {
		header.Del(name)
	}
}
