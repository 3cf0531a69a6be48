package expertmap

import (
	"context"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

const (
	// callTimeout bounds a call to a single agent.
	callTimeout = time.Second
	// relayTimeout bounds a call that others are reached by: another relay takes its
	// place after that, before the others count as silent.
	relayTimeout = 150 * time.Millisecond
)

// send calls the agents for which messages wait and that have no call under way, one call for each
// branch. What is not sent is asked for again by the coordinator.
func (d *Driver) send(ctx context.Context, out *outbox) {
	due := func(addr string) bool { return out.byAddr[addr] != nil && !d.calling[addr] }
	fit := func(addr string) bool { return !d.failing[addr] }
	for _, branch := range d.plan.Branches(due, fit) {
		if d.calling[branch.Relay] {
			continue
		}
		request := d.prepare(out, branch)
		d.mark(branch, true)
		go d.call(ctx, branch, request)
	}
}

// mark notes whether a call to a branch is under way.
func (d *Driver) mark(branch fanout.Branch, calling bool) {
	for _, addr := range append([]string{branch.Relay}, branch.Others...) {
		if calling {
			d.calling[addr] = true
		} else {
			delete(d.calling, addr)
		}
	}
}

// prepare returns the request to the relay of a branch.
func (d *Driver) prepare(out *outbox, branch fanout.Branch) *agentv1.GroupRequest {
	request := out.own(branch.Relay)
	for _, addr := range branch.Others {
		request.Forwards = append(request.Forwards, &agentv1.Forward{Addr: addr, Request: out.own(addr)})
	}
	for name := range out.preparing {
		if g := d.groups[name]; g != nil && g.change != nil {
			request.Maps = append(request.Maps, g.change)
		}
	}
	return request
}

// own returns the request to one agent.
func (o *outbox) own(addr string) *agentv1.GroupRequest {
	request := o.byAddr[addr]
	if request == nil {
		request = &agentv1.GroupRequest{}
	}
	request.WithoutLoads = !o.counting[addr]
	return request
}

// call makes one call and hands its result to Run.
func (d *Driver) call(ctx context.Context, branch fanout.Branch, request *agentv1.GroupRequest) {
	timeout := callTimeout
	if len(branch.Others) > 0 {
		timeout = relayTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := d.cfg.Transport.Group(limited, branch.Relay, request)
	d.post(ctx, func() { d.receive(ctx, branch, response, err) })
}

// receive takes in what a branch answered.
func (d *Driver) receive(ctx context.Context, branch fanout.Branch, response *agentv1.GroupResponse, err error) {
	d.mark(branch, false)
	if err != nil {
		d.cfg.Logger.Debug("an agent did not take messages of the map switch", "agent", branch.Relay, "error", err)
		d.failing[branch.Relay] = true
		d.askAgain(ctx, branch.Others)
		return
	}
	d.noteHeard(branch, response)
	out := newOutbox(d.agents())
	for _, message := range response.GetMessages() {
		m, err := mapwire.FromProto(message)
		g := d.groups[message.GetGroup()]
		if err != nil || g == nil || g.fenced {
			continue
		}
		effects := g.coordinator.Step(d.now(), m)
		g.noteStage(d.now(), m.Rank)
		d.effects(ctx, g, effects, out)
	}
	if d.cfg.Proposer != nil {
		for _, load := range response.GetLoads() {
			d.cfg.Proposer.Observe(d.now(), load)
		}
	}
	d.send(ctx, out)
}

// askAgain asks agents whose relay has failed by the next one, before they count as silent.
func (d *Driver) askAgain(ctx context.Context, addrs []string) {
	out := newOutbox(d.agents())
	for _, addr := range addrs {
		out.byAddr[addr] = &agentv1.GroupRequest{}
	}
	d.send(ctx, out)
}

// noteHeard notes which agents of a branch have answered.
func (d *Driver) noteHeard(branch fanout.Branch, response *agentv1.GroupResponse) {
	for _, addr := range branch.Others {
		d.failing[addr] = true
	}
	for _, addr := range append(response.GetAnswered(), branch.Relay) {
		d.answered[addr] = d.now()
		delete(d.failing, addr)
	}
}
