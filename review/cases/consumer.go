package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// consumer is a stand-in for a consumer with one channel, which it keeps open for many requests.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a consumer's channel to the entry.
func (d *deployment) connect() (*consumer, error) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(d.entry, strconv.Itoa(d.front)), time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// head returns the head of a request that must run at most once, with further header lines.
func head(id, path string, deadline time.Duration, lines string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		oncePrefix, path, routeHost, id, deadline.Milliseconds(), serviceKey, lines)
}

// answer is an answer as the consumer has read it.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer is complete by its framing.
	whole bool
}

// post sends a request with a body and reads the answer. An error means that the channel ended
// without an answer.
func (c *consumer) post(id, path string, body []byte, deadline time.Duration) (*answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	sent := make(chan error, 1)
	go func() {
		buffers := net.Buffers{[]byte(head(id, path, deadline, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")), body}
		_, err := buffers.WriteTo(c.conn)
		sent <- err
	}()
	a, err := c.read()
	if err != nil {
		return nil, err
	}
	<-sent
	return a, nil
}

// read reads one answer.
func (c *consumer) read() (*answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: body, whole: err == nil}, nil
}
