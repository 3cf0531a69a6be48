package routed

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// framings are ways to send a request, each with the body that its endpoint must receive if the request
// is run at all. A %s stands for a request that is hidden in the body.
var framings = []struct{ head, body, received string }{
	{"Content-Length: 2\r\n", "ok", "ok"},
	{"Content-Length: 0\r\n", "", ""},
	{"Content-Length: 70\r\n", strings.Repeat("POST /once/hidden HTTP/1.1\r\n\r\n", 3)[:70], strings.Repeat("POST /once/hidden HTTP/1.1\r\n\r\n", 3)[:70]},
	{"Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n", "ok"},
	{"Transfer-Encoding: chunked\r\nTrailer: Digest\r\n", "2;quality=1\r\nok\r\n0\r\nDigest: 1\r\n\r\n", "ok"},
	{"Transfer-Encoding: chunked\r\n", "2\nok\n0\n\n", "ok"},
	{"Content-Length: 300\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n%s", ""},
	{"transfer-encoding: chunked\r\ncontent-length: 300\r\n", "2\r\nok\r\n0\r\n\r\n%s", "ok"},
	{"Transfer-Encoding: chunked\r\nX: 1\r\nContent-Length: 5\r\n", "0\r\n\r\n%s", ""},
	{"Content-Length: 2\r\nContent-Length: 300\r\n", "ok%s", "ok"},
	{"Content-Length: 2\r\nContent-Length: 2\r\n", "ok", "ok"},
	{"Content-Length : 300\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n%s", ""},
	{"Content-Length: 2\nTransfer-Encoding: chunked\n", "0\r\n\r\n%s", ""},
	{"Transfer-Encoding: identity\r\nContent-Length: 2\r\n", "ok%s", "ok"},
	{"Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n%s", ""},
	{"Transfer-Encoding: chunked\r\n", "2 \r\nok\r\n0\r\n\r\n", "ok"},
	{"Content-Length: +2\r\n", "ok%s", "ok"},
}

// before are the bytes that may precede a request.
var before = []string{"", "\r\n", "\n", "\r\n\r\n", " \r\n"}

// FuzzRequestFraming guards against request smuggling: whatever the order, framing and split of the requests
// on a connection, an endpoint never runs a request that is hidden in the body of another one, and never one
// with another body or twice. Each byte of orders chooses a framing and what comes before it; splits are the
// lengths of the writes.
func FuzzRequestFraming(f *testing.F) {
	for first := range framings {
		for second := range framings {
			f.Add([]byte{byte(first), byte(second)}, []byte{})
		}
		for i := range before {
			f.Add([]byte{0, byte(first + i*len(framings))}, []byte{})
			f.Add([]byte{byte(first + i*len(framings)), 0}, []byte{200, 3})
		}
		f.Add([]byte{0, byte(first), 0}, []byte{1, 60, 60, 7, 30})
	}
	f.Fuzz(func(t *testing.T, orders, splits []byte) {
		if len(orders) > 8 || len(splits) > 200 {
			return
		}
		is := is.New(t)
		b := newTestEntry(t, answerOK)
		const head = "POST /once/%s HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\n"
		text, received := "", map[string]string{}
		for i, order := range orders {
			framing := framings[int(order)%len(framings)]
			body := framing.body
			if strings.HasSuffix(body, "%s") {
				body = strings.TrimSuffix(body, "%s") + fmt.Sprintf(head, "hidden") + "Content-Length: 0\r\n\r\n"
			}
			id := fmt.Sprint("visible-", i)
			text += before[int(order)/len(framings)%len(before)] + fmt.Sprintf(head, id) + framing.head + "\r\n" + body
			received["/once/"+id] = framing.received
		}
		text += fmt.Sprintf(head, "last") + "Connection: close\r\nContent-Length: 0\r\n\r\n"
		received["/once/last"] = ""
		c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		for _, size := range splits {
			n := min(int(size), len(text))
			_, _ = io.WriteString(c, text[:n]) // fails once the entry has closed the connection
			text = text[n:]
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
		for i, r := range b.requests() {
			want, ok := received[r.URL.Path]
			if !ok {
				t.Fatalf("an endpoint ran %s", r.URL.Path)
			}
			is.Equal(b.bodies[i], want)
			delete(received, r.URL.Path)
		}
	})
}
