package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// These tests attach a crowd of misbehaving clients to one listener of a running deployment. While the crowd
// is connected, an ordinary request must be answered, and the process must stay within the memory and the
// descriptors of the smallest host that it is deployed to.
const (
	megabyte = 1 << 20
	// Memory of the smallest hosts.
	entryMemory   = 136 * megabyte
	controlMemory = 280 * megabyte
	agentMemory   = 152 * megabyte
	// bodyMemory is what an entry of entryMemory may use for requests.
	bodyMemory = "48MiB"
	// headLimit is the published limit on the head of a request.
	headLimit = 16 << 10
	// largeHead is the size of the heads that exceed the limit.
	largeHead = megabyte
	// Numbers of clients whose heads exceed the limit, and of those that respect it.
	largeHeadClients = 40
	legalHeadClients = 1000
	// documentSize is the size of the bodies that exceed the memory together, and documentClients the number
	// of clients that send one.
	documentSize    = 15 * megabyte
	documentClients = 40
	// fileLimit is the number of descriptors of a process that is crowded with idle connections, and
	// idleClients the number of these.
	fileLimit   = 400
	idleClients = 450
	// clientTimeout is when a client stops to write. The process may have closed its connection or may not
	// read from it.
	clientTimeout = 10 * time.Second
)

// shortLines returns n bytes of the shortest header lines.
func shortLines(n int) string { return strings.Repeat("a:\r\n", n/4) }

// distinctLines returns about n bytes of short header lines that all have different names.
func distinctLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n-8; i++ {
		fmt.Fprintf(&b, "a%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

const requestLine = "POST /read/x HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + workspaceKey + "\r\n"

// largeHeads are beginnings of requests whose heads exceed any limit.
func largeHeads(requestLine string) map[string]string {
	return map[string]string{
		"short lines":            requestLine + shortLines(largeHead),
		"short lines, ended":     requestLine + shortLines(largeHead) + "\r\n",
		"distinct lines":         requestLine + distinctLines(largeHead),
		"one long line":          requestLine + "a: " + strings.Repeat("b", largeHead),
		"lines without a return": requestLine + strings.Repeat("a:\n", largeHead/3),
		"folded lines":           requestLine + "a: b\r\n" + strings.Repeat(" \r\n", largeHead/3),
		"empty lines":            strings.Repeat("\r\n", largeHead/2),
		"long request line":      "GET /" + strings.Repeat("x", largeHead),
	}
}

// crowd opens n connections, writes the text to each, and keeps them open until the test ends.
func crowd(t *testing.T, addr string, n int, text string) {
	t.Helper()
	crowdFunc(t, addr, n, func(c net.Conn) { _, _ = io.WriteString(c, text) })
}

// crowdFunc is crowd with a function that writes to each connection. Its errors are ignored: the process may
// close the connection.
func crowdFunc(t *testing.T, addr string, n int, write func(net.Conn)) {
	t.Helper()
	var group sync.WaitGroup
	dialer := net.Dialer{Timeout: clientTimeout}
	for range n {
		group.Go(func() {
			c, err := dialer.Dial("tcp", addr)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(clientTimeout))
			write(c)
		})
	}
	group.Wait()
}

// checkProcess fails the test if the process has ended, or has used more than the given memory or descriptors.
func checkProcess(t *testing.T, p *process, memory int64, files int) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s has ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	p.awaitQuiet(t)
	peak := p.peakMemory(t)
	t.Logf("%s: peak memory %d MB, %d descriptors", p.name, peak/megabyte, p.openFiles(t))
	if peak > memory {
		t.Errorf("%s has used %d MB of memory, allowed are %d MB", p.name, peak/megabyte, memory/megabyte)
	}
	if open := p.openFiles(t); open > files {
		t.Errorf("%s has %d open descriptors, allowed are %d", p.name, open, files)
	}
}

// awaitQuiet waits until the process uses almost no processor time, that is, until it has processed what the
// crowd has sent.
func (p *process) awaitQuiet(t *testing.T) {
	t.Helper()
	last := p.processorTicks(t)
	eventually(t, p.name+" becomes quiet", func() error {
		time.Sleep(500 * time.Millisecond)
		ticks := p.processorTicks(t)
		used := ticks - last
		if last = ticks; used > 5 {
			return fmt.Errorf("it used %d ticks", used)
		}
		return nil
	})
}

