package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller saw of one request.
type answer struct {
	// status is zero if there was no whole response head.
	status int
	header http.Header
	body   string
	// whole is true if the answer ended as its framing says.
	whole bool
	err   error
}

// caller is a consumer with one kept channel to a front machine.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends one request and reads its answer. The channel is kept unless it was closed.
func (c *caller) send(ctx context.Context, method, host, path, id string, deadline time.Duration, extra ...string) answer {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(ctx, "tcp", c.address)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, line := range extra {
		head.WriteString(line + "\r\n")
	}
	head.WriteString("Content-Length: 0\r\n\r\n")
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil, err: err}
	if err != nil || response.Close {
		c.close()
	}
	return a
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}

// String describes an answer for the record.
func (a answer) String() string {
	var timeout net.Error
	switch {
	case a.status == 0 && errors.As(a.err, &timeout) && timeout.Timeout():
		return "no answer until the caller's time limit"
	case a.status == 0:
		return "the channel is closed or refused without an answer"
	case !a.whole:
		return fmt.Sprintf("%d, cut after %d bytes", a.status, len(a.body))
	}
	return fmt.Sprintf("%d, whole, %d bytes", a.status, len(a.body))
}
