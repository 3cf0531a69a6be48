package outlier

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultMaxEjected is the default of Config.MaxEjected: a third.
	DefaultMaxEjected = 1.0 / 3
	// DefaultMinSamples is the default of Config.MinSamples.
	DefaultMinSamples = 8
	// DefaultSlowRatio is the default of Config.SlowRatio.
	DefaultSlowRatio = 2.0
	// DefaultStdDevFactor is the default of Config.StdDevFactor.
	DefaultStdDevFactor = 3.0
	// DefaultFailureExcess is the default of Config.FailureExcess.
	DefaultFailureExcess = 0.4
	// DefaultConsecutiveBad is the default of Config.ConsecutiveBad.
	DefaultConsecutiveBad = 3
	// DefaultBaseEjectionTime is the default of Config.BaseEjectionTime.
	DefaultBaseEjectionTime = 10 * time.Second
	// DefaultMaxEjectionTime is the default of Config.MaxEjectionTime.
	DefaultMaxEjectionTime = 5 * time.Minute
	// DefaultSlowStart is the default of Config.SlowStart.
	DefaultSlowStart = 15 * time.Second
)

// Config configures a Detector. The zero value selects the defaults.
type Config struct {
	// MaxEjected is the largest share of a peer set that may be ejected, between
	// 0 and 1; the number of endpoints is rounded down.
	MaxEjected float64
	// MinSamples is the number of samples required for a verdict.
	MinSamples int
	// SlowRatio is the multiple of the peers' median latency above which an
	// endpoint is slow. It must also exceed the limit set by StdDevFactor.
	SlowRatio float64
	// StdDevFactor is the number of standard deviations above the peers' median
	// at which an endpoint is slow. It applies to the logarithm of the latency;
	// the standard deviation is estimated from the median absolute deviation.
	StdDevFactor float64
	// FailureExcess is the amount by which an endpoint's share of failed samples
	// must exceed the peers' median share for a bad verdict.
	FailureExcess float64
	// ConsecutiveBad is the number of consecutive bad verdicts after which an
	// endpoint is ejected; during slow start one is enough.
	ConsecutiveBad int
	// BaseEjectionTime is the duration of the first ejection. Each consecutive
	// ejection lasts twice as long as the one before, up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// SlowStart is the time over which a returning endpoint regains its full share.
	SlowStart time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxEjected, DefaultMaxEjected)
	setDefault(&c.MinSamples, DefaultMinSamples)
	setDefault(&c.SlowRatio, DefaultSlowRatio)
	setDefault(&c.StdDevFactor, DefaultStdDevFactor)
	setDefault(&c.FailureExcess, DefaultFailureExcess)
	setDefault(&c.ConsecutiveBad, DefaultConsecutiveBad)
	setDefault(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	setDefault(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	setDefault(&c.SlowStart, DefaultSlowStart)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Detector detects endpoints that are outliers among their peers.
type Detector struct {
	mu       sync.RWMutex
	config   Config
	members  map[string]*member
	sets     map[string]*peerSet
	setNames []string
}

// peerSet is a set of comparable endpoints.
type peerSet struct {
	members []*member
}

// New returns an empty detector.
func New(cfg Config) *Detector {
	return &Detector{
		config:  cfg.withDefaults(),
		members: map[string]*member{},
		sets:    map[string]*peerSet{},
	}
}

// Observe adds a sample of endpoint id in the given peer set. The peer set of a
// rank is its group; that of a stand-alone endpoint is its pool and model.
func (d *Detector) Observe(_ time.Duration, peers, id string, s Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.member(peers, id).add(s)
}

// Tick evaluates the endpoints that have enough samples and ends ejections whose
// time has passed. It should be called about once per second.
func (d *Detector) Tick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.setNames {
		d.evaluate(now, d.sets[name])
	}
}

// Share returns the share of its normal traffic that the endpoint may receive: 0
// while it is ejected, rising to 1 during slow start, otherwise 1.
func (d *Detector) Share(now time.Duration, id string) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m := d.members[id]
	if m == nil {
		return 1
	}
	return m.share(now, d.config.SlowStart)
}

