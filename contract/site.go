package contract

import (
	"strings"

	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// siteEntry is the site in force.
type siteEntry struct {
	// whole is what the operator published, with the document.
	whole *fleetv1.Site
	// lean is what daemons get: the same without the document.
	lean *fleetv1.Site
}

// newSiteEntry returns the entry of a site at the revision that it carries.
func newSiteEntry(whole *fleetv1.Site) *siteEntry {
	if whole == nil {
		return nil
	}
	document := whole.Document
	whole.Document = nil
	lean := proto.Clone(whole).(*fleetv1.Site)
	whole.Document = document
	return &siteEntry{whole: whole, lean: lean}
}

func (e *siteEntry) message() *fleetv1.Site {
	if e == nil {
		return nil
	}
	return e.whole
}

func (e *siteEntry) forDaemons() *fleetv1.Site {
	if e == nil {
		return nil
	}
	return e.lean
}

// EncodePublish replaces the site's whole configuration if its version is
// higher than the one in force.
func EncodePublish(logTime int64, site *fleetv1.Site) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Publish{Publish: site}})
}

// Site returns the site in force with its document, or nil.
func (s *State) Site() *fleetv1.Site {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.site.message()
}

// Overtaken reports whether publishing this version would change nothing,
// because the one in force is at least as high.
func (s *State) SiteSuperseded(version uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.overtaken(version)
}

func (s *State) overtaken(version uint64) bool {
	return s.site != nil && version <= s.site.whole.GetVersion()
}

// applyPublish puts a site in force. An invalid one is refused whatever its
// version; one that is not higher than the present one is confirmed and changes
// nothing, also if its content differs.
func (s *State) applyPublish(site *fleetv1.Site) *Result {
	if err := validateSite(site); err != nil {
		return &Result{Err: err}
	}
	if s.overtaken(site.GetVersion()) {
		return &Result{}
	}
	site.Revision = s.revision + 1
	s.site = newSiteEntry(site)
	s.commit([]objectRef{{kind: siteKind}})
	return &Result{}
}

// ValidateSite checks a site as Publish does. The error is a *fault.Error of
// kind Invalid that names the first fault found.
func ValidateSite(site *fleetv1.Site) error {
	if err := validateSite(site); err != nil {
		return err
	}
	return nil
}

func validateSite(site *fleetv1.Site) *fault.Error {
	pools := map[string]bool{}
	for _, pool := range site.GetPools() {
		if pool.GetName() == "" || pools[pool.GetName()] {
			return fault.Newf(fault.Invalid, "give each pool a name of its own", "the pool %q has no name, or is stated twice", pool.GetName())
		}
		pools[pool.GetName()] = true
	}
	if err := validateSiteRoutes(site.GetRoutes(), pools); err != nil {
		return err
	}
	return validateKeys(site.GetWorkspaces())
}

// place is where a route is reached.
type place struct{ host, prefix string }

func validateSiteRoutes(routes []*fleetv1.Route, pools map[string]bool) *fault.Error {
	places := map[place]string{}
	for _, route := range routes {
		if err := validateSiteRoute(route, pools); err != nil {
			return err
		}
		at := place{strings.ToLower(route.GetHost()), route.GetPathPrefix()}
		if other, taken := places[at]; taken {
			return fault.Newf(fault.Invalid, "give each route a host and prefix of its own",
				"the routes %s and %s share %s%s", other, route.GetName(), at.host, at.prefix)
		}
		places[at] = route.GetName()
	}
	return nil
}

func validateSiteRoute(route *fleetv1.Route, pools map[string]bool) *fault.Error {
	name, prefix := route.GetName(), route.GetPathPrefix()
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return fault.Newf(fault.Invalid, "begin and end it with a slash", "route %s has the prefix %q", name, prefix)
	case route.GetTimeoutMs() <= 0:
		return fault.Newf(fault.Invalid, "give a timeout of at least 1 ms", "route %s has a timeout of %d ms", name, route.GetTimeoutMs())
	case route.GetKind() == fleetv1.CallKind_CALL_KIND_UNSPECIFIED:
		return fault.Newf(fault.Invalid, "say whether its calls are idempotent, run once, or are streams", "route %s has no kind", name)
	}
	var total int64
	for _, split := range route.GetSplits() {
		if !pools[split.GetPool()] {
			return fault.Newf(fault.Invalid, "state the pool, or name another", "route %s names the unknown pool %q", name, split.GetPool())
		}
		if split.GetWeight() < 0 {
			return fault.Newf(fault.Invalid, "use weights of 0 or more", "route %s gives pool %s a negative weight", name, split.GetPool())
		}
		total += split.GetWeight()
	}
	if total <= 0 {
		return fault.Newf(fault.Invalid, "give at least one pool a weight above 0", "the weights of route %s add up to nothing", name)
	}
	return nil
}

// validateKeys refuses a key that two workspaces share.
func validateKeys(workspaces []*fleetv1.Workspace) *fault.Error {
	owners := map[string]string{}
	names := map[string]bool{}
	for _, workspace := range workspaces {
		name := workspace.GetName()
		if name == "" || names[name] {
			return fault.Newf(fault.Invalid, "give each workspace a name of its own", "the workspace %q has no name, or is stated twice", name)
		}
		names[name] = true
		for _, digest := range workspace.GetKeyDigests() {
			if other, taken := owners[digest]; taken && other != name {
				return fault.Newf(fault.Invalid, "give each workspace keys of its own", "the workspaces %s and %s share a key", other, name)
			}
			owners[digest] = name
		}
	}
	return nil
}
