// Package hopbyhop tells the headers that concern one connection only, which
// RFC 9110 calls hop-by-hop, from those that pass from one hop to the next.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// always lists the headers that are hop-by-hop in every message, by their
// canonical names.
var always = map[string]bool{
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

// Is reports whether a header is hop-by-hop in every message.
func Is(name string) bool { return always[textproto.CanonicalMIMEHeaderKey(name)] }

// Named returns the canonical names of the headers that Connection makes
// hop-by-hop in this message; nil for none.
func ConnectionOptions(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Remove removes the hop-by-hop headers of a message.
func Remove(header http.Header) {
	for name := range ConnectionOptions(header) {
		header.Del(name)
	}
	for name := range always {
		header.Del(name)
	}
}
