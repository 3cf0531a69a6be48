package workspace

import (
	"slices"
	"strings"
)

// guarantee is a workspace with a guaranteed share and its limits.
type guarantee struct {
	workspace string
	limits    Limits
}

// guarantees holds the workspaces that have a guaranteed share, ordered by name so that
// floating-point sums over them are the same in every run. The shares add up to about 1,
// so there are few of them however many workspaces are configured.
type guarantees []guarantee

// put adds or replaces the limits of a workspace; without a guaranteed share, the
// workspace is removed.
func (g guarantees) put(workspace string, limits Limits) guarantees {
	if limits.GuaranteedShare <= 0 {
		return g.remove(workspace)
	}
	at, found := g.find(workspace)
	if found {
		g[at].limits = limits
		return g
	}
	return slices.Insert(g, at, guarantee{workspace, limits})
}

func (g guarantees) remove(workspace string) guarantees {
	if at, found := g.find(workspace); found {
		return slices.Delete(g, at, at+1)
	}
	return g
}

func (g guarantees) find(workspace string) (int, bool) {
	return slices.BinarySearchFunc(g, workspace, func(item guarantee, name string) int {
		return strings.Compare(item.workspace, name)
	})
}

// sum returns the sum of the guaranteed shares.
func (g guarantees) sum() float64 {
	total := 0.0
	for _, item := range g {
		total += item.limits.GuaranteedShare
	}
	return total
}
