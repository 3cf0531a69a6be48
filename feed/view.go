package feed

import (
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// View is one accepted configuration, indexed by name. It is immutable: neither
// the view nor the records that it holds may be modified.
type View struct {
	// Revision is incremented with every accepted change.
	Revision uint64
	// Workspaces by name.
	Workspaces Table[*fleetv1.Workspace]
	// Models by name.
	Models Table[*fleetv1.Model]
	// Services by name.
	Services Table[*fleetv1.Service]
	// Endpoints by id.
	Endpoints Table[*fleetv1.Endpoint]
	// Policies by group of ranks.
	Policies Table[*fleetv1.BalancePolicy]
	// Maps holds the expert map records by group of ranks.
	Maps Table[*fleetv1.MapRecord]
	// Site describes what the site serves to callers; nil if none was published.
	Site *fleetv1.Site

	// byDigest finds a workspace by the digest of one of its keys.
	byDigest Table[*fleetv1.Workspace]
}

// WorkspaceByDigest returns the workspace that has a key with the given digest,
// in lower-case hexadecimal.
func (v *View) WorkspaceByDigest(digest string) (*fleetv1.Workspace, bool) {
	return v.byDigest.Get(digest)
}

// NewView indexes a configuration. The view keeps the configuration's records.
func NewView(configuration *fleetv1.Configuration) *View {
	empty := &View{}
	return empty.Apply(&fleetv1.Delta{
		ToRevision: configuration.GetRevision(),
		Workspaces: configuration.GetWorkspaces(),
		Models:     configuration.GetModels(),
		Services:   configuration.GetServices(),
		Endpoints:  configuration.GetEndpoints(),
		Policies:   configuration.GetPolicies(),
		Maps:       configuration.GetMaps(),
		Site:       configuration.GetSite(),
	})
}

// Apply returns the result of applying the delta to v. A delta holds the final
// state of everything that it changes, so it may start before v's revision, but
// not after it.
func (v *View) Apply(delta *fleetv1.Delta) *View {
	return &View{
		Revision:   delta.GetToRevision(),
		Workspaces: applyChanges(v.Workspaces, delta.GetWorkspaces(), (*fleetv1.Workspace).GetName, delta.GetRemovedWorkspaces()),
		Models:     applyChanges(v.Models, delta.GetModels(), (*fleetv1.Model).GetName, delta.GetRemovedModels()),
		Services:   applyChanges(v.Services, delta.GetServices(), (*fleetv1.Service).GetName, delta.GetRemovedServices()),
		Endpoints:  applyChanges(v.Endpoints, delta.GetEndpoints(), (*fleetv1.Endpoint).GetId, delta.GetRemovedEndpoints()),
		Policies:   applyChanges(v.Policies, delta.GetPolicies(), (*fleetv1.BalancePolicy).GetGroup, nil),
		Maps:       applyChanges(v.Maps, delta.GetMaps(), (*fleetv1.MapRecord).GetGroup, nil),
		Site:       applySite(v.Site, delta.GetSite()),
		byDigest:   v.applyDigests(delta),
	}
}

// applySite returns the site after a delta. A delta without a site leaves it
// unchanged.
func applySite(before, changed *fleetv1.Site) *fleetv1.Site {
	if changed == nil {
		return before
	}
	return changed
}

// applyDigests returns the index of key digests after the delta. A digest that has
// moved to another workspace stays assigned to it when the former workspace is
// changed or removed.
func (v *View) applyDigests(delta *fleetv1.Delta) Table[*fleetv1.Workspace] {
	builder := v.byDigest.edit()
	removeDigests := func(name string) {
		before, _ := v.Workspaces.Get(name)
		for _, digest := range before.GetKeyDigests() {
			if owner, ok := builder.get(digest); ok && owner.GetName() == name {
				builder.remove(digest)
			}
		}
	}
	for _, removedName := range delta.GetRemovedWorkspaces() {
		removeDigests(removedName)
	}
	for _, changed := range delta.GetWorkspaces() {
		removeDigests(changed.GetName())
		for _, digest := range changed.GetKeyDigests() {
			builder.put(digest, changed)
		}
	}
	return builder.table()
}

func applyChanges[V any](table Table[V], records []V, name func(V) string, removed []string) Table[V] {
	builder := table.edit()
	for _, removedName := range removed {
		builder.remove(removedName)
	}
	for _, record := range records {
		builder.put(name(record), record)
	}
	return builder.table()
}

// Configuration returns the view as a protobuf message, which must not be
// modified.
func (v *View) Configuration() *fleetv1.Configuration {
	return &fleetv1.Configuration{
		Revision:   v.Revision,
		Workspaces: records(v.Workspaces),
		Models:     records(v.Models),
		Services:   records(v.Services),
		Endpoints:  records(v.Endpoints),
		Policies:   records(v.Policies),
		Maps:       records(v.Maps),
		Site:       v.Site,
	}
}

func records[V any](table Table[V]) []V {
	if table.Len() == 0 {
		return nil
	}
	list := make([]V, 0, table.Len())
	for _, record := range table.All() {
		list = append(list, record)
	}
	return list
}

// Diff returns the delta from the old view to the new one. A nil old view stands
// for the empty configuration.
func Diff(old, new *View) *fleetv1.Delta {
	if old == nil {
		old = &View{}
	}
	delta := &fleetv1.Delta{FromRevision: old.Revision, ToRevision: new.Revision}
	delta.Workspaces, delta.RemovedWorkspaces = diff(old.Workspaces, new.Workspaces)
	delta.Models, delta.RemovedModels = diff(old.Models, new.Models)
	delta.Services, delta.RemovedServices = diff(old.Services, new.Services)
	delta.Endpoints, delta.RemovedEndpoints = diff(old.Endpoints, new.Endpoints)
	delta.Policies, _ = diff(old.Policies, new.Policies)
	delta.Maps, _ = diff(old.Maps, new.Maps)
	if new.Site != old.Site && !proto.Equal(new.Site, old.Site) {
		delta.Site = new.Site
	}
	return delta
}

func diff[V proto.Message](old, new Table[V]) (changed []V, removed []string) {
	for name, record := range new.All() {
		before, ok := old.Get(name)
		if !ok || !proto.Equal(before, record) {
			changed = append(changed, record)
		}
	}
	for name := range old.All() {
		if _, ok := new.Get(name); !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}
