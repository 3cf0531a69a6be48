package expertmap

import (
	"context"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
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
	for _, endpoint := range configuration.GetEndpoints() {
		if endpoint.GetGroup() != "" && endpoint.GetLive() {
			known[rankName{endpoint.GetGroup(), int(endpoint.GetRank())}] = endpoint.GetAgentAddr()
		}
	}
	d.ranks, d.revision = known, configuration.GetRevision()
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
}

func newOutbox(agents addresses) *outbox {
	return &outbox{agents: agents, byAddr: map[string]*agentv1.GroupRequest{}}
}

// add puts a message in. One for a rank without an agent is lost; it is sent
// again.
func (o *outbox) add(m mapswitch.Message) {
	if request := o.request(rankName{m.Group, m.Rank}); request != nil {
		request.Messages = append(request.Messages, mapwire.ToProto(m))
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

// send calls each agent that has something to hear and no call under way. What
// is not sent is asked for again by the coordinator.
func (d *Driver) send(ctx context.Context, out *outbox) {
	for addr, request := range out.byAddr {
		if d.calling[addr] {
			continue
		}
		d.calling[addr] = true
		go func() {
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			response, err := d.cfg.Transport.Group(limited, addr, request)
			d.post(ctx, func() { d.receive(ctx, addr, response, err) })
		}()
	}
}

// receive takes in what an agent answered.
func (d *Driver) receive(ctx context.Context, addr string, response *agentv1.GroupResponse, err error) {
	delete(d.calling, addr)
	if err != nil {
		d.cfg.Logger.Debug("an agent did not take messages of the map switch", "agent", addr, "error", err)
		return
	}
	d.heard[addr] = d.now()
	out := newOutbox(d.agents())
	for _, message := range response.GetMessages() {
		m, err := mapwire.FromProto(message)
		g := d.groups[message.GetGroup()]
		if err != nil || g == nil || g.fenced {
			continue
		}
		d.effects(ctx, g, g.coordinator.Step(d.now(), m), out)
	}
	if d.cfg.Proposer != nil {
		for _, load := range response.GetLoads() {
			d.cfg.Proposer.Observe(load)
		}
	}
	d.send(ctx, out)
}
