package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// faultKind is a fault injected into a daemon or into a connection between daemons.
type faultKind string

const (
	// stopped daemons get SIGTERM, killed ones SIGKILL, and both are restarted; frozen ones get
	// SIGSTOP and later SIGCONT.
	stopped faultKind = "stop"
	killed  faultKind = "kill"
	frozen  faultKind = "freeze"
	// partitioned forwarders hold back data, in one or both directions, and deliver it late; a
	// reset closes all connections of a forwarder.
	partitioned faultKind = "mute"
	reset       faultKind = "break"
	// diskLost kills the replica and restarts it with an empty disk. It always affects the last
	// replica, because the site is designed to survive the loss of one disk.
	diskLost faultKind = "wipe"
)

// plannedFault is one fault of a plan.
type plannedFault struct {
	at   time.Duration
	kind faultKind
	// target is the index of a daemon or of a forwarder.
	target   int
	duration time.Duration
}

// faultPlan is a series of faults that is determined by a seed.
type faultPlan []plannedFault

// faultFreeTime is the time without faults at the end of a plan.
const faultFreeTime = 3 * time.Second

// newPlan distributes faults over the duration: only graceful stops in its first third, then
// all kinds. There is one fault per second on average; faults overlap, and now and then several
// start at the same moment.
func newPlan(seed uint64, daemons, forwarders int, duration time.Duration) faultPlan {
	rng := rand.New(rand.NewPCG(seed, 7))
	var p faultPlan
	for at := time.Second; at < duration-faultFreeTime; at += time.Duration(rng.IntN(2000)) * time.Millisecond {
		kinds := []faultKind{stopped, killed, killed, frozen, frozen, partitioned, partitioned, reset, diskLost}
		count := 1
		if at < duration/3 {
			kinds = kinds[:1]
		} else if rng.IntN(6) == 0 {
			count = 1 + rng.IntN(daemons)
		}
		for range count {
			f := plannedFault{at: at, kind: kinds[rng.IntN(len(kinds))], duration: time.Duration(100+rng.IntN(2400)) * time.Millisecond}
			f.target = rng.IntN(daemons)
			switch f.kind {
			case partitioned, reset:
				f.target = rng.IntN(forwarders)
			case diskLost:
				f.target = daemons - 1
			}
			p = append(p, f)
		}
	}
	return p
}

func (p faultPlan) String() string {
	var text strings.Builder
	for _, f := range p {
		fmt.Fprintf(&text, "%v %s %d for %v; ", f.at, f.kind, f.target, f.duration)
	}
	return text.String()
}

// inject carries out one fault on a forwarder.
func (f *forwarder) inject(fault plannedFault) {
	if fault.kind == reset {
		f.reset()
		return
	}
	partitions := [...]partition{fullPartition, {up: true}, {down: true}}
	f.partition(anyProcess, partitions[int(fault.duration/time.Millisecond)%len(partitions)])
	time.Sleep(fault.duration)
	f.heal()
}

// inject carries out one fault on a daemon and waits until it runs again.
func (p *process) inject(t *testing.T, f plannedFault) {
	switch f.kind {
	case stopped:
		p.signal(syscall.SIGTERM)
		<-p.exited
		p.run(t)
	case killed:
		p.kill()
		time.Sleep(f.duration)
		p.run(t)
	case frozen:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		p.signal(syscall.SIGCONT)
	}
}
