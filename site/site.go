// Package site evaluates a published site for requests: it finds the route that a request belongs
// to, the workspace of its API key, and the pool that serves it.
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

// Table is an index of one published site.
type Table struct {
	site *fleetv1.Site
	// routes holds the routes by host in lower case, longest path prefix first.
	routes     map[string][]*fleetv1.Route
	pools      map[string]*fleetv1.Pool
	workspaces map[string]*fleetv1.Workspace
	// levels holds, for each pool whose requests are ordered by level, the levels that its requests
	// can have, in ascending order.
	levels map[string][]int
}

// NewTable indexes a site; nil means that there is none. The table retains the site, which must not
// be modified.
func NewTable(site *fleetv1.Site) *Table {
	t := &Table{
		site:       site,
		routes:     map[string][]*fleetv1.Route{},
		pools:      map[string]*fleetv1.Pool{},
		workspaces: map[string]*fleetv1.Workspace{},
	}
	for _, route := range site.GetRoutes() {
		host := strings.ToLower(route.GetHost())
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *fleetv1.Route) int { return len(b.GetPathPrefix()) - len(a.GetPathPrefix()) })
	}
	for _, pool := range site.GetPools() {
		t.pools[pool.GetName()] = pool
	}
	for _, workspace := range site.GetWorkspaces() {
		for _, digest := range workspace.GetKeyDigests() {
			t.workspaces[digest] = workspace
		}
	}
	t.levels = t.poolLevels()
	return t
}

// Published reports whether there is a site.
func (t *Table) Published() bool { return t.site != nil }

// Version returns the operator's version of the site, or zero without a site.
func (t *Table) Version() uint64 { return t.site.GetVersion() }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() *fleetv1.CallerLimits { return t.site.GetLimits() }

// Pool returns the pool with the given name, or nil.
func (t *Table) Pool(name string) *fleetv1.Pool { return t.pools[name] }

// Pools returns all pools.
func (t *Table) Pools() []*fleetv1.Pool { return t.site.GetPools() }

// Routes returns all routes.
func (t *Table) Routes() []*fleetv1.Route { return t.site.GetRoutes() }

// HasWorkspaces reports whether callers need a key on routes that are not public.
func (t *Table) HasWorkspaces() bool { return len(t.site.GetWorkspaces()) > 0 }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []*fleetv1.Workspace { return t.site.GetWorkspaces() }

// Route returns the route of a request: among the routes of its host, the one with the longest
// prefix of the path, or nil if there is none. The host may include a port and is compared without
// regard to case; the path is compared byte by byte.
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
	workspace, ok := t.workspaces[KeyDigest(key)]
	return workspace, ok
}

// KeyDigest returns the digest under which a key is stored: SHA-256 in lower-case hexadecimal.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PickPool returns the pool that serves a request of the route, chosen by the weights of the
// route's splits. draw is a uniformly distributed random number; equal draws and weights give the
// same pool.
func PickPool(route *fleetv1.Route, draw uint64) string {
	var total int64
	for _, split := range route.GetSplits() {
		total += split.GetWeight()
	}
	if total <= 0 {
		return ""
	}
	remaining := int64(draw % uint64(total))
	for _, split := range route.GetSplits() {
		remaining -= split.GetWeight()
		if remaining < 0 {
			return split.GetPool()
		}
	}
	return ""
}

// Priority returns the priority of a request, 0 being the highest: that of its workspace if it has
// one, otherwise that of its route.
func Priority(route *fleetv1.Route, workspace *fleetv1.Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return int(workspace.GetPriority())
	}
	return int(route.GetPriority())
}

// MaxLevel is the highest level, that of the requests that go last.
const MaxLevel = levelsPerPriority*maxPriority + maxPriority

const (
	// maxPriority is the greatest priority that levels distinguish; greater ones count as equal.
	maxPriority = 9
	// levelsPerPriority is the number of levels of each priority of workspaces.
	levelsPerPriority = maxPriority + 1
)

// Level returns the priority of a request over the requests of all workspaces, 0 first and at most
// MaxLevel. It orders by the priority of the workspace, and within that by the priority of the route.
// Without a priority of the workspace, that of the route stands for both.
func Level(route *fleetv1.Route, workspace *fleetv1.Workspace) int {
	byRoute := clampPriority(route.GetPriority())
	byWorkspace := byRoute
	if workspace != nil && workspace.Priority != nil {
		byWorkspace = clampPriority(workspace.GetPriority())
	}
	return levelsPerPriority*byWorkspace + byRoute
}

func clampPriority(priority int32) int { return int(min(max(priority, 0), maxPriority)) }

// LeveledPools returns the pools whose requests are ordered by level: those that serve routes of
// different priorities.
func (t *Table) LeveledPools() map[string]bool {
	leveled := make(map[string]bool, len(t.levels))
	for pool := range t.levels {
		leveled[pool] = true
	}
	return leveled
}

// levelRanks is the number of ranks that LevelRank distinguishes.
const levelRanks = 10

// LevelRank returns the rank of a level among those that the requests of a pool can have, 0 first and
// at most 9; with more than ten levels, neighbors share a rank. ok is false if the requests of the
// pool are not ordered by level.
func (t *Table) LevelRank(pool string, level int) (rank int, ok bool) {
	levels, ok := t.levels[pool]
	if !ok {
		return 0, false
	}
	rank, _ = slices.BinarySearch(levels, level)
	return min(rank, len(levels)-1) * levelRanks / max(len(levels), levelRanks), true
}

// poolLevels returns the levels of the pools that serve routes of different priorities.
func (t *Table) poolLevels() map[string][]int {
	leveled := t.mixedPools()
	levels := map[string][]int{}
	for _, route := range t.Routes() {
		for _, split := range route.GetSplits() {
			pool := split.GetPool()
			if split.GetWeight() <= 0 || !leveled[pool] {
				continue
			}
			if route.GetPublic() || !t.HasWorkspaces() {
				levels[pool] = append(levels[pool], Level(route, nil))
			}
			for _, workspace := range t.Workspaces() {
				levels[pool] = append(levels[pool], Level(route, workspace))
			}
		}
	}
	for pool := range levels {
		slices.Sort(levels[pool])
		levels[pool] = slices.Compact(levels[pool])
	}
	return levels
}

// mixedPools returns the pools that serve routes of different priorities.
func (t *Table) mixedPools() map[string]bool {
	leveled, first := map[string]bool{}, map[string]int{}
	for _, route := range t.Routes() {
		priority := clampPriority(route.GetPriority())
		for _, split := range route.GetSplits() {
			if split.GetWeight() <= 0 {
				continue
			}
			if other, seen := first[split.GetPool()]; seen && other != priority {
				leveled[split.GetPool()] = true
			}
			first[split.GetPool()] = priority
		}
	}
	return leveled
}

// Repeatable reports whether a request of the route may run more than once.
func Repeatable(route *fleetv1.Route) bool {
	switch route.GetKind() {
	case fleetv1.CallKind_CALL_KIND_IDEMPOTENT:
		return true
	case fleetv1.CallKind_CALL_KIND_STREAM:
		return route.GetResumable()
	}
	return false
}
