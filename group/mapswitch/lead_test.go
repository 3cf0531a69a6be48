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
	a := leadEstimator{expectedTime: initialAgreementTime}
	now, step := time.Duration(0), uint64(100)
	switches := func(took time.Duration, times int) {
		for range times {
			a.plannedTime = time.Duration(a.lead(now, step, o)) * o.StepTime
			a.start(now, step)
			a.finish(now + took)
			is.True(a.overrunReady)
			a.overrunReady = false
			now += time.Second
			step += 20 // steps of 50 ms
		}
	}
	switches(30*time.Millisecond, 40)
	is.Equal(a.lead(now, step, o), uint64(minLead))
	is.Equal(a.overrun, time.Duration(0))
	switches(260*time.Millisecond, 1)
	is.True(a.overrun > 100*time.Millisecond) // the first slow switch was not expected
	switches(260*time.Millisecond, 4)
	is.True(a.lead(now, step, o) >= 6)
	is.Equal(a.overrun, time.Duration(0)) // by now it is
	switches(30*time.Millisecond, 40)
	is.Equal(a.lead(now, step, o), uint64(minLead))
	for range 10 {
		a.fail()
		is.True(a.overrunReady)
		a.overrunReady = false
	}
	is.Equal(a.lead(now, step, o), o.MaxLead) // bounded by MaxLead
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
	var a leadEstimator
	a.start(0, 100)
	is.Equal(a.stepTime(time.Second, 110, 50*time.Millisecond), 100*time.Millisecond)
	is.Equal(a.stepTime(time.Second, 101, 50*time.Millisecond), maxStepTimeFactor*50*time.Millisecond)
	is.Equal(a.stepTime(time.Second, 100, 50*time.Millisecond), 50*time.Millisecond)
	is.Equal(a.stepTime(time.Second, 150, 50*time.Millisecond), 50*time.Millisecond)
}
