// Package endpoint defines the backends that lilackeel routes to and the
// per-process table that stores them.
//
// An Endpoint is one backend: a model engine (one rank of a lock-step group,
// or a stand-alone engine) or a plain service. The Table is a copy-on-write
// store: readers load an immutable View without locking, and writers replace
// it with a modified copy.
package endpoint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kind is the kind of software that runs at an endpoint.
type Kind int

const (
	// Engine is a model engine.
	Engine Kind = iota
	// Service is a plain service, whose calls may not be idempotent.
	Service
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case Service:
		return "service"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// State is the lifecycle state of an endpoint.
type State int

// The states of an endpoint, in lifecycle order.
const (
	// Serving endpoints accept new calls.
	Serving State = iota
	// Leaving endpoints finish their calls in flight and accept no new ones.
	Leaving
	// Stopped endpoints run no calls.
	Stopped
)

// String implements fmt.Stringer.
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

// RoleRank is the role of a record that locates the manager of a rank's expert
// maps. Such an endpoint takes no calls; the rank's engine has its own record.
const RoleRank = "rank"

// Endpoint describes one backend, from the configuration and the backend's own
// announcement.
type Endpoint struct {
	// ID is unique in the fleet.
	ID string
	// Host, Zone and Region are the location of the endpoint.
	Host, Zone, Region string
	// Pool is the set of endpoints that requests are addressed to.
	Pool string
	Kind Kind
	// State determines whether the endpoint accepts new calls.
	State State

	// Model, Version and Role are what an engine has been ordered to serve;
	// they are empty for a service.
	Model, Version, Role string
	// Adapters are the adapters that an engine has been ordered to serve.
	Adapters []string

	// Addr is the endpoint's own address, host:port, if it is called directly;
	// empty for one behind an agent.
	Addr string
	// AnnouncementExpired is true for an endpoint that is called directly and
	// has stopped announcing itself. It may still be working: the cause can be
	// the connection between it and the control replicas.
	AnnouncementExpired bool
	// AgentAddr is the address of the agent through which this endpoint is called.
	AgentAddr string
	// Incarnation is that agent's incarnation; it increases with each restart.
	Incarnation uint64

	// Group is the lock-step group of ranks, empty for a stand-alone endpoint.
	Group string
	// Rank is the endpoint's rank in Group.
	Rank int
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int

	// Revision is the configuration revision of this record.
	Revision uint64
}

// Serves reports whether the endpoint has been ordered to serve the adapter.
// The empty adapter stands for the base model, which every engine serves.
func (e *Endpoint) Serves(adapter string) bool {
	return adapter == "" || slices.Contains(e.Adapters, adapter)
}

// RunID identifies the current run of the endpoint's process, for an endpoint that is called directly.
func (e *Endpoint) RunID() string { return e.ID + runSeparator + strconv.FormatUint(e.Incarnation, 10) }

// IDFromRunID returns the endpoint id contained in a run id.
func IDFromRunID(run string) string { return run[:max(strings.LastIndex(run, runSeparator), 0)] }

// runSeparator separates the endpoint id from the incarnation in a run id.
const runSeparator = "/"

// supersedes reports whether the record e replaces the record old. Records
// are ordered by configuration revision, then by the agent's incarnation.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Revision != old.Revision {
		return e.Revision > old.Revision
	}
	return e.Incarnation >= old.Incarnation
}
