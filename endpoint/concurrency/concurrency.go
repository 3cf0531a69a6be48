// Package concurrency finds how many calls a pool of lock-step engines may run at
// once so that their streams keep the pace that callers were promised.
//
// The time of a step grows with the calls that run, and all ranks take the same
// time for it: so the pauses between the parts of any stream show the pace of the
// whole pool, and a call too many makes every stream late. Up to the limit more
// calls are served sooner; beyond it all are served late.
//
// The package is pure: times are arguments.
package concurrency

import "time"

// Config says what pace is wanted.
type Config struct {
	// Pause is the longest pause between two parts of a stream that is in time.
	MaxGap time.Duration
	// Fixed is the part of a pause that does not grow with the calls; zero if it is
	// not known.
	FixedGap time.Duration
	// Slots is the number of calls that the pool can run at once.
	Slots int
	// First is the number of calls that the pool may run while it fills up; zero for all
	// of its slots.
	InitialLimit float64
}

const (
	// target is the part of the longest pause that the slowest recent steps are
	// kept to; the rest is for the scatter.
	target = 0.92
	// fixedGuess stands in for an unknown Fixed, as a part of the measured pause.
	fixedGuess = 0.3
	// window is the time over which pauses are averaged, less than a step takes: the
	// streams of a lock-step group get their parts together, so that a window holds the
	// pauses of one step, and one late packet among them is not taken for the pace. A
	// longer one mixes slow steps with others and lets the slow ones exceed the pause.
	window = 40 * time.Millisecond
	// memory is how many seconds a slow window counts. One late part makes a whole
	// stream late, and pools have slow moments every few seconds (demand for experts
	// jumps, and maps follow): so the limit is for those, not for the mean.
	memory = 6
	// stall is how many times the longest pause a pause must last to be taken for a
	// stall, which no limit helps against.
	stall = 3
	// least is the part of the slots that is used whatever the pace: a pool that
	// is slow for other reasons must not be left idle.
	least = 0.3
	// gain is how far the limit moves towards what is asked for, in each update.
	gain = 0.25
	// filling is how long a pool that has just opened takes to fill up. Callers have waited
	// for it and begin together: prompts are read in every pass of every engine, and its
	// first map of experts is replaced within a second and a half. What steps show then says
	// nothing about the pace after it: learning from them kept a group of 320 slots at 110
	// calls for the six seconds after a restart, in which callers were refused.
	filling = 1500 * time.Millisecond
	// idle is the part of its slots below which a pool seen for the first time has just
	// opened.
	idle = 0.1
	// settle is how long after a window the calls that ran in it are still being
	// reported. While a pool fills up, what is known to run lags behind what makes its
	// steps long: dividing by it at once took the pace of 87 calls for that of 32, and
	// kept a pool at two fifths of its slots for the next six seconds.
	settle = 300 * time.Millisecond
)

// Limiter keeps the limit of one pool. The zero Limiter has no limit below the
// slots. It is not safe for concurrent use.
type Limiter struct {
	// sum and count are of the pauses in the present window, which began at began.
	sum   time.Duration
	count int
	began time.Duration
	// closed are the windows whose calls are still being reported.
	closed []span
	// slopes are the parts of a pause, in seconds, that one call adds, in the two
	// slowest windows of each of the last seconds; second is the latest of these. The
	// lower of the two counts: a jump of demand makes several steps slow, and a step that
	// was held for a moment is one.
	slopes [memory][2]float64
	second int64
	limit  float64
	// opened is when the pool was last known to run nothing.
	opened time.Duration
}

// span is a window that has ended.
type span struct {
	mean  time.Duration
	began time.Duration
	ended time.Duration
	// running is the highest number of calls known since it began.
	running float64
}

// Observe notes a pause between two parts of a stream.
func (l *Limiter) Observe(now, pause time.Duration, cfg Config) {
	if cfg.MaxGap <= 0 || pause > stall*cfg.MaxGap {
		return
	}
	if now-l.began > window {
		l.close(now)
	}
	l.sum += pause
	l.count++
}

// close ends a window and begins the next.
func (l *Limiter) close(now time.Duration) {
	if l.count > 0 {
		l.closed = append(l.closed, span{mean: l.sum / time.Duration(l.count), began: l.began, ended: now})
	}
	l.sum, l.count, l.began = 0, 0, now
}

// take learns from the windows whose calls are known by now.
func (l *Limiter) take(now time.Duration, cfg Config, running float64) {
	l.forget(now)
	waiting := l.closed[:0]
	for _, w := range l.closed {
		w.running = max(w.running, running)
		if now-w.ended < settle {
			waiting = append(waiting, w)
			continue
		}
		if w.running >= 1 && w.began >= l.opened+filling {
			l.note((w.mean - fixedOf(w.mean, cfg)).Seconds() / w.running)
		}
	}
	l.closed = waiting
}

// note keeps a slope if it is one of the two highest of the present second.
func (l *Limiter) note(slope float64) {
	slot := &l.slopes[l.second%memory]
	switch {
	case slope > slot[0]:
		slot[0], slot[1] = slope, slot[0]
	case slope > slot[1]:
		slot[1] = slope
	}
}

// steepest is the slope that the limit is for.
func (l *Limiter) steepest() float64 {
	steepest := 0.0
	for _, slot := range l.slopes {
		steepest = max(steepest, slot[1])
	}
	return steepest
}

// forget drops the seconds that lie too far back.
func (l *Limiter) forget(now time.Duration) {
	present := int64(now / time.Second)
	for l.second < present {
		l.second = max(l.second+1, present-memory)
		l.slopes[l.second%memory] = [2]float64{}
	}
}

// fixedOf is the part of a pause that does not grow with the calls.
func fixedOf(pause time.Duration, cfg Config) time.Duration {
	if cfg.FixedGap > 0 && cfg.FixedGap < pause {
		return cfg.FixedGap
	}
	return time.Duration(fixedGuess * float64(pause))
}

// Closed notes that the pool runs nothing at now. What it did before says nothing about
// the pace after it.
func (l *Limiter) Reset(now time.Duration, cfg Config) {
	l.opened, l.closed = now, l.closed[:0]
	l.slopes = [memory][2]float64{}
	l.limit = float64(cfg.Slots)
	if cfg.InitialLimit > 0 {
		l.limit = min(cfg.InitialLimit, l.limit)
	}
}

// meet sets up the limit of a pool that is seen for the first time. One that runs next to
// nothing is taken for one that has just opened; another has been filled by others.
func (l *Limiter) meet(now time.Duration, cfg Config, running float64) {
	if running < idle*float64(cfg.Slots) {
		l.Reset(now, cfg)
		return
	}
	l.opened = now - filling
	l.limit = float64(cfg.Slots)
}

// Update returns the number of calls that the pool may run, given how many run
// now.
func (l *Limiter) Update(now time.Duration, cfg Config, running float64) float64 {
	slots := float64(cfg.Slots)
	if l.limit == 0 {
		l.meet(now, cfg, running)
	}
	l.take(now, cfg, running)
	if now < l.opened+filling {
		return l.limit
	}
	asked := slots
	if slope := l.steepest(); slope > 0 && cfg.MaxGap > 0 {
		wanted := time.Duration(target * float64(cfg.MaxGap))
		asked = (wanted - fixedOf(wanted, cfg)).Seconds() / slope
	}
	asked = min(max(asked, least*slots), slots)
	l.limit += gain * (asked - l.limit)
	return l.limit
}