func (p *process) readProc(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	if err != nil {
		t.Fatalf("%s has ended: %v", p.name, err)
	}
	return string(text)
}

// processorTicks returns the processor time used so far, in hundredths of a second.
func (p *process) processorTicks(t *testing.T) int {
	t.Helper()
	text := p.readProc(t, "stat")
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

// peakMemory returns the largest resident memory so far, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	_, rest, _ := strings.Cut(p.readProc(t, "status"), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// openFiles returns the number of open descriptors.
func (p *process) openFiles(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("%s has ended: %v", p.name, err)
	}
	return len(list)
}

// routedSite is a deployment as in deploy/: one control replica, one entry that answers by routes, and an
// endpoint in the test's own process.
type routedSite struct {
	control, entry                      *process
	controlAddr, platformAddr, adminOf  string
	callerAddr, readyAddr, controlAdmin string
	endpoint                            *httptest.Server

	mu sync.Mutex
	// lastHeader is the header of the last request that the endpoint has got.
	lastHeader http.Header
	// held is closed when the endpoint may answer the requests below /read/held.
	held chan struct{}
}

// newRoutedSite starts the processes, the entry with at most entryFiles descriptors and control with at most
// controlFiles, and waits until requests are answered. Zero is no limit.
func newRoutedSite(t *testing.T, entryFiles, controlFiles int, entryArgs ...string) *routedSite {
	t.Helper()
	addrs := freeAddrs(t, 6)
	s := &routedSite{
		controlAddr: addrs[0], platformAddr: addrs[1], callerAddr: addrs[2], readyAddr: addrs[3], adminOf: addrs[4], controlAdmin: addrs[5],
		held: make(chan struct{}),
	}
	t.Cleanup(func() { close(s.held) })
	s.endpoint = httptest.NewServer(http.HandlerFunc(s.serveEndpoint))
	t.Cleanup(s.endpoint.Close)
	_, port, _ := net.SplitHostPort(s.controlAddr)
	values := []string{
		"{{ip}}:{{internalPortRange.0}}", s.controlAddr, "{{ip}}:{{internalPortRange.1}}", s.controlAdmin, "{{internalPortRange.0}}", port,
		"{{zone}}", "a", "{{#zones}}{{@}}{{,}}{{/zones}}", "a,b", "{{listen.control}}", s.platformAddr, "{{listen.front}}", s.callerAddr,
		"{{listen.ready}}", s.readyAddr, "{{seeds}}", s.platformAddr, "{{bootstrap}}", "true", "{{faultTolerance.machines}}", "0",
		"{{nodeName}}", "front-1", "{{limits.maxFds}}", strconv.Itoa(max(entryFiles, 4100)), "{{dataDir}}", filepath.Join(t.TempDir(), "data"),
	}
	s.control = startProcessWithFiles(t, "control", controlFiles, "lilackeel-platform", "control", "-settings", renderDeployed(t, "control.settings", values))
	if entryFiles > 0 {
		entryArgs = append(entryArgs, "-max-files", strconv.Itoa(entryFiles))
	}
	entryArgs = append([]string{"entry", "-settings", renderDeployed(t, "entry.settings", values), "-admin-listen", s.adminOf}, entryArgs...)
	s.entry = startProcessWithFiles(t, "entry", entryFiles, "lilackeel-platform", entryArgs...)
	eventually(t, "the first answer", func() error {
		for path, body := range map[string]string{"config": routedDocument, "instances/e1": s.heartbeat()} {
			if err := s.put(path, body); err != nil {
				return err
			}
		}
		return s.ask()
	})
	return s
}

// routedDocument is the published configuration.
var routedDocument = fmt.Sprintf(`{"version":1,"routes":[{"name":"read","host":"crew.example","pathPrefix":"/read/","kind":"idempotent",
"timeoutMs":60000,"targetLatencyMs":1000,"priority":1,"service":"files","maxAttempts":2}],
"services":[{"name":"files","healthPath":"/healthz","maxConnections":8000}],
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerTimeoutMs":60000,"idleTimeoutMs":60000},
"tenants":[{"name":"crew","apiKeys":["%s"],"priority":1}]}`, headLimit, workspaceKey)

