package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// heartbeatInterval is the time between two reports of an engine.
const heartbeatInterval = 1200 * time.Millisecond

// engineRequest is a request as an engine has read it. Body is the unread rest of its channel.
type engineRequest struct {
	id, method, target string
	length             int
	header             http.Header
	body               io.Reader
	conn               net.Conn
}

// engine is a stand-in for an engine of a plain service. It reports itself to the control replicas
// and serves one request at a time on a channel.
type engine struct {
	d        *deployment
	id       string
	slots    int
	listener net.Listener
	// serve handles one request and reports whether the channel stays open.
	serve func(r *engineRequest) (keep bool)
	done  chan struct{}
	once  sync.Once
}

// startEngine starts an engine whose sockets receive at most window bytes before they are read; zero
// leaves the system's own window.
func startEngine(d *deployment, number, slots, window int, serve func(r *engineRequest) bool) (*engine, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		var failure error
		err := raw.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window) })
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(d.context(), "tcp", fmt.Sprintf("127.0.0.%d:0", 31+number))
	if err != nil {
		return nil, err
	}
	e := &engine{d: d, id: fmt.Sprintf("i-%08x", 0xa1000000+number), slots: slots, listener: listener, serve: serve, done: make(chan struct{})}
	go e.accept()
	if !e.report() {
		e.stop()
		return nil, fmt.Errorf("engine %s was not accepted", e.id)
	}
	d.record.note("engine %s reported itself at %s", e.id, listener.Addr())
	go e.reportRegularly()
	return e, nil
}

func (e *engine) stop() {
	e.once.Do(func() {
		close(e.done)
		_ = e.listener.Close()
	})
}

var sequence struct {
	sync.Mutex
	last int
}

// report sends one report to any control replica.
func (e *engine) report() bool {
	sequence.Lock()
	sequence.last++
	seq := sequence.last
	sequence.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": service, "address": e.listener.Addr().String(), "zone": zones[0], "version": "v1", "slots": e.slots,
		"state": "ready", "coldRemainingMs": 0, "seq": seq,
	})
	if err != nil {
		return false
	}
	for range 3 {
		for _, ip := range e.d.controls {
			if status, err := e.d.call(ip, http.MethodPut, "/lilackeel/instances/"+e.id, body, time.Second); err == nil && status/100 == 2 {
				return true
			}
		}
	}
	return false
}

func (e *engine) reportRegularly() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
			e.report()
		}
	}
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serveChannel(conn)
	}
}

func (e *engine) serveChannel(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 16)
	for {
		request, err := readHead(conn, reader)
		if err != nil || !e.serve(request) {
			return
		}
	}
}

// readHead reads the head of a request and nothing of its body beyond a few buffered bytes.
func readHead(conn net.Conn, reader *bufio.Reader) (*engineRequest, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	length, _ := strconv.Atoi(request.Header.Get("Content-Length"))
	length = max(length, int(request.ContentLength))
	return &engineRequest{
		id: request.Header.Get("X-Request-Id"), method: request.Method, target: request.RequestURI,
		length: max(length, 0), header: request.Header, body: reader, conn: conn,
	}, nil
}

// discardBody reads the whole body and returns whether it came.
func (r *engineRequest) discardBody() bool {
	n, err := io.CopyN(io.Discard, r.body, int64(r.length))
	return err == nil && n == int64(r.length)
}

// stamp is the receipt of an engine's answer.
func (r *engineRequest) stamp() string { return "stamp-of-" + r.id }

// answer sends a whole answer with its length.
func (r *engineRequest) answer(status int, body string) bool {
	_, err := fmt.Fprintf(r.conn, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.id, r.stamp(), len(body), body)
	return err == nil
}
