package answer

import "net/http"

// CloseAfterChunks closes the connection of each request that was sent in chunks after its response.
// net/http drops a Content-Length that comes with chunks. A hop before this one that goes by that
// length takes what follows the chunks for a part of the body, so it must never be run as a request.
func CloseAfterChunks(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
