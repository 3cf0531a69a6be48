package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coreMemoryMB and coreDiskMB are the memory and the disk of a core machine of the site, in MiB.
	coreMemoryMB = 280
	coreDiskMB   = 128
	// diskReserve is left free on the disks: a little more than one change takes.
	diskReserve = 1200 << 10
	// addedRoutes is the number of routes that the configuration has grown by.
	addedRoutes = 2800
	// restartDelay is the platform's delay before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// readLimit is how long the operator tries to read the configuration back: the site's recoverS
	// and connectivityWindowMs, and as much again.
	readLimit = 30 * time.Second
)

// playLogSize lets the operator change a large configuration again and again, until the disks of the
// control replicas are nearly full: every change is confirmed. With the disruption, all processes of
// the core are then killed at the same moment and are back within a second, with their disks. The
// platform's stand-in kills a process that uses more memory than its machine has, and starts it again.
// The operator reads the configuration back.
//
// The rule is broken if the configuration that was confirmed last doesn't come.
func playLogSize(d *deployment, trouble bool) (bool, error) {
	p := &corePlatform{d: d, done: make(chan struct{})}
	var watching sync.WaitGroup
	for i, ip := range d.controls {
		watching.Go(func() { p.run(ip, zones[i%len(zones)]) })
	}
	defer watching.Wait()
	defer close(p.done)
	last, err := d.fillDisks()
	if err != nil {
		return false, err
	}
	for _, ip := range d.controls {
		memory, _ := residentMB(d.pid("control-" + ip))
		d.record.note("control at %s: %.1f MiB on its disk of %d, %d MiB of memory of %d", ip, float64(d.diskBytes(ip))/(1<<20), coreDiskMB, memory, coreMemoryMB)
	}
	d.record.note("platform: killed control processes for their memory %d times until now", p.kills.Load())
	if trouble {
		d.record.note("platform: all processes of the core are killed at the same moment")
		for _, ip := range d.controls {
			d.kill("control-" + ip)
		}
	}
	version, err := d.readBack(last)
	d.record.note("platform: killed control processes for their memory %d times", p.kills.Load())
	if err != nil {
		d.record.note("operator: configuration %d was confirmed, and doesn't come: %v", last, err)
		return true, nil
	}
	d.record.note("operator: read back configuration %d", version)
	return version < last, nil
}

// largeConfiguration returns a configuration with many routes.
func largeConfiguration(version int) map[string]any {
	c := siteConfiguration()
	routes := c["routes"].([]any)
	for i := range addedRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("added-%05d", i), "host": routeHost, "pathPrefix": fmt.Sprintf("/added%05d/", i), "kind": "streaming",
			"timeoutMs": 8000 + version%10, "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2,
			"public": false, "sticky": true, "streamResume": true, "targetGapMs": 120,
		})
	}
	c["version"], c["routes"] = version, routes
	return c
}

// fillDisks publishes changes until the disks are nearly full, and returns the last confirmed version.
func (d *deployment) fillDisks() (last int, err error) {
	for version := 1; ; version++ {
		body, err := json.Marshal(largeConfiguration(version))
		if err != nil {
			return 0, err
		}
		if err := d.confirm(version, body); err != nil {
			return 0, err
		}
		if version == 1 || version%20 == 0 {
			d.record.note("operator: configuration %d of %d bytes confirmed; %.1f MiB on the disk of %s", version, len(body), float64(d.diskBytes(d.controls[0]))/(1<<20), d.controls[0])
		}
		for _, ip := range d.controls {
			if d.diskBytes(ip)+diskReserve > coreDiskMB<<20 {
				d.record.note("operator: %d changes were confirmed", version)
				return version, nil
			}
		}
	}
}

// confirm sends one configuration to any replica until it is confirmed.
func (d *deployment) confirm(version int, body []byte) error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i := range d.controls {
			ip := d.controls[(version+i)%len(d.controls)]
			if status, err := d.call(ip, http.MethodPut, "/lilackeel/config", body, 3*time.Second); err == nil && status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("configuration %d was not confirmed in time", version)
}

// readBack reads the configuration from any replica until one gives it, and returns its version.
func (d *deployment) readBack(last int) (version int, err error) {
	err = errors.New("no call was made")
	for deadline := time.Now().Add(readLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, ip := range d.controls {
			status, text, callErr := d.read(ip)
			if callErr != nil || status != http.StatusOK {
				err = fmt.Errorf("status %d, %v", status, callErr)
				continue
			}
			var document struct{ Version int }
			if err := json.Unmarshal(text, &document); err != nil {
				return 0, err
			}
			return document.Version, nil
		}
	}
	return 0, err
}

// corePlatform is the stand-in for the platform of the core machines.
type corePlatform struct {
	d     *deployment
	done  chan struct{}
	kills atomic.Int64
}

// run starts the process of one core machine again when it has ended, and kills it if it uses too much
// memory.
func (p *corePlatform) run(ip, zone string) {
	name := "control-" + ip
	for p.pause(memoryPoll) {
		if p.d.hasEnded(name) {
			if !p.pause(restartDelay) {
				return
			}
			if err := p.d.start("control", ip, zone, false); err != nil {
				p.d.record.note("platform: %s cannot be started: %v", name, err)
				return
			}
		}
		if used, ok := residentMB(p.d.pid(name)); ok && used > coreMemoryMB {
			p.d.record.note("platform: %s uses %d MiB, over its %d MiB, and is killed", name, used, coreMemoryMB)
			p.d.kill(name)
			p.kills.Add(1)
		}
	}
}

// pause waits, and returns false if the case has ended.
func (p *corePlatform) pause(d time.Duration) bool {
	select {
	case <-p.done:
		return false
	case <-time.After(d):
		return true
	}
}

// residentMB returns the resident memory of a process in MiB, the larger of the two units that a
// machine's memory may be given in.
func residentMB(pid int) (int64, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	var size, resident int64
	if _, err := fmt.Fscan(strings.NewReader(string(text)), &size, &resident); err != nil {
		return 0, false
	}
	return resident * int64(os.Getpagesize()) >> 20, true
}
