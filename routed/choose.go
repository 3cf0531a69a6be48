package routed

import (
	"slices"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
)

// maxPermitAsks bounds the endpoints for which one attempt may ask for a permit in vain.
const maxPermitAsks = 3

// pick chooses an endpoint that takes one more request now.
func (x *exchange) pick() (endpoint.Endpoint, error) {
	s := x.server
	var passedOver []string
	for range maxPermitAsks {
		chosen, err := x.choose(append(s.RateLimits.Blocked(), passedOver...))
		if err != nil {
			return chosen, x.notChosen(err, len(passedOver) > 0)
		}
		if s.RateLimits.Admit(x.caller, &chosen, len(x.tried) > 0) {
			return chosen, nil
		}
		passedOver = append(passedOver, chosen.ID)
	}
	chosen, err := x.choose(slices.Concat(s.RateLimits.Limited(), s.RateLimits.Blocked(), passedOver))
	if err != nil || !s.RateLimits.Admit(x.caller, &chosen, len(x.tried) > 0) {
		return chosen, x.notChosen(err, true)
	}
	return chosen, nil
}

// errPassedOver ends the search for an endpoint that takes one more request.
var errPassedOver = fault.New(fault.RateLimited, "not run: the endpoints that were asked take no more requests a second",
	"ask again after the time given")

// notChosen is the fault of a request without an endpoint: if some would take it but for their
// rate limits, it says when one does again.
func (x *exchange) notChosen(err error, passedOver bool) error {
	if refusal := x.server.RateLimits.Refusal(x.request.pool); refusal != nil {
		return refusal
	}
	if passedOver {
		return errPassedOver
	}
	return err
}

// choose chooses an endpoint that has not been tried, is in reach and is not to be passed over;
// when there is none in reach, any other.
func (x *exchange) choose(passOver []string) (endpoint.Endpoint, error) {
	s, q := x.server, x.request
	now := s.clock()
	view := s.Endpoints.Snapshot()
	out := s.Reach.Excluded(now, func(id string) bool {
		e, known := view.Get(id)
		return !known || e.AnnouncementExpired
	})
	out = append(out, s.suspects(now, view, q.pool)...)
	wanted := pick.Request{
		Pool: q.pool, Workspace: q.workspace.GetName(), Zone: s.config.Zone, Priority: q.priority,
		PromptTokens: q.work.PromptTokens, MaxTokens: q.work.MaxTokens, Exclude: slices.Concat(out, x.tried, passOver),
		PathDelays: s.paths.delays(now, s.lengths.left(q.pool, 0)),
		Allow:      s.placement.Load().allow(s.Groups, q.pool, q.inTime()),
	}
	chosen, _, err := s.Picker.Pick(now, sharedRand, &wanted)
	if err != nil && wanted.Allow != nil {
		wanted.Allow = nil
		chosen, _, err = s.Picker.Pick(now, sharedRand, &wanted)
	}
	if err != nil && len(out) > 0 && fault.KindOf(err) != fault.Overloaded {
		wanted.Exclude = slices.Concat(x.tried, passOver)
		chosen, _, err = s.Picker.Pick(now, sharedRand, &wanted)
	}
	return chosen, err
}
