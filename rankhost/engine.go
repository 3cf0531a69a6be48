package rankhost

import (
	"context"

	"github.com/lilackeel/lilackeel/group"
)

// Status is what an engine says of itself, fresh.
type Status struct {
	// Group is the name of the rank's group, Formation the number of its
	// formation, Rank its place of Size in it; Open says that it runs.
	Group      string
	Formation  uint64
	Rank, Size int
	Open       bool
	// Step is the last step that was begun.
	Step uint64
	// Map is the version of the map in use; zero is the first one. Prepared and
	// Armed are the versions whose copy is complete, and that will be switched to;
	// zero for none.
	Map, Prepared, Armed uint64
	// Held is the step that the rank holds; HasHeld is false if there is none.
	Held    uint64
	HasHeld bool
	// Started is when the engine was started, in the engine's own count; zero if it does not
	// say. A later start knows and holds nothing of what an earlier one was told.
	Started uint64
	// Running and Waiting count the requests in the batch and in the queue.
	Running, Waiting int
}

// Name returns the name of the formation, under which its expert maps are
// decided.
func (s Status) FormationName() string { return groupName(s.Group, s.Formation) }

// Counts is what the requests of a rank have asked of each expert.
type Counts struct {
	// Formation is that of the group, Step the last step counted.
	Formation, Step uint64
	// Started is that of the Status.
	Started uint64
	// Chosen counts by layer and expert, since the engine's start.
	Selections []uint64
}

// OrderKind says what an Order asks for.
type OrderKind int

// The kinds of order.
const (
	// Prepare copies the weights of a map.
	Prepare OrderKind = iota + 1
	// Arm switches to a prepared map as a step begins.
	Arm
	// Hold keeps the group from beginning a step until Release.
	Hold
	// Release lets a held step begin.
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

// Order is one order to an engine.
type Order struct {
	Kind OrderKind
	// Formation is the one that the order is for; an engine in another refuses.
	Formation uint64
	// Version is the map of a Prepare or Arm, Step that of an Arm, Hold or
	// Release.
	Version, Step uint64
	// Map is set in a Prepare.
	Map group.Map
}

// Engine is the engine beside a Host.
type Engine interface {
	// Status reads the engine's status.
	Status(ctx context.Context) (Status, error)
	// Counts reads what experts the rank's requests have chosen.
	Counts(ctx context.Context) (Counts, error)
	// Give gives an order. Whatever it returns, only the status tells what came
	// of it.
	SendOrder(ctx context.Context, o Order) error
}
