package fanout

import (
	"slices"
	"syscall"
	"time"
)

const (
	// settleTime is the wait before a measured window begins.
	settleTime = time.Second
	// idleTime is the length of the window without changes.
	idleTime = 4 * time.Second
	// changes is the number of changes, changePause the time between two of them.
	changes     = 100
	changePause = 20 * time.Millisecond
	// fleetCostWorkspaces is the number of workspaces in the configuration.
	fleetCostWorkspaces = 1000
)

// fleetCost is the cost of distributing the configuration to a fleet of one size.
type fleetCost struct {
	Daemons int  `json:"daemons"`
	Relayed bool `json:"relayed"`
	// IdleBytes is the traffic of the publisher per second without changes, and
	// IdleCPU the CPU time of the whole process per daemon and second.
	IdleBytes float64 `json:"rest_bytes_per_second"`
	IdleCPU   float64 `json:"rest_cpu_us_per_daemon_second"`
	// ChangeBytes and ChangeCPU are the same per change, less the idle cost.
	ChangeBytes float64 `json:"bytes_per_change"`
	ChangeCPU   float64 `json:"cpu_us_per_daemon_change"`
	// P50 and Max are the time from submitting a change until a daemon applies it,
	// over all daemons and changes.
	P50 float64 `json:"in_force_p50_ms"`
	Max float64 `json:"in_force_max_ms"`
}

// usage is the CPU time used by the process and the traffic of the publisher up to
// a point in time.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes int64
}

func currentUsage(counter *byteCounter) usage {
	return usage{at: time.Now(), cpu: cpuTime(), bytes: counter.bytes.Load()}
}

// cpuTime returns the user and system time of this process, or zero if it cannot
// be read.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// measureFleetCost measures a fleet of the given number of daemons.
func measureFleetCost(daemons int, relayed bool) (fleetCost, error) {
	source := newPublisher()
	if err := source.addWorkspaces(fleetCostWorkspaces); err != nil {
		return fleetCost{}, err
	}
	if err := source.addAgents(daemons); err != nil {
		return fleetCost{}, err
	}
	counter := &byteCounter{}
	addr, stop, err := serveFeed(feedServer(source), counter)
	if err != nil {
		return fleetCost{}, err
	}
	defer stop()
	f, err := startFleet(daemons, []string{addr}, relayed)
	if err != nil {
		return fleetCost{}, err
	}
	defer f.stop()
	if err := f.waitForRevision(source.Revision()); err != nil {
		return fleetCost{}, err
	}
	time.Sleep(settleTime)
	idleStart := currentUsage(counter)
	time.Sleep(idleTime)
	idleEnd := currentUsage(counter)
	submitted, err := f.applyChanges(source)
	if err != nil {
		return fleetCost{}, err
	}
	changesEnd := currentUsage(counter)
	result := computeFleetCost(daemons, idleStart, idleEnd, changesEnd)
	result.Relayed = relayed
	result.P50, result.Max = f.propagationDelays(submitted)
	return result, nil
}

// applyChanges accepts changes one after another, waits until all daemons have
// applied the last one, and returns the time at which each revision was submitted.
func (f *fleet) applyChanges(source *publisher) (map[uint64]time.Time, error) {
	submitted := map[uint64]time.Time{}
	var revision uint64
	for i := range changes {
		submittedAt := time.Now()
		var err error
		revision, err = source.accept(changeIntent(i, fleetCostWorkspaces))
		if err != nil {
			return nil, err
		}
		submitted[revision] = submittedAt
		time.Sleep(changePause)
	}
	return submitted, f.waitForRevision(revision)
}

// computeFleetCost computes the cost while idle and the additional cost of
// changes.
func computeFleetCost(daemons int, idleStart, idleEnd, changesEnd usage) fleetCost {
	idleSeconds := idleEnd.at.Sub(idleStart.at).Seconds()
	changeSeconds := changesEnd.at.Sub(idleEnd.at).Seconds()
	idleBytes := float64(idleEnd.bytes-idleStart.bytes) / idleSeconds
	idleCPU := microseconds(idleEnd.cpu-idleStart.cpu) / idleSeconds
	return fleetCost{
		Daemons:     daemons,
		IdleBytes:   idleBytes,
		IdleCPU:     idleCPU / float64(daemons),
		ChangeBytes: (float64(changesEnd.bytes-idleEnd.bytes) - idleBytes*changeSeconds) / changes,
		ChangeCPU:   (microseconds(changesEnd.cpu-idleEnd.cpu) - idleCPU*changeSeconds) / changes / float64(daemons),
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// propagationDelays returns the median and the longest time from the submission of
// a change until a daemon applied it, in milliseconds.
func (f *fleet) propagationDelays(submitted map[uint64]time.Time) (p50, longest float64) {
	var delays []float64
	for revision, submittedAt := range submitted {
		for _, d := range f.daemons {
			if appliedAt, ok := d.firstApplied(revision); ok {
				delays = append(delays, milliseconds(appliedAt.Sub(submittedAt)))
			}
		}
	}
	slices.Sort(delays)
	if len(delays) == 0 {
		return 0, 0
	}
	return delays[len(delays)/2], delays[len(delays)-1]
}
