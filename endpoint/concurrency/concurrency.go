// Package concurrency computes how many calls a pool of lock-step engines may run
// concurrently while its streams meet the promised inter-chunk gap.
//
// The step time grows with the number of running calls and is the same for all
// ranks. The gaps between the chunks of any stream therefore show the step time of
// the whole pool, and one call too many makes every stream late. Below the limit,
// admitting more calls serves them sooner; above it, all calls are served late.
//
// The package does not read the clock: times are arguments.
package concurrency

import "time"

// Config configures a Limiter.
type Config struct {
	// MaxGap is the longest gap between two chunks of a stream that is not late.
	MaxGap time.Duration
	// FixedGap is the part of a gap that does not grow with the number of calls; zero
	// if unknown.
	FixedGap time.Duration
	// Slots is the number of calls that the pool can run concurrently.
	Slots int
	// InitialLimit is the number of calls that the pool may run while it fills up;
	// zero for all of its slots.
	InitialLimit float64
}

const (
	// targetRatio is the target for the slowest recent steps, as a fraction of MaxGap;
	// the rest is a margin for variance.
	targetRatio = 0.92
	// defaultFixedRatio replaces an unknown FixedGap, as a fraction of the measured gap.
	defaultFixedRatio = 0.3
	// window is the time over which gaps are averaged. It is shorter than a step: the
	// streams of a lock-step group receive their chunks at the same time, so that a
	// window contains the gaps of one step, and a single late packet among them has
	// little effect. A longer window would average slow steps with others, and the slow
	// ones would then exceed MaxGap.
	window = 40 * time.Millisecond
	// retentionSeconds is how many seconds a slow window counts. One late chunk makes a
	// whole stream late, and pools have slow steps every few seconds, when expert demand
	// shifts before the expert maps are rebalanced. The limit is therefore based on the
	// slow steps, not on the mean.
	retentionSeconds = 6
	// stallRatio is the multiple of MaxGap above which a gap is treated as a stall, which
	// no concurrency limit can prevent.
	stallRatio = 3
	// minSlotRatio is the fraction of the slots that may always be used: a pool that is
	// slow for reasons other than load must not be left idle.
	minSlotRatio = 0.3
	// gain is the fraction of the distance to the desired limit by which each update
	// moves the limit.
	gain = 0.25
	// fillTime is how long a pool that has just opened takes to fill up. The callers that
	// waited for it start together, so that every step of every engine includes prefill,
	// and its first expert map is replaced within 1.5 s. Step times in this period do not
	// predict later ones: learning from them kept a group of 320 slots at 110 calls for
	// the six seconds after a restart, in which callers were refused.
	fillTime = 1500 * time.Millisecond
	// idleRatio is the fraction of its slots below which a pool that is seen for the first
	// time is assumed to have just opened.
	idleRatio = 0.1
	// reportDelay is how long after a window reports of the calls that ran in it may still
	// arrive. While a pool fills up, the known number of calls lags behind the one that
	// determines the step time. Dividing by the known number at once attributed the step
	// time of 87 calls to 32, and kept a pool at two fifths of its slots for six seconds.
	reportDelay = 300 * time.Millisecond
)

// Limiter computes the concurrency limit of one pool. The zero Limiter is ready for
// use. A Limiter is not safe for concurrent use.
type Limiter struct {
	// sum and count are those of the gaps in the current window, which began at
	// windowStart.
	sum         time.Duration
	count       int
	windowStart time.Duration
	// pending contains the ended windows whose calls may still be reported.
	pending []gapWindow
	// slopes is the increase of the gap per call, in seconds, in the two slowest windows
	// of each of the last seconds, the latest of which is latestSecond. Only the lower of
	// the two is used: a shift in demand makes several steps slow, whereas a step that is
	// delayed for another reason is a single one.
	slopes       [retentionSeconds][2]float64
	latestSecond int64
	limit        float64
	// openedAt is when the pool was last known to run no calls.
	openedAt time.Duration
	slowdown slowdownState
}

// gapWindow is a window that has ended.
type gapWindow struct {
	mean  time.Duration
	start time.Duration
	end   time.Duration
	// running is the highest number of running calls known since the window ended.
	running float64
}

// Observe adds the gap between two chunks of a stream.
func (l *Limiter) Observe(now, gap time.Duration, cfg Config) {
	if cfg.MaxGap <= 0 || gap > stallRatio*cfg.MaxGap {
		return
	}
	if now-l.windowStart > window {
		l.closeWindow(now)
	}
	l.sum += gap
	l.count++
}

