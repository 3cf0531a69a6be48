package routed

import (
	"slices"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
)

// maxPermitAttempts is the number of endpoints for which one attempt may be denied a permit
// before only endpoints without a rate limit are considered.
const maxPermitAttempts = 3

// pick chooses an endpoint that accepts another request now.
func (x *exchange) pick() (endpoint.Endpoint, error) {
	s := x.server
	var denied []string
	for range maxPermitAttempts {
		chosen, err := x.choose(append(s.RateLimits.Blocked(), denied...))
		if err != nil {
			return chosen, x.noEndpointError(err, len(denied) > 0)
		}
		if s.RateLimits.Admit(x.callerCtx, &chosen, len(x.tried) > 0) {
			return chosen, nil
		}
		denied = append(denied, chosen.ID)
	}
	chosen, err := x.choose(slices.Concat(s.RateLimits.LimitedEndpoints(), s.RateLimits.Blocked(), denied))
	if err != nil || !s.RateLimits.Admit(x.callerCtx, &chosen, len(x.tried) > 0) {
		return chosen, x.noEndpointError(err, true)
	}
	return chosen, nil
}

// errNoPermit is returned if no permit was granted for any candidate endpoint.
var errNoPermit = fault.New(fault.RateLimited, "not run: the rate limits of the endpoints are exhausted",
	"retry after the given time")

// noEndpointError returns the fault of a request for which no endpoint was found; denied tells
// whether a permit was denied. If only rate limits or pauses prevent the request, the fault
// states when an endpoint accepts requests again.
func (x *exchange) noEndpointError(err error, denied bool) error {
	if refusal := x.server.RateLimits.Refusal(x.request.pool); refusal != nil {
		return refusal
	}
	if denied {
		return errNoPermit
	}
	return err
}

// choose chooses a reachable endpoint that has not been tried and is not in skip. If no
// endpoint is reachable, it chooses any other.
func (x *exchange) choose(skip []string) (endpoint.Endpoint, error) {
	s, q := x.server, x.request
	now := s.clock()
	view := s.Endpoints.Snapshot()
	excluded := s.Reach.Excluded(now, func(id string) bool {
		e, known := view.Get(id)
		return !known || e.AnnouncementExpired
	})
	excluded = append(excluded, s.suspectedEndpoints(now, view, q.pool)...)
	want := pick.Request{
		Pool: q.pool, Workspace: q.workspace.GetName(), Zone: s.config.Zone, Priority: q.priority,
		PromptTokens: q.work.PromptTokens, MaxTokens: q.work.MaxTokens, Exclude: slices.Concat(excluded, x.tried, skip),
		PathDelays: s.pathDelays.delays(now, s.streamLengths.expectedRemaining(q.pool, 0)),
		Allow:      s.placement.Load().allow(s.Groups, q.pool, q.onTime()),
	}
	chosen, _, err := s.Picker.Pick(now, sharedRand, &want)
	if err != nil && want.Allow != nil {
		want.Allow = nil
		chosen, _, err = s.Picker.Pick(now, sharedRand, &want)
	}
	if err != nil && len(excluded) > 0 && fault.KindOf(err) != fault.Overloaded {
		want.Exclude = slices.Concat(x.tried, skip)
		chosen, _, err = s.Picker.Pick(now, sharedRand, &want)
	}
	return chosen, err
}
