package routed

import (
	"math"
	"sync"
	"time"
)

// pathDelays estimates, for each availability zone, how much longer the gaps between chunks
// are than the step time of the group: the delay caused by packet loss and retransmission on
// the network path. No other lock is acquired while its lock is held. The zero value is ready
// for use.
type pathDelays struct {
	mu    sync.Mutex
	zones map[string]*pathDelay
}

// pathDelay is the statistics of one zone, which decay with pathDecayTime.
type pathDelay struct {
	// chunks is the number of chunks, and lateSeconds is the sum of their delays.
	chunks, lateSeconds float64
	updatedAt           time.Duration
}

const (
	// pathDecayTime is the time constant of the statistics.
	pathDecayTime = 3 * time.Second
	// priorChunks is how many chunks without delay are assumed in addition to the observed
	// ones. A zone that no longer gets calls therefore counts as healthy again after a while.
	priorChunks = 50
	// minPathDelay is the delay of a response below which calls are not sent elsewhere,
	// because uneven load costs more.
	minPathDelay = 20 * time.Millisecond
)

// observe records the delay of a chunk; zero if it was on time.
func (p *pathDelays) observe(zone string, now, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.zones[zone]
	if d == nil {
		if p.zones == nil {
			p.zones = map[string]*pathDelay{}
		}
		d = &pathDelay{updatedAt: now}
		p.zones[zone] = d
	}
	decay := d.decay(now)
	d.chunks, d.lateSeconds, d.updatedAt = d.chunks*decay+1, d.lateSeconds*decay+delay.Seconds(), max(now, d.updatedAt)
}

// decay returns the fraction of the statistics that remains at now.
func (d *pathDelay) decay(now time.Duration) float64 {
	return math.Exp(-float64(max(now-d.updatedAt, 0)) / float64(pathDecayTime))
}

// delays returns, for each zone, by how much the expected path delay of a response with the
// given number of chunks exceeds minPathDelay.
func (p *pathDelays) delays(now time.Duration, chunks float64) map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delays := make(map[string]time.Duration, len(p.zones))
	for zone, d := range p.zones {
		decay := d.decay(now)
		meanDelay := d.lateSeconds * decay / (d.chunks*decay + priorChunks)
		delays[zone] = max(time.Duration(chunks*meanDelay*float64(time.Second))-minPathDelay, 0)
	}
	return delays
}

// observePath records how late a chunk was compared to both the step time of its group and the
// gap promised to the caller.
func (a *attempt) observePath(now, gap time.Duration) {
	promised := time.Duration(a.request.route.GetGapMs()) * time.Millisecond
	if promised <= 0 || isUngrouped(a.group) {
		return
	}
	expected := max(promised, a.server.Groups.RecentStepTime(a.group))
	a.server.pathDelays.observe(a.target.Zone, now, max(gap-expected, 0))
}
