package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// faultKind is what is done to a daemon, or to a link between daemons, from outside.
type faultKind string

const (
	// stopped daemons get SIGTERM and start again, killed ones SIGKILL, frozen ones SIGSTOP and
	// later SIGCONT.
	stopped faultKind = "stop"
	killed  faultKind = "kill"
	frozen  faultKind = "freeze"
	// muted links hold back what is sent, one way or both, and let it pass late; on broken
	// links all connections end.
	muted  faultKind = "mute"
	broken faultKind = "break"
	// wiped replicas are killed and start again with an empty disk. It is the last one each time:
	// the site is made to bear the loss of one disk.
	wiped faultKind = "wipe"
)

// plannedFault is one fault of a plan.
type plannedFault struct {
	at   time.Duration
	kind faultKind
	// target is the number of a daemon, or of a link.
	target int
	length time.Duration
}

// plan is a series of faults, made from a seed alone.
type plan []plannedFault

// quietTime is the time without faults at the end of a plan.
const quietTime = 3 * time.Second

// newPlan spreads faults over a time: planned stops alone in its first third, then everything,
// a fault each second in the mean, overlapping, now and then several at the same moment.
func newPlan(seed uint64, daemons, links int, length time.Duration) plan {
	rng := rand.New(rand.NewPCG(seed, 7))
	var p plan
	for at := time.Second; at < length-quietTime; at += time.Duration(rng.IntN(2000)) * time.Millisecond {
		kinds := []faultKind{stopped, killed, killed, frozen, frozen, muted, muted, broken, wiped}
		together := 1
		if at < length/3 {
			kinds = kinds[:1]
		} else if rng.IntN(6) == 0 {
			together = 1 + rng.IntN(daemons)
		}
		for range together {
			f := plannedFault{at: at, kind: kinds[rng.IntN(len(kinds))], length: time.Duration(100+rng.IntN(2400)) * time.Millisecond}
			f.target = rng.IntN(daemons)
			switch f.kind {
			case muted, broken:
				f.target = rng.IntN(links)
			case wiped:
				f.target = daemons - 1
			}
			p = append(p, f)
		}
	}
	return p
}

func (p plan) String() string {
	var text strings.Builder
	for _, f := range p {
		fmt.Fprintf(&text, "%v %s %d for %v; ", f.at, f.kind, f.target, f.length)
	}
	return text.String()
}

// harmed carries out one fault on a link.
func (f *forwarder) harmed(fault plannedFault) {
	if fault.kind == broken {
		f.reset()
		return
	}
	ways := [...]cut{bothWays, {up: true}, {down: true}}
	f.cut(anyone, ways[int(fault.length/time.Millisecond)%len(ways)])
	time.Sleep(fault.length)
	f.heal()
}

// harmed carries out one fault on a daemon, until it runs again.
func (p *process) harmed(t *testing.T, f plannedFault) {
	switch f.kind {
	case stopped:
		p.signal(syscall.SIGTERM)
		<-p.exited
		p.run(t)
	case killed:
		p.kill()
		time.Sleep(f.length)
		p.run(t)
	case frozen:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.length)
		p.signal(syscall.SIGCONT)
	}
}
