package expertmap

import (
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// rankID identifies a rank of a group.
type rankID struct {
	group string
	rank  int
}

// rankAgents maps each rank to the address of its agent.
type rankAgents map[rankID]string

// rankAgents returns the agents of all live ranks.
func (d *Driver) rankAgents() rankAgents {
	configuration := d.cfg.State.Configuration()
	if d.ranks != nil && d.revision == configuration.GetRevision() {
		return d.ranks
	}
	byRank := rankAgents{}
	var agents []fanout.Agent
	for _, endpoint := range configuration.GetEndpoints() {
		if endpoint.GetGroup() == "" || !endpoint.GetLive() {
			continue
		}
		byRank[rankID{endpoint.GetGroup(), int(endpoint.GetRank())}] = endpoint.GetAgentAddr()
		agents = append(agents, fanout.Agent{Addr: endpoint.GetAgentAddr(), Zone: endpoint.GetZone()})
	}
	d.ranks, d.revision = byRank, configuration.GetRevision()
	d.plan = fanout.NewPlan(agents, max(d.cfg.BranchSize, 1))
	return byRank
}

// complete reports whether every rank of the group has been announced.
func (a rankAgents) complete(name string, ranks int) bool {
	for rank := range ranks {
		if a[rankID{name, rank}] == "" {
			return false
		}
	}
	return true
}

// outbox collects messages by agent.
type outbox struct {
	agents rankAgents
	byAddr map[string]*agentv1.GroupRequest
	// demandPolls holds the agents that are called for a poll of the demand, and whether they are
	// asked for their counts.
	demandPolls map[string]bool
	// preparing holds the groups with ranks that are asked to prepare a map.
	preparing map[string]bool
}

func newOutbox(agents rankAgents) *outbox {
	return &outbox{agents: agents, byAddr: map[string]*agentv1.GroupRequest{}, demandPolls: map[string]bool{}, preparing: map[string]bool{}}
}

// add adds a message. A message for a rank without an agent is dropped; the coordinator
// repeats it.
func (o *outbox) add(m mapswitch.Message) {
	request := o.request(rankID{m.Group, m.Rank})
	if request == nil {
		return
	}
	request.Messages = append(request.Messages, mapwire.ToProto(m))
	if m.Kind == mapswitch.KindPrepare {
		o.preparing[m.Group] = true
	}
}

// pollDemand calls the agent of a rank for a poll of the demand, with or without its counts.
func (o *outbox) pollDemand(rank rankID, counting bool) {
	if o.request(rank) != nil {
		addr := o.agents[rank]
		o.demandPolls[addr] = o.demandPolls[addr] || counting
	}
}

// request returns the request to the agent of a rank, or nil if the rank has no agent.
func (o *outbox) request(rank rankID) *agentv1.GroupRequest {
	addr := o.agents[rank]
	if addr == "" {
		return nil
	}
	if o.byAddr[addr] == nil {
		o.byAddr[addr] = &agentv1.GroupRequest{}
	}
	return o.byAddr[addr]
}
