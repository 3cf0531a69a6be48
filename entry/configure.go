package entry

import (
	"context"

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

// configurer puts accepted configurations in force in the tables of the entry.
type configurer struct {
	directory  *Directory
	table      *endpoint.Table
	admissions *Admissions
	reports    *Reports
	loads      *load.Tracker
	index      *prefix.Index
	outliers   *outlier.Detector
	reach      *reach.Tracker
	groups     *lockstep.Tracker
	limits     *RateLimits
	client     *direct.Client
	routed     *routed.Server
}

// apply puts one configuration in force. The feed calls it in the order of the
// revisions.
func (c *configurer) apply(ctx context.Context, view *feed.View, delta *fleetv1.Delta) {
	c.directory.Apply(view)
	c.admissions.Limit(delta.GetWorkspaces(), delta.GetRemovedWorkspaces())
	upserts := make([]endpoint.Endpoint, 0, len(delta.GetEndpoints()))
	for _, e := range delta.GetEndpoints() {
		if e.GetRole() != endpoint.RoleRank {
			upserts = append(upserts, endpointOf(e))
		}
	}
	restarted := c.restarted(upserts)
	c.table.Apply(upserts, delta.GetRemovedEndpoints())
	for _, id := range append(restarted, delta.GetRemovedEndpoints()...) {
		c.forget(id)
	}
	if delta.GetSite() != nil {
		c.publish(site.NewTable(view.Site))
	}
	if len(delta.GetEndpoints()) == 0 && len(delta.GetRemovedEndpoints()) == 0 {
		return
	}
	c.admissions.Resize(c.table.Snapshot().All())
	agents := map[string]string{}
	for _, e := range view.Endpoints.All() {
		if e.GetAgentAddr() != "" && e.GetLive() {
			agents[e.GetAgentAddr()] = e.GetAgent()
		}
	}
	c.reports.Follow(ctx, agents)
}

// publish puts a site in force, once its endpoints are known.
func (c *configurer) publish(table *site.Table) {
	if c.routed.Published() {
		c.routed.Publish(table)
		return
	}
	c.routed.PublishInitial(table, c.admissions, max(c.reports.Readers(), 1))
}

// restarted returns the ids of directly called endpoints that have started anew: nothing
// that was learned of the earlier incarnation says anything about the present one.
func (c *configurer) restarted(upserts []endpoint.Endpoint) []string {
	var ids []string
	view := c.table.Snapshot()
	for i := range upserts {
		held, known := view.Get(upserts[i].ID)
		if !known || held.Incarnation != upserts[i].Incarnation {
			c.groups.Forget(upserts[i].Addr) // what was there may have been of another pool
		}
		if known && held.Addr != "" && held.Incarnation != upserts[i].Incarnation {
			ids = append(ids, held.ID)
		}
	}
	return ids
}

// forget drops what was learned of an endpoint.
func (c *configurer) forget(id string) {
	c.loads.Forget(id)
	c.index.Forget(id)
	c.outliers.Forget(id)
	c.reach.Forget(id)
	c.limits.Forget(id)
}

// endpointOf returns the record of an endpoint as the table keeps it. One whose
// lease has run out takes no new work.
func endpointOf(e *fleetv1.Endpoint) endpoint.Endpoint {
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