func (s *routedSite) heartbeat() string {
	return fmt.Sprintf(`{"service":"files","address":"%s","zone":"a","version":"v1","slots":6000,"state":"ready","coldRemainingMs":0,"seq":%d}`,
		strings.TrimPrefix(s.endpoint.URL, "http://"), time.Now().UnixMilli())
}

func renderDeployed(t *testing.T, name string, values []string) string {
	t.Helper()
	text, err := os.ReadFile("../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(strings.NewReplacer(values...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (s *routedSite) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lastHeader = r.Header.Clone()
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/read/held") {
		select {
		case <-s.held:
		case <-r.Context().Done():
		}
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp")
	w.Header().Set("X-Instance-Id", "e1")
	_, _ = io.WriteString(w, "answer")
}

func (s *routedSite) put(path, body string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.platformAddr+"/lilackeel/"+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	return expect(request, http.StatusOK)
}

// ask sends an ordinary request to the entry.
func (s *routedSite) ask() error {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.callerAddr+"/read/x", nil)
	if err != nil {
		return err
	}
	request.Host = "crew.example"
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	request.Header.Set("X-Request-Id", "ordinary")
	return expect(request, http.StatusOK)
}

// askControl reads the configuration as an operator does.
func (s *routedSite) askControl() error {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.platformAddr+"/lilackeel/config", nil)
	if err != nil {
		return err
	}
	return expect(request, http.StatusOK)
}

// expect sends a request on a new connection and returns an error unless the response is whole and has the status.
func expect(request *http.Request, status int) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != status {
		return fmt.Errorf("%s: %s", response.Status, body)
	}
	return nil
}

// TestHeadsOverTheLimit guards against heads that exceed the limit, ended or not, taking the memory of an
// entry, on the listeners for callers, readiness and metrics.
func TestHeadsOverTheLimit(t *testing.T) {
	for name, text := range largeHeads(requestLine) {
		t.Run(name, func(t *testing.T) {
			s := newRoutedSite(t, 0, 0, "-body-memory", bodyMemory)
			for _, listener := range []struct {
				addr string
				ask  func() error
			}{{s.callerAddr, s.ask}, {s.readyAddr, s.askReady}, {s.adminOf, func() error { return checkReady(s.adminOf) }}} {
				crowd(t, listener.addr, largeHeadClients, text)
				eventually(t, "an ordinary answer", listener.ask)
				checkProcess(t, s.entry, entryMemory, 4100)
			}
		})
	}
}

func (s *routedSite) askReady() error {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.readyAddr+"/lilackeel/readyz", nil)
	if err != nil {
		return err
	}
	return expect(request, http.StatusOK)
}

// TestHeadsWithinTheLimit guards against heads of many short lines, each within the limit, taking the memory
// of an entry: while they are incomplete, while their bodies or their responses are awaited, and after them.
func TestHeadsWithinTheLimit(t *testing.T) {
	const rest = 400 // for the request line and the end of the head
	held := strings.Replace(requestLine, "/read/x", "/read/held", 1)
	for name, text := range map[string]string{
		"incomplete":        requestLine + shortLines(headLimit-rest),
		"distinct names":    requestLine + distinctLines(headLimit-rest),
		"body awaited":      requestLine + shortLines(headLimit-rest) + "Content-Length: 10\r\n\r\n",
		"chunks awaited":    requestLine + distinctLines(headLimit-rest) + "Transfer-Encoding: chunked\r\n\r\n",
		"response awaited":  held + shortLines(headLimit-rest) + "\r\n",
		"names awaited":     held + distinctLines(headLimit-rest) + "\r\n",
		"list of options":   held + "Connection: " + strings.Repeat("a,", (headLimit-rest)/2) + "\r\n\r\n",
		"list of parts":     held + "X-Prompt-Prefix: " + strings.Repeat("1:1,", (headLimit-rest)/4) + "\r\n\r\n",
		"pipelined":         requestLine + "\r\n" + strings.Repeat(requestLine+shortLines(headLimit-rest)+"\r\n", 2),
		"trailer awaited":   requestLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortLines(3000),
		"chunk extensions":  requestLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 3000)+"\r\na\r\n", 3),
		"list of transfers": requestLine + "Transfer-Encoding: " + strings.Repeat("a,", (headLimit-rest)/2) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRoutedSite(t, 0, 0, "-body-memory", bodyMemory)
			crowd(t, s.callerAddr, legalHeadClients, text)
			eventually(t, "an ordinary answer", s.ask)
			checkProcess(t, s.entry, entryMemory, 4100)
		})
	}
}

