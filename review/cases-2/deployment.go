package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the deployment, the same on all machines, as on the platform. They are chosen by choosePorts.
var controlPort, frontPort, readyPort, internalPort, adminPort, serverPort int

// The ports are chosen below those that the system gives to outgoing connections.
const firstPort, lastPort = 20000, 29999

// choosePorts chooses ports that no process listens on, at any address.
func choosePorts() error {
	taken := map[int]bool{}
	for _, port := range []*int{&controlPort, &frontPort, &readyPort, &internalPort, &adminPort, &serverPort} {
		for range 1000 {
			candidate := firstPort + rand.IntN(lastPort-firstPort+1)
			listener, err := net.Listen("tcp4", ":"+strconv.Itoa(candidate))
			if err != nil {
				continue
			}
			_ = listener.Close()
			if !taken[candidate] {
				taken[candidate], *port = true, candidate
				break
			}
		}
		if *port == 0 {
			return errNotRun
		}
	}
	return nil
}

// program is the program that plays each role of the deploy file.
const program = "target/lilackeel-platform"

// machine is one machine of the deployment with the process of its role.
type machine struct {
	name, role, ip, zone string
	// bootstrap is the field of the settings with that name.
	bootstrap bool
	process   *exec.Cmd
	ended     chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder   string
	network  string
	seeds    []string
	record   *record
	mu       sync.Mutex
	machines []*machine
}

// newDeployment returns a deployment without machines. Its addresses are 127.X.Y.*, where X and Y are
// derived from the process id, so that two cases do not meet.
func newDeployment(r *record) (*deployment, error) {
	if err := choosePorts(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lilackeel-case-")
	if err != nil {
		return nil, err
	}
	var pid [4]byte
	binary.BigEndian.PutUint32(pid[:], uint32(os.Getpid()))
	network := fmt.Sprintf("127.%d.%d.", 64+int(pid[2])%128, pid[3])
	return &deployment{folder: folder, network: network, record: r}, nil
}

// address returns the loopback address with the given last number.
func (d *deployment) address(last int) string { return d.network + strconv.Itoa(last) }

// add adds a machine without starting its process.
func (d *deployment) add(role string, last int) *machine {
	m := &machine{name: fmt.Sprintf("%s-%d", role, last), role: role, ip: d.address(last), zone: "z" + strconv.Itoa(last%3+1), bootstrap: true}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machines = append(d.machines, m)
	if role == "control" && len(d.seeds) < 3 {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return m
}

// dataDir returns the folder that stands for the disk of a machine.
func (d *deployment) dataDir(m *machine) string { return filepath.Join(d.folder, m.name, "disk") }

// settings fills in the template of a machine's role as the platform does.
func (d *deployment) settings(m *machine) (string, error) {
	template, err := os.ReadFile("deploy/" + m.role + ".settings")
	if err != nil {
		return "", err
	}
	values := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{ip}}", m.ip, "{{zone}}", m.zone,
		"{{#zones}}{{@}}{{,}}{{/zones}}", "z1,z2,z3",
		"{{internalPortRange.0}}", strconv.Itoa(internalPort), "{{internalPortRange.1}}", strconv.Itoa(adminPort),
		"{{dataDir}}", d.dataDir(m), "{{seeds}}", strings.Join(d.seeds, ","),
		"{{listen.control}}", fmt.Sprintf("%s:%d", m.ip, controlPort),
		"{{listen.front}}", fmt.Sprintf("%s:%d", m.ip, frontPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", m.ip, readyPort),
		"{{bootstrap}}", strconv.FormatBool(m.bootstrap), "{{faultTolerance.machines}}", "1", "{{limits.maxFds}}", "4100",
	)
	text := values.Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("deploy/%s.settings has a placeholder that this stand-in does not know", m.role)
	}
	return text, nil
}

// start starts the process of a machine with its present settings.
func (d *deployment) start(m *machine) error {
	if err := os.MkdirAll(d.dataDir(m), 0o755); err != nil {
		return err
	}
	text, err := d.settings(m)
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, m.name, "node.settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LILACKEEL_SETTINGS=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	m.process, m.ended = command, ended
	d.record.add("started %s at %s (bootstrap %t)", m.name, m.ip, m.bootstrap)
	return nil
}

// kill ends the process of a machine at once and waits for its end.
func (d *deployment) kill(m *machine) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
	m.process = nil
	d.record.add("killed %s", m.name)
}

// terminate sends SIGTERM to the process of a machine and waits for its end, for graceS at most.
func (d *deployment) terminate(m *machine) {
	d.signal(m, syscall.SIGTERM)
	select {
	case <-m.ended:
		m.process = nil
		d.record.add("%s has ended", m.name)
	case <-time.After(8 * time.Second):
		d.kill(m)
	}
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	_ = m.process.Process.Signal(s)
	d.record.add("sent %s to %s", s, m.name)
}

// loseDisk empties the disk of a machine whose process does not run. Its next start has the field
// bootstrap false.
func (d *deployment) loseDisk(m *machine) error {
	m.bootstrap = false
	d.record.add("%s lost its disk", m.name)
	return os.RemoveAll(d.dataDir(m))
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		d.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes one line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
