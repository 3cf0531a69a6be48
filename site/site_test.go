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
