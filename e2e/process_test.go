package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait in these tests. It is long because no test depends on how fast
// something happens.
const waitTimeout = 60 * time.Second

// binDir is the directory of the built programs.
var binDir string

// maxFilesVariable makes the test binary start a program with that many descriptors.
const maxFilesVariable = "E2E_MAX_FILES"

func TestMain(m *testing.M) {
	if limit, err := strconv.ParseUint(os.Getenv(maxFilesVariable), 10, 32); err == nil {
		runWithMaxFiles(limit, os.Args[1:])
	}
	os.Exit(buildAndRun(m))
}

// runWithMaxFiles replaces this process by a program that may open at most limit descriptors.
func runWithMaxFiles(limit uint64, args []string) {
	err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
	if err == nil {
		err = syscall.Exec(args[0], args, os.Environ())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lilackeel-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/",
		"../cmd/lilackeel-entry", "../cmd/lilackeel-agent", "../cmd/lilackeel-control",
		"../cmd/lilackeel-platform", "../cmd/standin-endpoint")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one daemon process.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  string
	// maxFiles limits the descriptors of the process if it is not zero.
	maxFiles int
	exited   chan struct{}
}

// startProcess runs a built program until the test ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	return startProcessWithFiles(t, name, 0, program, args...)
}

// startProcessWithFiles is startProcess for a program that may open at most maxFiles descriptors; zero is
// no limit.
func startProcessWithFiles(t *testing.T, name string, maxFiles int, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(t.TempDir(), name+".log"), maxFiles: maxFiles}
	p.run(t)
	t.Cleanup(func() {
		p.kill()
		p.checkLog(t)
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// run starts the process with its arguments. It is also used to restart it.
func (p *process) run(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	if p.maxFiles > 0 {
		p.cmd = exec.Command(os.Args[0], append([]string{p.cmd.Path}, p.args[1:]...)...)
		p.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", maxFilesVariable, p.maxFiles))
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop requests a graceful stop and returns the exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop", p.name)
		return -1
	}
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	const maxBytes = 6000
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-maxBytes):])
}

// Ports are taken from below the system's ephemeral range. Otherwise an outgoing connection
// could take a port before its daemon listens on it.
const (
	firstPort = 10000
	portRange = 22000
	// portBlock is the size of the part of the range that one test process uses. Test processes
	// that ran side by side with the same part would take each other's ports while a daemon is
	// down.
	portBlock = 2000
)

// randomPort returns a port of this process's block, or of the whole range once the block may
// be exhausted.
func randomPort() int {
	if len(allocatedPorts) >= portBlock/2 {
		return firstPort + rand.IntN(portRange)
	}
	block := os.Getpid() % (portRange / portBlock)
	return firstPort + block*portBlock + rand.IntN(portBlock)
}

// allocatedPorts are the ports that tests of this process have been given. A port is free for
// everyone between its allocation and the start of its daemon, and tests run in parallel, so no
// port is given twice.
var (
	allocatedPortsMu sync.Mutex
	allocatedPorts   = map[int]bool{}
)

// freeAddrs returns n free loopback addresses.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for _, listener := range listenOnFreePorts(t, n) {
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close()
	}
	return addresses
}

// listenOnFreePorts returns n listeners at addresses that no test of this process has been
// given. Callers that serve the addresses themselves should keep the listeners open, because a
// test of another process may take a closed port.
func listenOnFreePorts(t *testing.T, n int) []net.Listener {
	t.Helper()
	allocatedPortsMu.Lock()
	defer allocatedPortsMu.Unlock()
	var listeners []net.Listener
	for len(listeners) < n {
		port := randomPort()
		if allocatedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		allocatedPorts[port] = true
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners
}

// eventually waits until check returns nil.
func eventually(t *testing.T, label string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", label, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkReady returns nil if the daemon at the admin address reports that it is ready.
func checkReady(admin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", response.Status)
	}
	return nil
}