// closeWindow ends the current window and begins the next one.
func (l *Limiter) closeWindow(now time.Duration) {
	if l.count > 0 {
		l.pending = append(l.pending, gapWindow{mean: l.sum / time.Duration(l.count), start: l.windowStart, end: now})
	}
	l.sum, l.count, l.windowStart = 0, 0, now
}

// processWindows adds the slopes of the windows whose calls have been reported by now.
func (l *Limiter) processWindows(now time.Duration, cfg Config, running float64) {
	l.expireSlopes(now)
	remaining := l.pending[:0]
	for _, w := range l.pending {
		w.running = max(w.running, running)
		if now-w.end < reportDelay {
			remaining = append(remaining, w)
			continue
		}
		if w.running >= 1 && w.start >= l.openedAt+fillTime && !l.slowdown.settling(w.start) {
			l.addSlope((w.mean - l.fixedGap(w.mean, cfg)).Seconds() / w.running)
		}
	}
	l.pending = remaining
}

// addSlope stores a slope if it is one of the two highest of the current second.
func (l *Limiter) addSlope(slope float64) {
	slot := &l.slopes[l.latestSecond%retentionSeconds]
	switch {
	case slope > slot[0]:
		slot[0], slot[1] = slope, slot[0]
	case slope > slot[1]:
		slot[1] = slope
	}
}

// maxSlope returns the slope that determines the limit; zero if it is not known.
func (l *Limiter) maxSlope() float64 {
	if slope := highestSlope(&l.slopes); slope > 0 {
		return slope
	}
	return l.slowdown.predictedSlope
}

// highestSlope returns the slope of the slowest second of slopes.
func highestSlope(slopes *[retentionSeconds][2]float64) float64 {
	highest := 0.0
	for _, slot := range slopes {
		highest = max(highest, slot[1])
	}
	return highest
}

// expireSlopes clears the slopes older than retentionSeconds.
func (l *Limiter) expireSlopes(now time.Duration) {
	current := int64(now / time.Second)
	for l.latestSecond < current {
		l.latestSecond = max(l.latestSecond+1, current-retentionSeconds)
		l.slopes[l.latestSecond%retentionSeconds] = [2]float64{}
	}
}

// fixedGap returns the part of a gap that does not grow with the number of calls. The slowest rank
// takes as many times longer for it as it does for the calls.
func (l *Limiter) fixedGap(gap time.Duration, cfg Config) time.Duration {
	fixed := cfg.FixedGap
	if l.slowdown.value > nominalSlowdown {
		fixed = time.Duration(l.slowdown.value * float64(fixed))
	}
	if fixed > 0 && fixed < gap {
		return fixed
	}
	return time.Duration(defaultFixedRatio * float64(gap))
}

// Reset records that the pool runs no calls at now, and discards earlier observations,
// which do not predict the step times after the pool reopens.
func (l *Limiter) Reset(now time.Duration, cfg Config) {
	l.openedAt, l.pending = now, l.pending[:0]
	l.slopes = [retentionSeconds][2]float64{}
	l.slowdown.nominal, l.slowdown.predictedSlope = nil, 0
	l.limit = float64(cfg.Slots)
	if cfg.InitialLimit > 0 {
		l.limit = min(cfg.InitialLimit, l.limit)
	}
}

// initialize sets the limit of a pool that is seen for the first time. A nearly idle pool
// is assumed to have just opened; otherwise other entries have already filled it.
func (l *Limiter) initialize(now time.Duration, cfg Config, running float64) {
	if running < idleRatio*float64(cfg.Slots) {
		l.Reset(now, cfg)
		return
	}
	l.openedAt = now - fillTime
	l.limit = float64(cfg.Slots)
}

// Update returns the number of calls that the pool may run, given the number running at
// now.
func (l *Limiter) Update(now time.Duration, cfg Config, running float64) float64 {
	if l.limit == 0 {
		l.initialize(now, cfg, running)
	}
	l.processWindows(now, cfg, running)
	if now < l.openedAt+fillTime {
		return l.limit
	}
	l.limit += gain * (l.desired(cfg) - l.limit)
	return l.limit
}

// desired returns the limit at which the slowest recent steps would reach their target.
func (l *Limiter) desired(cfg Config) float64 {
	slots := float64(cfg.Slots)
	desired := slots
	slope := l.maxSlope()
	if slope == 0 && l.slowdown.effective() > nominalSlowdown && cfg.InitialLimit > 0 {
		// Without any observation, the limit for the time in which the pool fills up is the best
		// estimate.
		desired = cfg.InitialLimit
	}
	if slope > 0 && cfg.MaxGap > 0 {
		target := time.Duration(targetRatio * float64(cfg.MaxGap))
		desired = (target - l.fixedGap(target, cfg)).Seconds() / slope
	}
	return min(max(desired, minSlotRatio*slots), slots)
}
