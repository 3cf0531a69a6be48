package rankhost

import "github.com/lilackeel/lilackeel/group/mapswitch"

// RescueOrder returns the next order for a running engine that holds a step while its host is
// unreachable, so that its group does not wait forever. ok is false if no step is held or the
// switch is undecided.
//
// Any process may send such an order, late or more than once and even while the host is working,
// provided that the record was read through a quorum after the status was read. Then the step was
// held for a switch that has been decided since, and a host asks its engine to hold a step for one
// switch only, so no later promise can depend on the hold. The engine is armed first if the
// decision requires it, and released only once its status shows that it is armed.
func RescueOrder(s Status, record mapswitch.Record) (o Order, ok bool) {
	if !s.Open || !s.HasHeld || record.Epoch == 0 || record.PendingEpoch != 0 {
		return Order{}, false
	}
	o = Order{Kind: Release, Formation: s.Formation, Step: s.Held}
	version := engineVersion(record.EpochAt(s.Held))
	if version != s.Map && version != s.Armed {
		o.Kind, o.Version = Arm, version
	}
	return o, true
}
