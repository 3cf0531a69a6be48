package agent

import (
	"net/http"

	"github.com/lilackeel/lilackeel/agent/hopbyhop"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// requestHeader returns the headers of the request to the endpoint, without hop-by-hop headers.
// Content-Length is set from the body by the transport.
func requestHeader(headers []*controlv1.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header.Add(h.GetName(), h.GetValue())
	}
	hopbyhop.Remove(header)
	header.Del("Content-Length")
	header.Del("Host")
	header.Del("Expect")
	return header
}

// responseHeaders returns the headers of the endpoint's response for the caller, without
// hop-by-hop headers.
func responseHeaders(header http.Header) []*controlv1.Header {
	hopbyhop.Remove(header)
	list := make([]*controlv1.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			list = append(list, &controlv1.Header{Name: name, Value: value})
		}
	}
	return list
}
