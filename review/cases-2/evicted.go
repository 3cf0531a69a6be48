package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["evicted"] = evicted }

// Times of the bounds, with a margin.
const (
	// catchUp is catchUpS, 4 s, and a margin.
	catchUp = 6 * time.Second
	// recovery is recoverS, 12 s, and a margin.
	recovery = 18 * time.Second
)

// standsStill is how long a core machine stands still; the site has 4 s.
const standsStill = 4 * time.Second

// evicted replaces one of three core machines by a new one, as planned work: the new machine first, and the
// SIGTERM of the old one much later. In between, with trouble, another core machine stands still for some
// seconds. Later, when all is calm, a configuration is acknowledged and then one core machine loses its disk.
// At the end the operator reads the configuration back. Never are two machines lost at once.
func evicted(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	front, err := d.startSmall(ctx, smallConfiguration(1), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
	if err != nil {
		return false, err
	}
	leaves, loses, stands := d.machines[0], d.machines[1], d.machines[2]
	added := d.add("control", 5)
	added.bootstrap = false
	if err := d.start(added); err != nil {
		return false, err
	}
	sleep(ctx, catchUp)
	if trouble {
		d.signal(stands, syscall.SIGSTOP)
	}
	sleep(ctx, standsStill)
	if trouble {
		d.signal(stands, syscall.SIGCONT)
	}
	sleep(ctx, catchUp)
	d.terminate(leaves)
	sleep(ctx, catchUp)
	present := []*machine{loses, stands, added}
	if !publish(ctx, d.record, present, smallConfiguration(2)) {
		return false, errNotRun
	}
	for _, m := range present {
		readBack(ctx, d.record, m)
	}
	d.kill(loses)
	if err := d.loseDisk(loses); err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	if err := d.start(loses); err != nil {
		return false, err
	}
	sleep(ctx, recovery)
	served := serveSome(ctx, d, front)
	return !awaitVersion(ctx, d.record, present, 2) || !served, ctx.Err()
}

// smallConfiguration returns a configuration with one route.
func smallConfiguration(version int) *configuration {
	return &configuration{
		Version: version, Limits: usualLimits,
		Services: []service{{Name: "app", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1"}},
		Routes: []route{{
			Name: "r", Host: "a.example", PathPrefix: "/p/", Kind: "idempotent", TimeoutMS: 1000, TargetLatencyMS: 150,
			Service: "app", MaxAttempts: 2,
		}},
	}
}

// readBack reads the configuration at one machine and returns its version, or 0 without an answer.
func readBack(ctx context.Context, r *record, m *machine) int {
	status, text := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/lilackeel/config", controlAddress(m)), nil)
	var c configuration
	if status == http.StatusOK && json.Unmarshal([]byte(text), &c) == nil {
		r.add("%s reads back version %d", m.name, c.Version)
		return c.Version
	}
	r.add("%s answers the read with %d %.100s", m.name, status, text)
	return 0
}

// awaitVersion reads the configuration at all machines for 20 s and reports whether one returns the version.
func awaitVersion(ctx context.Context, r *record, machines []*machine, version int) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Second) {
		for _, m := range machines {
			if readBack(ctx, r, m) == version {
				return true
			}
		}
	}
	return false
}