// TestOddHeadsAreServed guards against the refusal of a request within the limit for the form of its head, and
// against a head that reaches its endpoint otherwise than it was sent.
func TestOddHeadsAreServed(t *testing.T) {
	s := newRoutedSite(t, 0, 0, "-body-memory", bodyMemory)
	const rest = 200
	for name, lines := range map[string]string{
		"short lines":    shortLines(headLimit - rest),
		"distinct lines": distinctLines(headLimit - rest),
		"one long line":  "A: " + strings.Repeat("b", headLimit-rest) + "\r\n",
		"long list":      "A: " + strings.Repeat("b,", (headLimit-rest)/2) + "\r\n",
		"repeated names": strings.Repeat("A: 1\r\nB: 2\r\n", (headLimit-rest)/12),
		"folded lines":   "A: 1\r\n" + strings.Repeat(" 2\r\n", (headLimit-rest)/4),
		"empty lines":    "A: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", s.callerAddr)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(waitTimeout))
			before := ""
			if name == "empty lines" {
				before = strings.Repeat("\r\n", (headLimit-rest)/2)
			}
			_, err = io.WriteString(c, before+strings.Replace(requestLine, "POST", "GET", 1)+"Connection: close\r\n"+lines+"\r\n")
			is.NoErr(err)
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
				t.Fatalf("the answer is %.300s", answer)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for name, want := range parseLines(lines) {
				is.Equal(s.lastHeader[name], want)
			}
		})
	}
}

// parseLines returns the fields in lines, by canonical name.
func parseLines(lines string) http.Header {
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
	header := http.Header{}
	if r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request))); err == nil {
		header = r.Header
	}
	return header
}

// TestHeadsAtControl guards against heads that take the memory of a control replica, on the listener for the
// platform's calls and on the one for metrics.
func TestHeadsAtControl(t *testing.T) {
	line := "PUT /lilackeel/instances/x HTTP/1.1\r\nHost: h\r\n"
	for name, text := range largeHeads(line) {
		t.Run(name, func(t *testing.T) {
			s := newRoutedSite(t, 0, 0)
			for _, addr := range []string{s.platformAddr, s.controlAdmin} {
				crowd(t, addr, largeHeadClients, text)
				eventually(t, "an ordinary answer", s.askControl)
				checkProcess(t, s.control, controlMemory, 4096)
			}
		})
	}
}

// TestBodiesAtControl guards against large documents, whole or not, that take the memory of a control replica
// together.
func TestBodiesAtControl(t *testing.T) {
	for name, put := range map[string]string{
		"configuration": "PUT /lilackeel/config HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(documentSize+1) + "\r\n\r\n",
		"chunks":        "PUT /lilackeel/config HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(documentSize+1, 16) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRoutedSite(t, 0, 0)
			crowd(t, s.platformAddr, documentClients, put+`{"x":"`+strings.Repeat("x", documentSize-6))
			eventually(t, "an ordinary answer", s.askControl)
			checkProcess(t, s.control, controlMemory, 4096)
		})
	}
}

// TestIdleConnections guards against idle connections, with or without the beginning of a request, that take
// all descriptors of a process, so that ordinary callers are not accepted.
func TestIdleConnections(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "half a request": "GET /read/x HT"} {
		t.Run(name, func(t *testing.T) {
			s := newRoutedSite(t, fileLimit, fileLimit, "-body-memory", bodyMemory)
			crowd(t, s.callerAddr, idleClients, text)
			eventually(t, "an ordinary answer", s.ask)
			checkProcess(t, s.entry, entryMemory, fileLimit)
			crowd(t, s.readyAddr, idleClients, text)
			eventually(t, "the readiness", s.askReady)
			crowd(t, s.adminOf, idleClients, text)
			eventually(t, "an answer of the admin listener", func() error { return checkReady(s.adminOf) })
			eventually(t, "an ordinary answer", s.ask)
			checkProcess(t, s.entry, entryMemory, fileLimit)
			crowd(t, s.platformAddr, idleClients, text)
			crowd(t, s.controlAddr, idleClients, text)
			crowd(t, s.controlAdmin, idleClients, text)
			eventually(t, "an ordinary answer of control", s.askControl)
			checkProcess(t, s.control, controlMemory, fileLimit)
		})
	}
}

