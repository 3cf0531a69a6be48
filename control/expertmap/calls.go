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
	// relayTimeout bounds a call to a relay. After it another relay takes over, before the
	// other agents of the branch count as unresponsive.
	relayTimeout = 150 * time.Millisecond
)

// send calls the agents that have messages waiting and no call in progress, with one call per
// branch. The coordinator repeats any message that is not sent.
func (d *Driver) send(ctx context.Context, out *outbox) {
	due := func(addr string) bool { return out.byAddr[addr] != nil && !d.calling[addr] }
	healthy := func(addr string) bool { return !d.failing[addr] }
	for _, branch := range d.plan.Branches(due, healthy) {
		if d.calling[branch.Relay] {
			continue
		}
		request := d.branchRequest(out, branch)
		d.setCalling(branch, true)
		go d.call(ctx, branch, request)
	}
}

// setCalling records whether a call to a branch is in progress.
func (d *Driver) setCalling(branch fanout.Branch, calling bool) {
	for _, addr := range append([]string{branch.Relay}, branch.Others...) {
		if calling {
			d.calling[addr] = true
		} else {
			delete(d.calling, addr)
		}
	}
}

// branchRequest returns the request to the relay of a branch.
func (d *Driver) branchRequest(out *outbox, branch fanout.Branch) *agentv1.GroupRequest {
	request := out.requestFor(branch.Relay)
	for _, addr := range branch.Others {
		request.Forwards = append(request.Forwards, &agentv1.Forward{Addr: addr, Request: out.requestFor(addr)})
	}
	for name := range out.preparing {
		if g := d.groups[name]; g != nil && g.mapChange != nil {
			request.Maps = append(request.Maps, g.mapChange)
		}
	}
	return request
}

// requestFor returns the request to one agent.
func (o *outbox) requestFor(addr string) *agentv1.GroupRequest {
	request := o.byAddr[addr]
	if request == nil {
		request = &agentv1.GroupRequest{}
	}
	request.WithoutLoads = !o.counting[addr]
	return request
}

// call makes one call and posts its result to Run.
func (d *Driver) call(ctx context.Context, branch fanout.Branch, request *agentv1.GroupRequest) {
	timeout := callTimeout
	if len(branch.Others) > 0 {
		timeout = relayTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := d.cfg.Transport.Group(callCtx, branch.Relay, request)
	d.post(ctx, func() { d.handleResponse(ctx, branch, response, err) })
}

// handleResponse processes the response of a branch.
func (d *Driver) handleResponse(ctx context.Context, branch fanout.Branch, response *agentv1.GroupResponse, err error) {
	d.setCalling(branch, false)
	if err != nil {
		d.cfg.Logger.Debug("call to an agent for an expert map switch failed", "agent", branch.Relay, "error", err)
		d.failing[branch.Relay] = true
		d.retryThroughNextRelay(ctx, branch.Others)
		return
	}
	d.recordAnswers(branch, response)
	out := newOutbox(d.rankAgents())
	for _, message := range response.GetMessages() {
		m, err := mapwire.FromProto(message)
		g := d.groups[message.GetGroup()]
		if err != nil || g == nil || g.fenced {
			continue
		}
		effects := g.coordinator.Step(d.now(), m)
		g.recordPhase(d.now(), m.Rank)
		d.applyEffects(ctx, g, effects, out)
	}
	if d.cfg.Proposer != nil {
		for _, load := range response.GetLoads() {
			d.cfg.Proposer.Observe(d.now(), load)
		}
	}
	d.send(ctx, out)
}

// retryThroughNextRelay calls agents whose relay has failed through the next one, before they
// count as unresponsive.
func (d *Driver) retryThroughNextRelay(ctx context.Context, addrs []string) {
	out := newOutbox(d.rankAgents())
	for _, addr := range addrs {
		out.byAddr[addr] = &agentv1.GroupRequest{}
	}
	d.send(ctx, out)
}

// recordAnswers records which agents of a branch have answered.
func (d *Driver) recordAnswers(branch fanout.Branch, response *agentv1.GroupResponse) {
	for _, addr := range branch.Others {
		d.failing[addr] = true
	}
	for _, addr := range append(response.GetAnswered(), branch.Relay) {
		d.lastAnswer[addr] = d.now()
		delete(d.failing, addr)
	}
}