// Ejections returns how often the endpoint has been ejected since the last call
// of Forget for it.
func (d *Detector) Ejections(id string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if m := d.members[id]; m != nil {
		return m.totalEjections
	}
	return 0
}

// Forget discards the state of an endpoint that has left the table.
func (d *Detector) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.members[id]; m != nil {
		d.removeMember(m)
	}
}

// member returns the member for the endpoint in the peer set, creating it if
// necessary. A member of another peer set is replaced by a new one.
func (d *Detector) member(peers, id string) *member {
	m := d.members[id]
	if m != nil && m.peers == peers {
		return m
	}
	if m != nil {
		d.removeMember(m)
	}
	m = &member{id: id, peers: peers}
	d.members[id] = m
	set := d.sets[peers]
	if set == nil {
		set = &peerSet{}
		d.sets[peers] = set
		d.setNames = append(d.setNames, peers)
	}
	set.members = append(set.members, m)
	return m
}

// removeMember removes a member from its peer set, and deletes the set if it is
// then empty.
func (d *Detector) removeMember(m *member) {
	delete(d.members, m.id)
	set := d.sets[m.peers]
	set.members = slices.DeleteFunc(set.members, func(o *member) bool { return o == m })
	if len(set.members) > 0 {
		return
	}
	delete(d.sets, m.peers)
	d.setNames = slices.DeleteFunc(d.setNames, func(name string) bool { return name == m.peers })
}

// evaluate gives a verdict on each member of the set that has enough samples.
func (d *Detector) evaluate(now time.Duration, set *peerSet) {
	for _, m := range set.members {
		for i := range m.stats {
			m.stats[i].closeWindow(d.config.MinSamples)
		}
		m.expire(now)
	}
	for from := range sources {
		d.evaluateSource(now, set, from)
	}
}

// evaluateSource gives the verdicts on the samples of one source.
func (d *Detector) evaluateSource(now time.Duration, set *peerSet, from source) {
	base := set.baseline(from)
	for _, m := range set.members {
		t := &m.stats[from]
		if !t.pending {
			continue
		}
		t.pending = false
		d.applyVerdict(now, set, m, from, d.isOutlier(t, base))
	}
}

// isOutlier reports whether the last window deviates from the baseline.
func (d *Detector) isOutlier(t *sampleStats, base baseline) bool {
	if t.failureShare > base.failureShare+d.config.FailureExcess {
		return true
	}
	if !t.hasLatency || base.timedMembers < minPeers {
		return false
	}
	margin := max(math.Log(d.config.SlowRatio), d.config.StdDevFactor*base.stdDev)
	return t.latency > base.latency+margin
}

// applyVerdict applies a verdict to the member, which may eject it.
func (d *Detector) applyVerdict(now time.Duration, set *peerSet, m *member, from source, bad bool) {
	if !bad {
		m.recordGood(now, d.config.SlowStart, from)
		return
	}
	consecutiveBad := &m.stats[from].consecutiveBad
	*consecutiveBad++
	if m.ejected {
		// Still bad according to its reports: extend the ejection.
		m.ejectedUntil = max(m.ejectedUntil, now+d.config.BaseEjectionTime)
		return
	}
	if *consecutiveBad < d.config.ConsecutiveBad && !m.returning(now, d.config.SlowStart) {
		return
	}
	if !set.mayEject(d.config.MaxEjected) {
		return
	}
	m.eject(now, d.config.BaseEjectionTime, d.config.MaxEjectionTime)
}

// mayEject reports whether one more ejection keeps the ejected share within share.
func (s *peerSet) mayEject(share float64) bool {
	ejected := 0
	for _, m := range s.members {
		if m.ejected {
			ejected++
		}
	}
	const rounding = 1e-9
	return float64(ejected+1) <= share*float64(len(s.members))+rounding
}
