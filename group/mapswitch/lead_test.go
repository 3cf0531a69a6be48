package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTheLeadFollowsTheAgreementTime feeds the estimator fast switches, slow ones, and fast
// ones again.
func TestTheLeadFollowsTheAgreementTime(t *testing.T) {
	is := is.New(t)
	o := Options{StepTime: 50 * time.Millisecond, MaxLead: 8}
	e := leadEstimator{expectedTime: initialAgreementTime}
	now, step := time.Duration(0), uint64(100)
	switches := func(took time.Duration, times int) {
		for range times {
			e.plannedTime = time.Duration(e.lead(now, step, o)) * o.StepTime
			e.start(now, step)
			e.finish(now + took)
			is.True(e.overrunReady)
			e.overrunReady = false
			now += time.Second
			step += 20 // steps of 50 ms
		}
	}
	switches(30*time.Millisecond, 40)
	is.Equal(e.lead(now, step, o), uint64(minLead))
	is.Equal(e.overrun, time.Duration(0))
	switches(260*time.Millisecond, 1)
	is.True(e.overrun > 100*time.Millisecond) // the first slow switch was not expected
	switches(260*time.Millisecond, 4)
	is.True(e.lead(now, step, o) >= 6)
	is.Equal(e.overrun, time.Duration(0)) // the lead now covers slow switches
	switches(30*time.Millisecond, 40)
	is.Equal(e.lead(now, step, o), uint64(minLead))
	for range 10 {
		e.fail()
		is.True(e.overrunReady)
		e.overrunReady = false
	}
	is.Equal(e.lead(now, step, o), o.MaxLead) // bounded by MaxLead
}

func TestEachOverrunIsReportedOnce(t *testing.T) {
	is := is.New(t)
	c := &Coordinator{}
	_, ok := c.TakeOverrun()
	is.True(!ok)
	c.estimator.start(0, 1)
	c.estimator.finish(30 * time.Millisecond)
	overrun, ok := c.TakeOverrun()
	is.True(ok)
	is.Equal(overrun, 30*time.Millisecond) // nothing was planned
	_, ok = c.TakeOverrun()
	is.True(!ok)
}

// TestStepTimeIsMeasured measures steps that take twice the shortest time, and a group that
// ran none or nearly none for a while.
func TestStepTimeIsMeasured(t *testing.T) {
	is := is.New(t)
	var e leadEstimator
	e.start(0, 100)
	is.Equal(e.stepTime(time.Second, 110, 50*time.Millisecond), 100*time.Millisecond)
	is.Equal(e.stepTime(time.Second, 101, 50*time.Millisecond), maxStepTimeFactor*50*time.Millisecond)
	is.Equal(e.stepTime(time.Second, 100, 50*time.Millisecond), 50*time.Millisecond)
	is.Equal(e.stepTime(time.Second, 150, 50*time.Millisecond), 50*time.Millisecond)
}
