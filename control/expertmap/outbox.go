package expertmap

import (
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// rankName names one rank of one group.
type rankName struct {
	group string
	rank  int
}

// addresses says which agent serves each rank.
type addresses map[rankName]string

// agents returns the agents of all live ranks.
func (d *Driver) agents() addresses {
	configuration := d.cfg.State.Configuration()
	if d.ranks != nil && d.revision == configuration.GetRevision() {
		return d.ranks
	}
	known := addresses{}
	var members []fanout.Agent
	for _, endpoint := range configuration.GetEndpoints() {
		if endpoint.GetGroup() == "" || !endpoint.GetLive() {
			continue
		}
		known[rankName{endpoint.GetGroup(), int(endpoint.GetRank())}] = endpoint.GetAgentAddr()
		members = append(members, fanout.Agent{Addr: endpoint.GetAgentAddr(), Zone: endpoint.GetZone()})
	}
	d.ranks, d.revision = known, configuration.GetRevision()
	d.plan = fanout.NewPlan(members, max(d.cfg.BranchSize, 1))
	return known
}

// complete reports whether every rank of the group has been announced.
func (a addresses) complete(name string, ranks int) bool {
	for rank := range ranks {
		if a[rankName{name, rank}] == "" {
			return false
		}
	}
	return true
}

// outbox gathers the messages of one moment by agent.
type outbox struct {
	agents addresses
	byAddr map[string]*agentv1.GroupRequest
	// counting names the agents whose counts are asked for, preparing the groups of
	// which ranks are asked to prepare a map.
	counting, preparing map[string]bool
}

func newOutbox(agents addresses) *outbox {
	return &outbox{agents: agents, byAddr: map[string]*agentv1.GroupRequest{}, counting: map[string]bool{}, preparing: map[string]bool{}}
}

// add puts a message in. One for a rank without an agent is lost; it is sent
// again.
func (o *outbox) add(m mapswitch.Message) {
	request := o.request(rankName{m.Group, m.Rank})
	if request == nil {
		return
	}
	request.Messages = append(request.Messages, mapwire.ToProto(m))
	if m.Kind == mapswitch.KindPrepare {
		o.preparing[m.Group] = true
	}
}

// count asks the agent of a rank for its counts.
func (o *outbox) count(rank rankName) {
	if o.request(rank) != nil {
		o.counting[o.agents[rank]] = true
	}
}

// request returns the request to the agent of a rank; nil if there is none.
func (o *outbox) request(rank rankName) *agentv1.GroupRequest {
	addr := o.agents[rank]
	if addr == "" {
		return nil
	}
	if o.byAddr[addr] == nil {
		o.byAddr[addr] = &agentv1.GroupRequest{}
	}
	return o.byAddr[addr]
}
