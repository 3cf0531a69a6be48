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
	// DefaultNoise is the default of Config.Noise.
	DefaultStdDevFactor = 3.0
	// DefaultFailureExcess is the default of Config.FailureExcess.
	DefaultFailureExcess = 0.4
	// DefaultStrikes is the default of Config.Strikes.
	DefaultConsecutiveBad = 3
	// DefaultEjection is the default of Config.Ejection.
	DefaultBaseEjectionTime = 10 * time.Second
	// DefaultMaxEjection is the default of Config.MaxEjection.
	DefaultMaxEjectionTime = 5 * time.Minute
	// DefaultSlowStart is the default of Config.SlowStart.
	DefaultSlowStart = 15 * time.Second
)

// Config sets the detector up; the zero value takes the defaults.
type Config struct {
	// MaxEjected is the largest share of a peer set that may be out of rotation,
	// between 0 and 1; the number of endpoints is rounded down.
	MaxEjected float64
	// MinSamples is the number of samples for one verdict.
	MinSamples int
	// SlowRatio is how many times the peers' median an endpoint has to take to
	// be slow.
	SlowRatio float64
	// Noise is how many of the peers' standard deviations (of the logarithm of
	// the latency, estimated from the median absolute deviation) an endpoint has to be
	// above the median to be slow.
	StdDevFactor float64
	// FailureExcess is by how much the share of failed samples has to exceed
	// the peers' median share.
	FailureExcess float64
	// Strikes is the number of bad verdicts in a row that eject an endpoint;
	// one is enough during its slow start.
	ConsecutiveBad int
	// Ejection is how long the first ejection lasts. Each further one lasts
	// twice as long, up to MaxEjection.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// SlowStart is how long an endpoint takes back to its full share.
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

// Detector judges endpoints against their peers.
type Detector struct {
	mu      sync.RWMutex
	config  Config
	members map[string]*member
	sets    map[string]*peerSet
	names   []string
}

// peerSet are endpoints that are comparable.
type peerSet struct {
	members []*member
}

// New returns a detector.
func New(cfg Config) *Detector {
	return &Detector{
		config:  cfg.withDefaults(),
		members: map[string]*member{},
		sets:    map[string]*peerSet{},
	}
}

// Observe takes in a sample of endpoint id of the given peer set. The peer set
// of a rank is its group; of a stand-alone endpoint its pool and model.
func (d *Detector) Observe(_ time.Duration, peers, id string, s Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.member(peers, id).add(s)
}

// Tick judges the endpoints that have enough samples and ends ejections whose
// time is up. Call it about once a second.
func (d *Detector) Tick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.names {
		d.judge(now, d.sets[name])
	}
}

// Share returns the share of its normal traffic that the endpoint may take: 0
// while it is ejected, growing to 1 during its slow start, otherwise 1.
func (d *Detector) Share(now time.Duration, id string) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m := d.members[id]
	if m == nil {
		return 1
	}
	return m.share(now, d.config.SlowStart)
}

// Ejections returns how often the endpoint has been ejected since it was last
// forgotten.
func (d *Detector) Ejections(id string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if m := d.members[id]; m != nil {
		return m.total
	}
	return 0
}

// Forget drops what is known of an endpoint that has left the table.
func (d *Detector) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.members[id]; m != nil {
		d.leave(m)
	}
}

// member returns the member, moved to the peer set if it was in another one.
func (d *Detector) member(peers, id string) *member {
	m := d.members[id]
	if m != nil && m.peers == peers {
		return m
	}
	if m != nil {
		d.leave(m)
	}
	m = &member{id: id, peers: peers}
	d.members[id] = m
	set := d.sets[peers]
	if set == nil {
		set = &peerSet{}
		d.sets[peers] = set
		d.names = append(d.names, peers)
	}
	set.members = append(set.members, m)
	return m
}

// leave takes a member out of its peer set, and an empty set out of the map.
func (d *Detector) leave(m *member) {
	delete(d.members, m.id)
	set := d.sets[m.peers]
	set.members = slices.DeleteFunc(set.members, func(o *member) bool { return o == m })
	if len(set.members) > 0 {
		return
	}
	delete(d.sets, m.peers)
	d.names = slices.DeleteFunc(d.names, func(name string) bool { return name == m.peers })
}

// judge gives a verdict on each member of the set that has enough samples.
func (d *Detector) judge(now time.Duration, set *peerSet) {
	for _, m := range set.members {
		for i := range m.tracks {
			m.tracks[i].closeWindow(d.config.MinSamples)
		}
		m.expire(now)
	}
	for from := range sources {
		d.judgeSource(now, set, from)
	}
}

// judgeSource gives the verdicts on the samples of one source.
func (d *Detector) judgeSource(now time.Duration, set *peerSet, from source) {
	norm := set.norm(from)
	for _, m := range set.members {
		t := &m.tracks[from]
		if !t.pending {
			continue
		}
		t.pending = false
		d.apply(now, set, m, from, d.bad(t, norm))
	}
}

// bad reports whether the last window is out of line with the peers.
func (d *Detector) bad(t *track, n norm) bool {
	if t.failures > n.failures+d.config.FailureExcess {
		return true
	}
	if !t.timed || n.timed < minPeers {
		return false
	}
	margin := max(math.Log(d.config.SlowRatio), d.config.StdDevFactor*n.spread)
	return t.latency > n.latency+margin
}

// apply acts on a verdict.
func (d *Detector) apply(now time.Duration, set *peerSet, m *member, from source, bad bool) {
	if !bad {
		m.recordGood(now, d.config.SlowStart, from)
		return
	}
	strikes := &m.tracks[from].strikes
	*strikes++
	if m.ejected {
		// It still reports, and is still bad: no return yet.
		m.until = max(m.until, now+d.config.BaseEjectionTime)
		return
	}
	if *strikes < d.config.ConsecutiveBad && !m.returning(now, d.config.SlowStart) {
		return
	}
	if !set.mayEject(d.config.MaxEjected) {
		return
	}
	m.eject(now, d.config.BaseEjectionTime, d.config.MaxEjectionTime)
}

// mayEject reports whether one more ejection keeps the stated share.
func (s *peerSet) mayEject(share float64) bool {
	out := 0
	for _, m := range s.members {
		if m.ejected {
			out++
		}
	}
	const rounding = 1e-9
	return float64(out+1) <= share*float64(len(s.members))+rounding
}
