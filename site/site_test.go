package site

import (
	"testing"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

func route(name, host, prefix string) *fleetv1.Route {
	return &fleetv1.Route{Name: name, Host: host, PathPrefix: prefix}
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	table := NewTable(&fleetv1.Site{Routes: []*fleetv1.Route{
		route("all", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("short", "A.example", "/x/"), route("other", "b.example", "/x/y/z/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "deep"}, {"A.EXAMPLE:80", "/x/1", "short"}, {"a.example", "/x/y", "short"},
		{"a.example", "/", "all"}, {"a.example", "/X/y/", "all"}, {"b.example", "/x/y/", ""}, {"c.example", "/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is.New(t).Equal(table.Route(c.host, c.path).GetName(), c.want)
		})
	}
}

func TestPoolDrawFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &fleetv1.Route{Splits: []*fleetv1.Split{{Pool: "a", Weight: 3}, {Pool: "none"}, {Pool: "b", Weight: 1}}}
	counts := map[string]int{}
	for draw := range uint64(400) {
		counts[PickPool(r, draw)]++
	}
	is.Equal(counts, map[string]int{"a": 300, "b": 100})
	is.Equal(PickPool(&fleetv1.Route{}, 7), "")
}

func TestKeyIdentifiesWorkspace(t *testing.T) {
	is := is.New(t)
	first := int32(0)
	w := &fleetv1.Workspace{Name: "crew", KeyDigests: []string{KeyDigest("k1")}, Priority: &first}
	table := NewTable(&fleetv1.Site{Workspaces: []*fleetv1.Workspace{w}})
	found, known := table.Workspace("k1")
	is.True(known)
	is.Equal(found.GetName(), "crew")
	_, known = table.Workspace("k2")
	is.True(!known)
	is.Equal(Priority(&fleetv1.Route{Priority: 2}, w), 0)   // the workspace's priority takes precedence
	is.Equal(Priority(&fleetv1.Route{Priority: 2}, nil), 2) // without a workspace, the route's applies
}

func TestRetriesDependOnCallKind(t *testing.T) {
	is := is.New(t)
	is.True(Repeatable(&fleetv1.Route{Kind: fleetv1.CallKind_CALL_KIND_IDEMPOTENT}))
	is.True(!Repeatable(&fleetv1.Route{Kind: fleetv1.CallKind_CALL_KIND_SINGLE}))
	is.True(!Repeatable(&fleetv1.Route{Kind: fleetv1.CallKind_CALL_KIND_STREAM}))
	is.True(Repeatable(&fleetv1.Route{Kind: fleetv1.CallKind_CALL_KIND_STREAM, Resumable: true}))
}

// Guards against an order that puts the route before the workspace, and against values out of range
// that change places with others.
func TestLevelOrdersByWorkspaceThenRoute(t *testing.T) {
	is := is.New(t)
	level := func(route int32, workspace ...int32) int {
		w := &fleetv1.Workspace{}
		if len(workspace) > 0 {
			w.Priority = &workspace[0]
		}
		return Level(&fleetv1.Route{Priority: route}, w)
	}
	is.Equal(level(0, 0), 0)
	is.True(level(9, 0) < level(0, 1))
	is.True(level(1, 3) < level(2, 3))
	is.Equal(level(2), level(2, 2)) // without a priority of the workspace
	is.Equal(Level(&fleetv1.Route{Priority: 2}, nil), level(2))
	is.Equal(level(-5, -1<<31), 0)
	is.Equal(level(1<<31-1, 1<<31-1), MaxLevel)
	is.Equal(Level(nil, nil), 0)
}

// Guards against an order by level in pools that do not call for it.
func TestLeveledPoolsServeRoutesOfDifferentPriorities(t *testing.T) {
	routes := []*fleetv1.Route{}
	for _, c := range []struct {
		pool     string
		priority int32
		weight   int64
	}{{"one", 3, 1}, {"one", 3, 1}, {"two", 3, 1}, {"two", 3, 1}, {"two", 0, 1}, {"unused", 1, 1}, {"unused", 2, 0}, {"clamped", 9, 1}, {"clamped", 99, 1}} {
		routes = append(routes, &fleetv1.Route{Priority: c.priority, Splits: []*fleetv1.Split{{Pool: c.pool, Weight: c.weight}}})
	}
	is.New(t).Equal(NewTable(&fleetv1.Site{Routes: routes}).LeveledPools(), map[string]bool{"two": true})
}

// Guards against a header for engines that is out of range or in another order than the levels.
func TestLevelRankOrdersLevelsOfPool(t *testing.T) {
	is := is.New(t)
	split := []*fleetv1.Split{{Pool: "p", Weight: 1}}
	s := &fleetv1.Site{Routes: []*fleetv1.Route{{Priority: 2, Splits: split}, {Priority: 7, Splits: split}, {Splits: []*fleetv1.Split{{Pool: "q", Weight: 1}}}}}
	rank := func(pool string, level int) int {
		r, ok := NewTable(s).LevelRank(pool, level)
		is.Equal(ok, pool == "p")
		return r
	}
	is.Equal(rank("p", 22), 0)
	is.Equal(rank("p", 77), 1)
	rank("q", 0)
	for priority := range int32(9) {
		s.Workspaces = append(s.Workspaces, &fleetv1.Workspace{Priority: &priority})
	}
	former := 0
	for _, level := range []int{2, 7, 12, 17, 22, 27, 32, 37, 42, 47, 52, 57, 62, 67, 72, 77, 82, 87} {
		is.True(rank("p", level) >= former && rank("p", level) <= 9)
		former = rank("p", level)
	}
	is.Equal([]int{rank("p", 2), rank("p", 87), rank("p", 99), former}, []int{0, 9, 9, 9}) // 99 is of a former site
}
