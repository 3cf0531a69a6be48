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
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait of these tests. No test passes or fails by how
// fast something happens within it.
const patience = 60 * time.Second

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "lilackeel-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/",
		"../cmd/lilackeel-entry", "../cmd/lilackeel-agent", "../cmd/lilackeel-control",
		"../cmd/standin-endpoint")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one running daemon.
type process struct {
	name   string
	args   []string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// start runs a built program until the test ends.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(t.TempDir(), name+".log")}
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

// run starts the process with its arguments, anew after a kill.
func (p *process) run(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
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

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a planned stop and returns the exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("%s did not stop", p.name)
		return -1
	}
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	const most = 6000
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-most):])
}

// Free ports are taken from below those that the system gives to outgoing
// connections, by which a port could be lost before its daemon listens on it.
const (
	firstPort = 10000
	portRange = 22000
	// portBlock is the part of them that one process of tests takes from: two that run side by
	// side take their ports from each other while a daemon is down.
	portBlock = 2000
)

// randomPort returns a port of this process's block or, once that may be used up, any.
func randomPort() int {
	if len(given) >= portBlock/2 {
		return firstPort + rand.IntN(portRange)
	}
	block := os.Getpid() % (portRange / portBlock)
	return firstPort + block*portBlock + rand.IntN(portBlock)
}

// given are the ports that tests of this process have been given. A port is free
// again for everyone between the look for it and its daemon's start, and tests run
// side by side; so none is given twice.
var (
	givenMu sync.Mutex
	given   = map[int]bool{}
)

// ports returns n free loopback addresses.
func ports(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for _, listener := range listeners(t, n) {
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close()
	}
	return addresses
}

// listeners returns n open listeners at addresses that no test of this process has been given.
// Who listens itself keeps them open: a test of another process may take a port that is closed.
func listeners(t *testing.T, n int) []net.Listener {
	t.Helper()
	givenMu.Lock()
	defer givenMu.Unlock()
	var listeners []net.Listener
	for len(listeners) < n {
		port := randomPort()
		if given[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		given[port] = true
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners
}

// eventually waits until check returns nil.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ready returns nil when the admin address reports readiness.
func ready(admin string) error {
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
