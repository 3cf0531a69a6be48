package entry

import (
	"context"
	"iter"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/reach"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/site"
)

// configurer applies accepted configurations to the tables of the entry.
type configurer struct {
	directory *Directory
	table     *endpoint.Table
	admission *AdmissionController
	reports   *ReportSubscriber
	loads     *load.Tracker
	index     *prefix.Index
	outliers  *outlier.Detector
	reach     *reach.Tracker
	groups    *lockstep.Tracker
	limits    *RateLimits
	client    *direct.Client
	routed    *routed.Server
}

// apply applies one configuration. The feed calls it in the order of revisions.
func (c *configurer) apply(ctx context.Context, view *feed.View, delta *fleetv1.Delta) {
	c.directory.Apply(view)
	c.admission.ApplyLimits(delta.GetWorkspaces(), delta.GetRemovedWorkspaces())
	upserts := make([]endpoint.Endpoint, 0, len(delta.GetEndpoints()))
	for _, e := range delta.GetEndpoints() {
		if e.GetRole() != endpoint.RoleRank {
			upserts = append(upserts, endpointRecord(e))
		}
	}
	restarted := c.restartedEndpoints(upserts)
	c.table.Apply(upserts, delta.GetRemovedEndpoints())
	for _, id := range append(restarted, delta.GetRemovedEndpoints()...) {
		c.forget(id)
	}
	if delta.GetSite() != nil {
		c.applyColdRates(view.Site, view.Endpoints.All())
		c.publishSite(site.NewTable(view.Site))
	} else {
		c.applyColdRates(view.Site, byID(delta.GetEndpoints()))
	}
	if len(delta.GetEndpoints()) == 0 && len(delta.GetRemovedEndpoints()) == 0 {
		return
	}
	c.admission.Resize(c.table.Snapshot().All())
	agents := map[string]string{}
	for _, e := range view.Endpoints.All() {
		if e.GetAgentAddr() != "" && e.GetLive() {
			agents[e.GetAgentAddr()] = e.GetAgent()
		}
	}
	c.reports.SetAgents(ctx, agents)
}

// publishSite applies a site, whose endpoints must be in the table already.
func (c *configurer) publishSite(table *site.Table) {
	c.admission.SetLevels(table.LeveledPools())
	if c.routed.Published() {
		c.routed.Publish(table)
		return
	}
	c.routed.PublishInitial(table, c.admission, max(c.reports.Readers(), 1))
}

// applyColdRates limits the endpoints that are cold to the rates that the site states for their
// pools, and lifts the limits of the others.
func (c *configurer) applyColdRates(s *fleetv1.Site, endpoints iter.Seq2[string, *fleetv1.Endpoint]) {
	rates := map[string]float64{}
	for _, pool := range s.GetPools() {
		rates[pool.GetName()] = pool.GetColdRate()
	}
	for id, e := range endpoints {
		rate := 0.0
		if e.GetCold() {
			rate = rates[e.GetPool()]
		}
		c.limits.setColdRate(id, rate)
	}
}

// byID iterates over endpoints and their ids.
func byID(endpoints []*fleetv1.Endpoint) iter.Seq2[string, *fleetv1.Endpoint] {
	return func(yield func(string, *fleetv1.Endpoint) bool) {
		for _, e := range endpoints {
			if !yield(e.GetId(), e) {
				return
			}
		}
	}
}

// restartedEndpoints returns the ids of directly called endpoints that have restarted. What was
// measured of an earlier incarnation does not apply to the current one.
func (c *configurer) restartedEndpoints(upserts []endpoint.Endpoint) []string {
	var ids []string
	view := c.table.Snapshot()
	for i := range upserts {
		current, known := view.Get(upserts[i].ID)
		if !known || current.Incarnation != upserts[i].Incarnation {
			c.groups.Forget(upserts[i].Addr) // the previous endpoint at this address may have belonged to another pool
		}
		if known && current.Addr != "" && current.Incarnation != upserts[i].Incarnation {
			ids = append(ids, current.ID)
		}
	}
	return ids
}

// forget drops the measurements of an endpoint.
func (c *configurer) forget(id string) {
	c.loads.Forget(id)
	c.index.Forget(id)
	c.outliers.Forget(id)
	c.reach.Forget(id)
	c.limits.Forget(id)
}

// endpointRecord converts an endpoint for the table. An endpoint behind an agent takes no new work
// after its lease has expired.
func endpointRecord(e *fleetv1.Endpoint) endpoint.Endpoint {
	record := endpoint.Endpoint{
		ID: e.GetId(), Host: e.GetHost(), Zone: e.GetZone(), Region: e.GetRegion(), Pool: e.GetPool(),
		Kind: endpoint.Engine, State: stateOf(e), Model: e.GetModel(), Version: e.GetVersion(), Role: e.GetRole(),
		Adapters: e.GetAdapters(), AgentAddr: e.GetAgentAddr(), Incarnation: e.GetIncarnation(),
		Addr: e.GetAddr(), AnnouncementExpired: e.GetAddr() != "" && !e.GetLive(),
		Group: e.GetGroup(), Rank: int(e.GetRank()), Slots: int(e.GetSlots()), Revision: e.GetRevision(),
	}
	if e.GetKind() == fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE {
		record.Kind = endpoint.Service
		record.Model, record.Version, record.Adapters = "", "", nil
	}
	return record
}

func stateOf(e *fleetv1.Endpoint) endpoint.State {
	switch {
	case e.GetState() == fleetv1.EndpointState_ENDPOINT_STATE_SERVING && (e.GetLive() || e.GetAddr() != ""):
		return endpoint.Serving
	case e.GetState() == fleetv1.EndpointState_ENDPOINT_STATE_STOPPED:
		return endpoint.Stopped
	}
	return endpoint.Leaving
}
