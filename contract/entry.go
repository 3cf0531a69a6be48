package contract

import (
	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// declaredEntry is an object that operators declare, with the id of the intent that last
// changed it.
type declaredEntry[M any] struct {
	message *M
	intent  string
}

// Entries of the objects that operators declare as a whole.
type (
	workspaceEntry = declaredEntry[fleetv1.Workspace]
	modelEntry     = declaredEntry[fleetv1.Model]
	serviceEntry   = declaredEntry[fleetv1.Service]
	policyEntry    = declaredEntry[fleetv1.BalancePolicy]
)

// mapEntry is an expert map record with the highest fencing token of the coordinators
// that wrote it or took over its switch.
type mapEntry struct {
	record *fleetv1.MapRecord
	fence  uint64
}

// AgentRef identifies one run of an agent's process.
type AgentRef struct {
	// Name is the agent's name, unique in the fleet.
	Name string
	// Incarnation is different for every start of the process.
	Incarnation uint64
}

func (r AgentRef) message() *contractv1.AgentRef {
	return &contractv1.AgentRef{Agent: r.Name, Incarnation: r.Incarnation}
}

// Agent is the state's record of an agent.
type Agent struct {
	AgentRef
	// Host, Zone and Region are the agent's location.
	Host, Zone, Region string
	// Addr is its gRPC address, host:port.
	Addr string
	// Live is whether the agent's lease is current.
	Live bool
}
