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
// its keys. Nothing is printed where no site was published.
func writeSite(w io.Writer, s *fleetv1.Site) {
	if s.GetVersion() == 0 {
		return
	}
	fmt.Fprintf(w, "Site version %d, in force as revision %d\n\n", s.GetVersion(), s.GetRevision())
	t := newTable(w, "ROUTE", "HOST", "PATH PREFIX", "KIND", "POOLS", "TIMEOUT", "OBJECTIVE", "ATTEMPTS", "PUBLIC")
	for _, route := range s.GetRoutes() {
		t.row(route.GetName(), route.GetHost(), route.GetPathPrefix(), lowerName(route.GetKind(), "CALL_KIND_"), splits(route),
			milliseconds(route.GetTimeoutMs()), milliseconds(route.GetObjectiveMs()), strconv.Itoa(int(route.GetMaxAttempts())), strconv.FormatBool(route.GetPublic()))
	}
	t.end()
	fmt.Fprintln(w)
	t = newTable(w, "SITE WORKSPACE", "PRIORITY", "KEYS")
	for _, workspace := range s.GetWorkspaces() {
		t.row(workspace.GetName(), strconv.Itoa(int(workspace.GetPriority())), strconv.Itoa(len(workspace.GetKeyDigests())))
	}
	t.end()
	fmt.Fprintln(w)
}

// splits names the pools of a route, with their weights if there are several.
func splits(route *fleetv1.Route) string {
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

// milliseconds formats a time; zero is none.
func milliseconds(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
