package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the deployment: those of a small site, with fewer entries.
const (
	controlReplicas = 3
	maxFiles        = 4100
	// startLimit bounds the wait for the deployment to serve.
	startLimit = 20 * time.Second
)

// zones are the availability zones of the site.
var zones = []string{"gasan", "mokdong", "pangyo"}

// deployment is one entry and three control replicas, started as the deploy file says, each "machine"
// with a loopback address of its own and the same ports on all, as on the users' platform.
type deployment struct {
	record *record
	root   string
	folder string
	// internal and admin are the first two ports for the project's own use; control, front and
	// ready are those of the platform's calls.
	internal, admin, control, front, ready int
	controls                               []string
	entry                                  string

	mu        sync.Mutex
	processes map[string]*process
	stopped   bool
}

// process is one started program.
type process struct {
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// killed is set if the stand-in for the platform has killed it.
	killed bool
}

// startDeployment starts the processes. The caller must stop it.
func startDeployment(root string, r *record) (*deployment, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, root: root, folder: folder, processes: map[string]*process{}, entry: "127.0.0.21"}
	for i := range controlReplicas {
		d.controls = append(d.controls, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	if err := d.choosePorts(); err != nil {
		d.stop()
		return nil, err
	}
	for i, ip := range d.controls {
		if err := d.start("control", ip, zones[i%len(zones)], true); err != nil {
			d.stop()
			return nil, err
		}
	}
	if err := d.start("entry", d.entry, zones[0], true); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// choosePorts chooses ports that are free at all addresses of the deployment.
func (d *deployment) choosePorts() error {
	for _, port := range []*int{&d.internal, &d.admin, &d.control, &d.front, &d.ready} {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// start starts the program of a role with its template of settings, filled in as the platform does.
// first is set if the whole system starts for the first time.
func (d *deployment) start(role, ip, zone string, first bool) error {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".settings"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, control := range d.controls {
		seeds = append(seeds, net.JoinHostPort(control, strconv.Itoa(d.control)))
	}
	data := d.dataDir(ip)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	settings := strings.NewReplacer(
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(zones, ","),
		"{{ip}}", ip, "{{zone}}", zone, "{{nodeName}}", role+"-"+ip, "{{seeds}}", strings.Join(seeds, ","),
		"{{internalPortRange.0}}", strconv.Itoa(d.internal), "{{internalPortRange.1}}", strconv.Itoa(d.admin),
		"{{listen.control}}", net.JoinHostPort(ip, strconv.Itoa(d.control)),
		"{{listen.front}}", net.JoinHostPort(ip, strconv.Itoa(d.front)),
		"{{listen.ready}}", net.JoinHostPort(ip, strconv.Itoa(d.ready)),
		"{{dataDir}}", data, "{{bootstrap}}", strconv.FormatBool(first), "{{faultTolerance.machines}}", "1",
		"{{limits.maxFds}}", strconv.Itoa(maxFiles),
	).Replace(string(text))
	if strings.Contains(settings, "{{") {
		return fmt.Errorf("deploy/%s.settings has a placeholder that this stand-in does not know", role)
	}
	file := filepath.Join(d.folder, role+"-"+ip+".settings")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, role+"-"+ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(d.root, "target", "lilackeel-platform"), role)
	command.Dir = d.root
	command.Env = []string{"LILACKEEL_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	d.mu.Lock()
	d.processes[role+"-"+ip] = p
	stopped := d.stopped
	d.mu.Unlock()
	if stopped {
		_ = command.Process.Kill()
		<-p.ended
		return errors.New("the deployment has been stopped")
	}
	d.record.note("started %s at %s", role, ip)
	return nil
}

// dataDir returns the folder of a control replica's disk.
func (d *deployment) dataDir(ip string) string { return filepath.Join(d.folder, "data-"+ip) }

// diskBytes returns how much a control replica's disk holds.
func (d *deployment) diskBytes(ip string) int64 {
	var total int64
	files, err := os.ReadDir(d.dataDir(ip))
	if err != nil {
		return 0
	}
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// allRunning reports whether no process has ended, other than one that the platform's stand-in killed.
func (d *deployment) allRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		select {
		case <-p.ended:
			if !p.killed {
				return false
			}
		default:
		}
	}
	return true
}

// hasEnded reports whether a process has ended.
func (d *deployment) hasEnded(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.processes[name].ended:
		return true
	default:
		return false
	}
}

// kill kills a process, as the platform does.
func (d *deployment) kill(name string) {
	d.mu.Lock()
	p := d.processes[name]
	p.killed = true
	d.mu.Unlock()
	_ = p.command.Process.Kill()
	<-p.ended
}

// pid returns the process id of a process.
func (d *deployment) pid(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name].command.Process.Pid
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return
	}
	d.stopped = true
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// call makes one call to a control replica's address for the platform.
func (d *deployment) call(ip, method, path string, body []byte, limit time.Duration) (status int, err error) {
	status, _, err = d.exchange(ip, method, path, body, limit)
	return status, err
}

// read reads the configuration from a control replica.
func (d *deployment) read(ip string) (status int, text []byte, err error) {
	return d.exchange(ip, http.MethodGet, "/lilackeel/config", nil, time.Second)
}

func (d *deployment) exchange(ip, method, path string, body []byte, limit time.Duration) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(d.control)) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// publish sends a configuration to any replica until it is confirmed.
func (d *deployment) publish(configuration map[string]any) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, ip := range d.controls {
			status, err := d.call(ip, http.MethodPut, "/lilackeel/config", body, 3*time.Second)
			if err == nil && status == http.StatusOK {
				d.record.note("configuration %v confirmed by %s", configuration["version"], ip)
				return nil
			}
		}
	}
	return errors.New("the configuration was not confirmed in time")
}

// awaitReady waits until the entry says that it is ready.
func (d *deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	url := "http://" + net.JoinHostPort(d.entry, strconv.Itoa(d.ready)) + "/lilackeel/readyz"
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.record.note("the entry is ready")
			return nil
		}
	}
	return errors.New("the entry did not become ready in time")
}

// The names of the configuration that the cases use.
const (
	routeHost  = "lockers.example"
	oncePrefix = "/open/"
	serviceKey = "key-of-the-consumer"
	tenantName = "tenant-a"
	service    = "locker-app"
)

// siteConfiguration returns a configuration with one route to one plain service, whose requests must
// run at most once.
func siteConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "door-open", "host": routeHost, "pathPrefix": oncePrefix, "kind": "non_idempotent",
			"timeoutMs": 8000, "targetLatencyMs": 2000, "priority": 2, "service": service, "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConnections": 258, "protocol": "h1", "tls": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{serviceKey}, "priority": 1}},
	}
}

// maxBodyBytes is the limit that the configuration sets on bodies, the site's own.
const maxBodyBytes = 4 << 20

// context returns the context of the stand-ins, which has no end of its own: the case's time limit
// ends the process.
func (d *deployment) context() context.Context { return context.Background() }
