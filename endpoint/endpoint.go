// Package endpoint holds the back ends that lilackeel routes to and the table
// in which every process keeps them.
//
// An Endpoint is one back end: a model engine (one rank of a lock-step group,
// or a stand-alone engine) or a plain service. The Table is a copy-on-write
// store: readers take an immutable View without locking, writers build the
// next one.
package endpoint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kind says what runs at an endpoint.
type Kind int

// The kinds of endpoint.
const (
	// Engine is a model engine.
	Engine Kind = iota
	// Service is a plain service, whose calls may not be idempotent.
	Service
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case Service:
		return "service"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// State is the position of an endpoint in its life.
type State int

// The states of an endpoint, in the order in which they are passed.
const (
	// Serving endpoints take new work.
	Serving State = iota
	// Leaving endpoints finish what they have and take no new work.
	Leaving
	// Stopped endpoints run nothing.
	Stopped
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Stopped:
		return "stopped"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// RoleRank is the role of a record that says where a rank's expert maps are looked
// after. It takes no calls; its engine has a record of its own.
const RoleRank = "rank"

// Endpoint is one back end as the configuration and its announcement describe it.
type Endpoint struct {
	// ID is unique in the fleet.
	ID string
	// Host, Zone and Region say where the endpoint runs.
	Host, Zone, Region string
	// Pool is the set of endpoints that requests are addressed to.
	Pool string
	// Kind says what runs here.
	Kind Kind
	// State says whether the endpoint takes new work.
	State State

	// Model, Version and Role are what an engine has been ordered to serve;
	// they are empty for a service.
	Model, Version, Role string
	// Adapters are the adapters that an engine has been ordered to serve.
	Adapters []string

	// Addr is the endpoint's own address, host:port, if it is called directly;
	// empty for one behind an agent.
	Addr string
	// Silent is true for an endpoint that is called directly and has stopped
	// announcing itself: the reason may lie between it and the control replicas.
	AnnouncementExpired bool
	// AgentAddr is the address of the agent that is the gate of this endpoint.
	AgentAddr string
	// Incarnation is that agent's incarnation; it grows with each restart.
	Incarnation uint64

	// Group is the lock-step group of ranks, empty for a stand-alone endpoint.
	Group string
	// Rank is the position in Group.
	Rank int
	// Slots is the number of requests that the endpoint runs at once.
	Slots int

	// Revision is the configuration revision of this record.
	Revision uint64
}

// Serves reports whether the endpoint has been ordered to serve the adapter.
// The empty adapter is the bare model, which every engine serves.
func (e *Endpoint) Serves(adapter string) bool {
	return adapter == "" || slices.Contains(e.Adapters, adapter)
}

// Run names the present run of the endpoint's process, for an endpoint that is called directly.
func (e *Endpoint) RunID() string { return e.ID + runSeparator + strconv.FormatUint(e.Incarnation, 10) }

// OfRun returns the id in the name of a run.
func IDFromRunID(run string) string { return run[:max(strings.LastIndex(run, runSeparator), 0)] }

// runSeparator stands between id and incarnation in the name of a run.
const runSeparator = "/"

// supersedes reports whether the record e replaces the record old: records
// are ordered by configuration revision, then by incarnation of the agent.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Revision != old.Revision {
		return e.Revision > old.Revision
	}
	return e.Incarnation >= old.Incarnation
}
