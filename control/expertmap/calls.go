package expertmap

import (
	"context"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// callTimeout bounds a call to a single agent.
	callTimeout = time.Second
	// relayTimeout bounds a call to a relay. After it another relay takes over, before the
	// other agents of the branch count as unresponsive.
	relayTimeout = 150 * time.Millisecond
	// directDelay is the time after which a call to a single agent is repeated on a second
	// connection, longer than an agent holds a call open for its engine (40 ms). relayDelay is the
	// same for a call to a relay, which waits 60 ms for the other agents.
	directDelay = 50 * time.Millisecond
	relayDelay  = 65 * time.Millisecond
	// slowTimeout replaces both timeouts after a slow call to the agent, which lost packets may have
	// delayed. Other paths are then tried sooner; a later response still counts.
	slowTimeout = 80 * time.Millisecond
	// pollOverdue is the time since its last answer after which the poll of an agent waits for a busy
	// relay instead of being dropped. More polls would only load links that lose packets.
	pollOverdue = rescueAfter / 2
)

// send calls the agents that have messages waiting and no call in progress, with one call per
// branch. The coordinator repeats any message that is not sent. Agents whose relay is busy are polled
// for the demand with its next call: a rank that is slow to prepare keeps its relay busy most of the time, and the
// other agents of the branch would count as unresponsive.
func (d *Driver) send(ctx context.Context, out *outbox) {
	for addr, counting := range d.deferredPolls {
		if out.byAddr[addr] == nil {
			out.byAddr[addr] = &agentv1.GroupRequest{}
		}
		out.demandPolls[addr] = out.demandPolls[addr] || counting
	}
	clear(d.deferredPolls)
	due := func(addr string) bool { return out.byAddr[addr] != nil && !d.calling[addr] }
	healthy := func(addr string) bool { return !d.failing[addr] }
	for _, branch := range d.plan.Branches(due, healthy) {
		if d.calling[branch.Relay] {
			for _, addr := range branch.Others {
				if counting, polled := out.demandPolls[addr]; polled && d.now()-d.lastAnswer[addr] >= pollOverdue {
					d.deferredPolls[addr] = counting
				}
			}
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
	request.WithoutLoads = !o.demandPolls[addr]
	return request
}

// call makes one call and posts its result to Run. With a Hedger, a response that arrives later is
// posted too, and other messages for a single agent need not wait for it: a lost packet can delay a
// response for longer than the ranks have to promise a step.
func (d *Driver) call(ctx context.Context, branch fanout.Branch, request *agentv1.GroupRequest) {
	on := func(transport Transport) func(context.Context) (*agentv1.GroupResponse, error) {
		return func(ctx context.Context) (*agentv1.GroupResponse, error) {
			return transport.Group(ctx, branch.Relay, request)
		}
	}
	delay, wait := directDelay, callTimeout
	if len(branch.Others) > 0 {
		delay = relayDelay
	}
	if len(branch.Others) > 0 || d.cfg.Hedger != nil {
		wait = relayTimeout
	}
	response, err := link.HedgedCall[*agentv1.GroupResponse]{
		Addr: branch.Relay, Primary: on(d.cfg.Transport), Backup: on(d.cfg.Backup), Delay: delay, Wait: wait, SlowWait: slowTimeout, Timeout: callTimeout,
		Late: func(late *agentv1.GroupResponse) { d.post(ctx, func() { d.applyResponse(ctx, branch.Relay, late) }) },
	}.Do(ctx, d.cfg.Hedger)
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
	for _, addr := range branch.Others {
		d.failing[addr] = true
	}
	d.applyResponse(ctx, branch.Relay, response)
}

// applyResponse processes the content of the response of an agent.
func (d *Driver) applyResponse(ctx context.Context, addr string, response *agentv1.GroupResponse) {
	d.recordAnswers(addr, response)
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

// recordAnswers records the agents that have answered: the one that was called, and others that it
// has relayed the request to.
func (d *Driver) recordAnswers(addr string, response *agentv1.GroupResponse) {
	for _, addr := range append(response.GetAnswered(), addr) {
		d.lastAnswer[addr] = d.now()
		delete(d.failing, addr)
	}
}
