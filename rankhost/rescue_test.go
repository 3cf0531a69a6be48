package rankhost

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

func TestRescueOrdersOnlyDecidedSwitch(t *testing.T) {
	held := Status{Group: "g", Formation: 3, Open: true, Step: 8, Held: 9, HasHeld: true, Map: 2, Prepared: 4}
	decided := mapswitch.Record{Epoch: 4, FromStep: 9, PreviousEpoch: 2, LastEpoch: 4}
	armed, notHeld, broken := held, held, held
	armed.Armed = 4
	notHeld.HasHeld = false
	broken.Open = false
	pending := decided
	pending.PendingEpoch = 5
	aborted := mapswitch.Record{Epoch: 2, FromStep: 5, PreviousEpoch: 1, LastEpoch: 4}
	for _, test := range []struct {
		name   string
		status Status
		record mapswitch.Record
		want   Order
	}{
		{"decided, not armed", held, decided, Order{Kind: Arm, Formation: 3, Version: 4, Step: 9}},
		{"decided and armed", armed, decided, Order{Kind: Release, Formation: 3, Step: 9}},
		{"switch aborted", held, aborted, Order{Kind: Release, Formation: 3, Step: 9}},
		{"switch undecided", held, pending, Order{}},
		{"no record", held, mapswitch.Record{}, Order{}},
		{"no step held", notHeld, decided, Order{}},
		{"broken", broken, decided, Order{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o, ok := RescueOrder(test.status, test.record)
			is.Equal(o, test.want)
			is.Equal(ok, test.want.Kind != 0)
		})
	}
}
