package rankhost

import "github.com/lilackeel/lilackeel/group/mapswitch"

// Rescue returns the order that brings an engine on whose host is silent, and
// whose group waits because it holds a step; ok is false if it holds none, or if
// the switch is not decided.
//
// It is safe for anyone to give such an order, late or twice, while the host
// works too, if the record was read through a quorum after the status was read.
// Then the step was held for a switch that has been decided since, and the host
// asks its engine to hold a step for one switch only: no later promise can depend
// on the hold. The engine is armed first if the decision asks for it, and released
// only once its status shows that.
func Rescue(s Status, record mapswitch.Record) (o Order, ok bool) {
	if !s.Open || !s.HasHeld || record.Epoch == 0 || record.PendingEpoch != 0 {
		return Order{}, false
	}
	o = Order{Kind: Release, Formation: s.Formation, Step: s.Held}
	version := versionOf(record.EpochAt(s.Held))
	if version != s.Map && version != s.Armed {
		o.Kind, o.Version = Arm, version
	}
	return o, true
}
