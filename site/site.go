// Package site answers what a published site says about a request: which route
// it belongs to, which workspace its key stands for, and which pool serves it.
//
// A Table is immutable; a new site makes a new Table.
package site

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Table is one published site, indexed for requests.
type Table struct {
	site *fleetv1.Site
	// routes holds the routes of each host in lower case, longest prefix first.
	routes     map[string][]*fleetv1.Route
	pools      map[string]*fleetv1.Pool
	workspaces map[string]*fleetv1.Workspace
}

// NewTable indexes a site; nil stands for none. The table keeps its records,
// which must not be modified.
func NewTable(published *fleetv1.Site) *Table {
	t := &Table{
		site:       published,
		routes:     map[string][]*fleetv1.Route{},
		pools:      map[string]*fleetv1.Pool{},
		workspaces: map[string]*fleetv1.Workspace{},
	}
	for _, route := range published.GetRoutes() {
		host := strings.ToLower(route.GetHost())
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *fleetv1.Route) int { return len(b.GetPathPrefix()) - len(a.GetPathPrefix()) })
	}
	for _, pool := range published.GetPools() {
		t.pools[pool.GetName()] = pool
	}
	for _, workspace := range published.GetWorkspaces() {
		for _, digest := range workspace.GetKeyDigests() {
			t.workspaces[digest] = workspace
		}
	}
	return t
}

// Published reports whether there is a site at all.
func (t *Table) Published() bool { return t.site != nil }

// Version is the operator's version of the site, zero for none.
func (t *Table) Version() uint64 { return t.site.GetVersion() }

// Limits bound what callers may send.
func (t *Table) Limits() *fleetv1.CallerLimits { return t.site.GetLimits() }

// Pool returns a pool by name, nil if the site has none of that name.
func (t *Table) Pool(name string) *fleetv1.Pool { return t.pools[name] }

// Pools returns all pools.
func (t *Table) Pools() []*fleetv1.Pool { return t.site.GetPools() }

// Routes returns all routes.
func (t *Table) Routes() []*fleetv1.Route { return t.site.GetRoutes() }

// HasWorkspaces reports whether callers of routes that are not public need a
// key.
func (t *Table) HasWorkspaces() bool { return len(t.site.GetWorkspaces()) > 0 }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []*fleetv1.Workspace { return t.site.GetWorkspaces() }

// Route returns the route of a request: among those of the host, the one with
// the longest prefix that begins the path; nil for none. The host may carry a
// port and is compared without regard to case, the path byte for byte.
func (t *Table) Route(host, path string) *fleetv1.Route {
	for _, route := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, route.GetPathPrefix()) {
			return route
		}
	}
	return nil
}

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	if name, _, found := strings.Cut(host, ":"); found && !strings.HasPrefix(host, "[") {
		host = name
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*fleetv1.Workspace, bool) {
	workspace, known := t.workspaces[KeyDigest(key)]
	return workspace, known
}

// Digest is the form in which keys are kept: lower-case hexadecimal SHA-256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PoolOf returns the pool that serves a request of the route. draw is uniform
// over all values; the same draw and weights give the same pool.
func PickPool(route *fleetv1.Route, draw uint64) string {
	var total int64
	for _, split := range route.GetSplits() {
		total += split.GetWeight()
	}
	if total <= 0 {
		return ""
	}
	left := int64(draw % uint64(total))
	for _, split := range route.GetSplits() {
		left -= split.GetWeight()
		if left < 0 {
			return split.GetPool()
		}
	}
	return ""
}

// Priority is the rank of a request, 0 first: that of its workspace, or else
// that of its route.
func Priority(route *fleetv1.Route, workspace *fleetv1.Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return int(workspace.GetPriority())
	}
	return int(route.GetPriority())
}

// Repeatable reports whether a call of the route may run more than once.
func Repeatable(route *fleetv1.Route) bool {
	switch route.GetKind() {
	case fleetv1.CallKind_CALL_KIND_IDEMPOTENT:
		return true
	case fleetv1.CallKind_CALL_KIND_STREAM:
		return route.GetResumable()
	}
	return false
}