// TestHeadsAtCompletions guards against heads that take the memory of an entry with the completions API.
func TestHeadsAtCompletions(t *testing.T) {
	s := newSite(t, "-body-memory", bodyMemory, "-max-headers", strconv.Itoa(headLimit))
	line := "POST /desk/swaps HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + workspaceKey + "\r\n"
	for _, text := range largeHeads(line) {
		crowd(t, s.entryAddrs[0], largeHeadClients, text)
	}
	s.awaitServing(t)
	checkProcess(t, s.entryProcs[0], entryMemory, 4100)
	crowd(t, s.entryAddrs[0], legalHeadClients, line+shortLines(headLimit-400)+"Content-Length: 10\r\n\r\n")
	s.awaitServing(t)
	checkProcess(t, s.entryProcs[0], entryMemory, 4100)
}

// TestHeaderListsOverHTTP2 guards against header lists that are short on the wire and long once decoded, taking
// the memory of an entry, an agent or a control replica.
func TestHeaderListsOverHTTP2(t *testing.T) {
	s := newSite(t, "-body-memory", bodyMemory, "-max-headers", strconv.Itoa(headLimit))
	for _, target := range []struct {
		addr   string
		path   string
		p      *process
		memory int64
	}{
		{s.entryAddrs[0], "/desk/swaps", s.entryProcs[0], entryMemory},
		{s.agentAddrs[0], "/lilackeel.agent.v1.Agent/Unknown", s.agentProcs[0], agentMemory},
		{s.controlAddrs[0], "/lilackeel.control.v1.Control/Unknown", s.controlProcs[0], controlMemory},
	} {
		for _, ended := range []bool{true, false} {
			crowdFunc(t, target.addr, largeHeadClients, func(c net.Conn) { writeHeaderLists(c, target.path, ended) })
			s.awaitServing(t)
			checkProcess(t, target.p, target.memory, 4100)
		}
	}
}

// writeHeaderLists opens many streams on an HTTP/2 connection, each with a header list of fields that take one
// byte on the wire. If ended is false, the last header block stays incomplete.
func writeHeaderLists(c net.Conn, path string, ended bool) {
	const streams, fields = 100, 1500
	go func() { _, _ = io.Copy(io.Discard, c) }()
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		return
	}
	framer := http2.NewFramer(c, nil)
	_ = framer.WriteSettings()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for i := range streams {
		block.Reset()
		for _, field := range [][2]string{
			{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "h"},
			{"content-type", "application/grpc"}, {"authorization", "Bearer " + workspaceKey},
		} {
			_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		for range fields {
			_ = encoder.WriteField(hpack.HeaderField{Name: "a", Value: ""})
		}
		last := !ended && i == streams-1
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: block.Bytes(), EndHeaders: !last}) != nil {
			return
		}
		for last && framer.WriteContinuation(uint32(2*i+1), false, bytes.Repeat([]byte{0x80 | 62}, 8<<10)) == nil {
		}
	}
}

// TestIdleConnectionsAtAgent guards against idle connections that take all descriptors of an agent, so that an entry
// that has just started cannot reach it.
func TestIdleConnectionsAtAgent(t *testing.T) {
	s := newStoppedSite(t, replicas)
	s.agentFiles = fileLimit
	s.startAll(t)
	for i := range hosts {
		s.agentProcs[1-i].signal(syscall.SIGSTOP) // leaves one agent to serve
		crowd(t, s.agentAddrs[i], idleClients, "")
		s.entryProcs[0].kill()
		s.entryProcs[0].run(t)
		s.awaitServing(t)
		checkProcess(t, s.agentProcs[i], agentMemory, fileLimit)
		s.agentProcs[1-i].signal(syscall.SIGCONT)
	}
}
