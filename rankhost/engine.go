package rankhost

import (
	"context"

	"github.com/lilackeel/lilackeel/group"
)

// Status is an engine's own report of its state.
type Status struct {
	// Group is the name of the rank's group and Formation the number of the group's current
	// formation. Rank is the index of the rank among Size ranks. Open reports whether the group is
	// running.
	Group      string
	Formation  uint64
	Rank, Size int
	Open       bool
	// Step is the last step that has begun.
	Step uint64
	// Map is the version of the map in use; zero is the group's first map. Prepared is the version
	// whose weights have been copied completely, and Armed the version that the engine is about to
	// switch to; zero means none.
	Map, Prepared, Armed uint64
	// Held is the step that the engine does not begin until it is released; it is valid only if
	// HasHeld is set.
	Held    uint64
	HasHeld bool
	// Started identifies the engine's start in the engine's own unit and increases with each start;
	// zero if the engine does not report it. After a restart the engine has lost all orders that it
	// was given before.
	Started uint64
	// Slowdown is the factor by which the engine states that it works slower than nominal; zero if
	// it states none.
	Slowdown float64
	// Running and Waiting are the numbers of requests in the batch and in the queue.
	Running, Waiting int
}

// FormationName returns the name of the formation, which identifies the group in the records of
// expert maps.
func (s Status) FormationName() string { return formationName(s.Group, s.Formation) }

// Counts are the numbers of times that the requests of a rank selected each expert.
type Counts struct {
	// Formation is the group's formation and Step the last step included.
	Formation, Step uint64
	// Started is the same as in Status.
	Started uint64
	// Selections has one count per layer and expert, accumulated since the engine's start.
	Selections []uint64
}

// OrderKind is the action that an Order requests.
type OrderKind int

// The kinds of order.
const (
	// Prepare copies the weights that a map needs to the rank.
	Prepare OrderKind = iota + 1
	// Arm makes the engine switch to a prepared map as a step begins.
	Arm
	// Hold keeps the group from beginning a step until Release.
	Hold
	// Release lets the group begin a held step.
	Release
)

// String returns the name of the kind.
func (k OrderKind) String() string {
	names := [...]string{"none", "prepare", "arm", "hold", "release"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Order is an order to an engine.
type Order struct {
	Kind OrderKind
	// Formation is the formation that the order is for; an engine in another formation refuses it.
	Formation uint64
	// Version is the map version of a Prepare or Arm, and Step the step of an Arm, Hold or Release.
	Version, Step uint64
	// Map is set in a Prepare.
	Map group.Map
}

// Engine is the engine that a Host controls.
type Engine interface {
	// Status reads the engine's status.
	Status(ctx context.Context) (Status, error)
	// Counts reads how often the rank's requests selected each expert.
	Counts(ctx context.Context) (Counts, error)
	// SendOrder sends an order. Whatever it returns, only a later Status shows whether the order
	// was carried out.
	SendOrder(ctx context.Context, o Order) error
}
