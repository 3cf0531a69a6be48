package operator

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// writeSite prints the routes, pools and workspaces of a published site, without
// its keys. It prints nothing if no site has been published.
func writeSite(w io.Writer, s *fleetv1.Site) {
	if s.GetVersion() == 0 {
		return
	}
	fmt.Fprintf(w, "Site version %d, in force as revision %d\n\n", s.GetVersion(), s.GetRevision())
	t := newTable(w, "ROUTE", "HOST", "PATH PREFIX", "KIND", "POOLS", "TIMEOUT", "OBJECTIVE", "ATTEMPTS", "PUBLIC")
	for _, route := range s.GetRoutes() {
		t.row(route.GetName(), route.GetHost(), route.GetPathPrefix(), enumLabel(route.GetKind(), "CALL_KIND_"), formatSplits(route),
			formatMilliseconds(route.GetTimeoutMs()), formatMilliseconds(route.GetObjectiveMs()), strconv.Itoa(int(route.GetMaxAttempts())), strconv.FormatBool(route.GetPublic()))
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "SITE WORKSPACE", "PRIORITY", "KEYS")
	for _, workspace := range s.GetWorkspaces() {
		t.row(workspace.GetName(), strconv.Itoa(int(workspace.GetPriority())), strconv.Itoa(len(workspace.GetKeyDigests())))
	}
	t.flush()
	fmt.Fprintln(w)
}

// formatSplits lists the pools of a route, with their weights if there are several.
func formatSplits(route *fleetv1.Route) string {
	var pools []string
	for _, split := range route.GetSplits() {
		name := split.GetPool()
		if len(route.GetSplits()) > 1 {
			name += ":" + strconv.FormatInt(split.GetWeight(), 10)
		}
		pools = append(pools, name)
	}
	return strings.Join(pools, " ")
}

// formatMilliseconds formats a duration; zero is formatted as none.
func formatMilliseconds(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
