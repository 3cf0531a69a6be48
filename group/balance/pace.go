package balance

import "time"

// Pace learns how long the passes of a group take beside the pause that its streams are
// promised: what a quicker step is worth to callers. It is not safe for concurrent use. The
// zero value knows nothing.
//
// A pass that is well within the promise serves nobody better by being shorter, while its
// switch of maps costs copies and holds a step. On a calm day of two groups of 32 ranks
// two thirds of the switches were for a skew below 1.25, and no caller was late for it
// either way.
type StepTimeEstimator struct {
	// began and from are when the present window began, and at which step.
	began time.Duration
	from  uint64
	// relative is the sum of the relative times of a step at the looks of the window.
	relative float64
	looks    int
	// unit is the time of a step for each unit of its relative time; zero if not known.
	unit time.Duration
}

const (
	// paceWindow is the time over which passes are counted: some ten of them, so that one
	// more or less is a tenth.
	paceWindow = 600 * time.Millisecond
	// paceGap is the longest time between two looks of one window.
	paceGap = 2 * time.Second
)

// Counted takes in the step at which a group was seen, and the relative time of its steps
// under the present map and demand: Follower.Relative.
func (p *StepTimeEstimator) Observe(now time.Duration, step uint64, relative float64) {
	if p.looks == 0 || step < p.from || now-p.began > paceGap {
		p.restart(now, step)
	}
	p.relative += relative
	p.looks++
	if now-p.began < paceWindow || step == p.from {
		return
	}
	pass := (now - p.began) / time.Duration(step-p.from)
	p.unit = time.Duration(float64(pass) * float64(p.looks) / p.relative)
	p.restart(now, step)
	p.relative, p.looks = relative, 1
}

func (p *StepTimeEstimator) restart(now time.Duration, step uint64) {
	p.began, p.from, p.relative, p.looks = now, step, 0, 0
}

// Unit is the time of a step for each unit of its relative time; zero if not known.
func (p *StepTimeEstimator) UnitTime() time.Duration { return p.unit }

const (
	// comfort is the part of a promised pause up to which the mean pass is within it: single
	// passes, in which a rank reads prompts, take up to 1.6 times the mean.
	comfort = 0.6
	// leastWorth is what a shorter pass is worth where all are within comfort, as a part of
	// what it is worth beyond: places become free sooner, and first parts come sooner.
	leastWorth = 0.2
)

// weighted is the time of a pass, in seconds, weighed by what its callers get of its being
// shorter.
func weighted(pass, pause time.Duration) float64 {
	took := pass.Seconds()
	if pause <= 0 {
		return took
	}
	beyond := max(took-comfort*pause.Seconds(), 0)
	return leastWorth*took + (1-leastWorth)*beyond
}

// Late is the part of the streams that passes make late which take so long in the mean: none
// within comfort, and all where the mean is as long as the promised pause. It is zero where
// either is not known.
func LateShare(pass, pause time.Duration) float64 {
	if pause <= 0 {
		return 0
	}
	return min(max((pass.Seconds()/pause.Seconds()-comfort)/(1-comfort), 0), 1)
}
