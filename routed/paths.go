package routed

import (
	"math"
	"sync"
	"time"
)

// pathDelays learns, for each availability zone, how much longer parts of streams take from there
// than the passes of their groups: what the way loses and sends again. Its lock is a leaf. The zero
// value is ready.
type pathDelays struct {
	mu    sync.Mutex
	zones map[string]*pathDelay
}

// pathDelay is what is known of one zone, fading with pathMemory.
type pathDelay struct {
	// parts counts the parts, and late adds up by how much they were late, in seconds.
	parts, late float64
	at          time.Duration
}

const (
	// pathMemory is the time over which delays are measured.
	pathMemory = 3 * time.Second
	// assumedParts is how many parts in time are assumed besides those that came: a zone that gets
	// no calls any more counts as sound again after a while.
	assumedParts = 50
	// leastDelay is the delay of an answer below which calls are not taken elsewhere: uneven load
	// costs more.
	leastDelay = 20 * time.Millisecond
)

// observe takes in by how much a part of a stream was late, zero if it was not.
func (p *pathDelays) observe(zone string, now, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.zones[zone]
	if d == nil {
		if p.zones == nil {
			p.zones = map[string]*pathDelay{}
		}
		d = &pathDelay{at: now}
		p.zones[zone] = d
	}
	kept := d.kept(now)
	d.parts, d.late, d.at = d.parts*kept+1, d.late*kept+late.Seconds(), max(now, d.at)
}

// kept is the part that is left of what was counted.
func (d *pathDelay) kept(now time.Duration) float64 {
	return math.Exp(-float64(max(now-d.at, 0)) / float64(pathMemory))
}

// delays returns by how much more than leastDelay an answer of so many parts is expected to be late
// on the way, by zone.
func (p *pathDelays) delays(now time.Duration, parts float64) map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delays := make(map[string]time.Duration, len(p.zones))
	for zone, d := range p.zones {
		kept := d.kept(now)
		each := d.late * kept / (d.parts*kept + assumedParts)
		delays[zone] = max(time.Duration(parts*each*float64(time.Second))-leastDelay, 0)
	}
	return delays
}

// observePath takes in how late a part of a stream was beyond what its group takes for a pass, and
// beyond what its caller was promised.
func (a *attempt) observePath(now, pause time.Duration) {
	promised := time.Duration(a.request.route.GetGapMs()) * time.Millisecond
	if promised <= 0 || isLoose(a.group) {
		return
	}
	usual := max(promised, a.server.Groups.RecentStepTime(a.group))
	a.server.paths.observe(a.target.Zone, now, max(pause-usual, 0))
}
