package contract

import (
	"strings"

	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// siteEntry is the site configuration in force.
type siteEntry struct {
	// full is the site as the operator published it, including the document.
	full *fleetv1.Site
	// withoutDocument is the site without the document, as it is sent to daemons.
	withoutDocument *fleetv1.Site
}

// newSiteEntry returns the entry of a site, which already has its revision, or nil.
func newSiteEntry(site *fleetv1.Site) *siteEntry {
	if site == nil {
		return nil
	}
	document := site.Document
	site.Document = nil
	stripped := proto.Clone(site).(*fleetv1.Site)
	site.Document = document
	return &siteEntry{full: site, withoutDocument: stripped}
}

func (e *siteEntry) message() *fleetv1.Site {
	if e == nil {
		return nil
	}
	return e.full
}

func (e *siteEntry) forDaemons() *fleetv1.Site {
	if e == nil {
		return nil
	}
	return e.withoutDocument
}

// EncodePublish encodes a command that replaces the whole site configuration if its version
// is higher than the one in force.
func EncodePublish(logTime int64, site *fleetv1.Site) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Publish{Publish: site}})
}

// Site returns the site configuration in force with its document, or nil.
func (s *State) Site() *fleetv1.Site {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.site.message()
}

// SiteSuperseded reports whether publishing this version of the site would change nothing,
// because the version in force is at least as high.
func (s *State) SiteSuperseded(version uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.siteSuperseded(version)
}

func (s *State) siteSuperseded(version uint64) bool {
	return s.site != nil && version <= s.site.full.GetVersion()
}

// applyPublish puts a site configuration in force. An invalid one is refused whatever its
// version. One whose version is not higher than the current one succeeds without any change,
// even if its content differs.
func (s *State) applyPublish(site *fleetv1.Site) *Result {
	if err := validateSite(site); err != nil {
		return &Result{Err: err}
	}
	if s.siteSuperseded(site.GetVersion()) {
		return &Result{}
	}
	site.Revision = s.revision + 1
	s.site = newSiteEntry(site)
	s.commit([]objectRef{{kind: siteKind}})
	return &Result{}
}

// ValidateSite checks a site configuration in the same way as Publish. The error is a
// *fault.Error of kind Invalid that describes the first problem found.
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
			return fault.Newf(fault.Invalid, "give each pool a unique name", "pool %q has no name or is declared twice", pool.GetName())
		}
		pools[pool.GetName()] = true
	}
	if err := validateSiteRoutes(site.GetRoutes(), pools); err != nil {
		return err
	}
	return validateSiteWorkspaces(site.GetWorkspaces())
}

// routeAddress is the host and path prefix of a route.
type routeAddress struct{ host, prefix string }

func validateSiteRoutes(routes []*fleetv1.Route, pools map[string]bool) *fault.Error {
	routeNames := map[routeAddress]string{}
	for _, route := range routes {
		if err := validateSiteRoute(route, pools); err != nil {
			return err
		}
		address := routeAddress{strings.ToLower(route.GetHost()), route.GetPathPrefix()}
		if other, taken := routeNames[address]; taken {
			return fault.Newf(fault.Invalid, "use a different combination of host and path prefix for each route",
				"routes %s and %s both have the address %s%s", other, route.GetName(), address.host, address.prefix)
		}
		routeNames[address] = route.GetName()
	}
	return nil
}

func validateSiteRoute(route *fleetv1.Route, pools map[string]bool) *fault.Error {
	name, prefix := route.GetName(), route.GetPathPrefix()
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return fault.Newf(fault.Invalid, "use a path prefix that begins and ends with a slash", "route %s has the path prefix %q", name, prefix)
	case route.GetTimeoutMs() <= 0:
		return fault.Newf(fault.Invalid, "set a timeout of at least 1 ms", "route %s has a timeout of %d ms", name, route.GetTimeoutMs())
	case route.GetKind() == fleetv1.CallKind_CALL_KIND_UNSPECIFIED:
		return fault.Newf(fault.Invalid, "set the kind to idempotent calls, calls that run once, or streams", "route %s has no kind", name)
	}
	var total int64
	for _, split := range route.GetSplits() {
		if !pools[split.GetPool()] {
			return fault.Newf(fault.Invalid, "declare the pool or name a different one", "route %s names the unknown pool %q", name, split.GetPool())
		}
		if split.GetWeight() < 0 {
			return fault.Newf(fault.Invalid, "use weights of 0 or more", "route %s gives pool %s a negative weight", name, split.GetPool())
		}
		total += split.GetWeight()
	}
	if total <= 0 {
		return fault.Newf(fault.Invalid, "give at least one pool a weight above 0", "the weights of route %s add up to 0", name)
	}
	return nil
}

// validateSiteWorkspaces returns an error if two workspaces have the same name or share a
// key.
func validateSiteWorkspaces(workspaces []*fleetv1.Workspace) *fault.Error {
	owners := map[string]string{}
	names := map[string]bool{}
	for _, workspace := range workspaces {
		name := workspace.GetName()
		if name == "" || names[name] {
			return fault.Newf(fault.Invalid, "give each workspace a unique name", "workspace %q has no name or is declared twice", name)
		}
		names[name] = true
		for _, digest := range workspace.GetKeyDigests() {
			if other, taken := owners[digest]; taken && other != name {
				return fault.Newf(fault.Invalid, "use different keys for each workspace", "workspaces %s and %s share a key", other, name)
			}
			owners[digest] = name
		}
	}
	return nil
}
