package feed

import (
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// View is one accepted configuration, indexed by name. It is immutable: neither
// the view nor the records that it holds may be modified.
type View struct {
	// Revision grows by one with every accepted change.
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
	// Site is what the site serves to callers; nil where none was published.
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

// Apply returns the view that the delta turns v into. A delta holds the final
// state of everything that changed in it, so it may start before v's revision,
// but not after it.
func (v *View) Apply(delta *fleetv1.Delta) *View {
	return &View{
		Revision:   delta.GetToRevision(),
		Workspaces: change(v.Workspaces, delta.GetWorkspaces(), (*fleetv1.Workspace).GetName, delta.GetRemovedWorkspaces()),
		Models:     change(v.Models, delta.GetModels(), (*fleetv1.Model).GetName, delta.GetRemovedModels()),
		Services:   change(v.Services, delta.GetServices(), (*fleetv1.Service).GetName, delta.GetRemovedServices()),
		Endpoints:  change(v.Endpoints, delta.GetEndpoints(), (*fleetv1.Endpoint).GetId, delta.GetRemovedEndpoints()),
		Policies:   change(v.Policies, delta.GetPolicies(), (*fleetv1.BalancePolicy).GetGroup, nil),
		Maps:       change(v.Maps, delta.GetMaps(), (*fleetv1.MapRecord).GetGroup, nil),
		Site:       changeSite(v.Site, delta.GetSite()),
		byDigest:   v.changeDigests(delta),
	}
}

// changeSite returns the site after a delta, which has none if it is unchanged.
func changeSite(before, changed *fleetv1.Site) *fleetv1.Site {
	if changed == nil {
		return before
	}
	return changed
}

// changeDigests returns the index of key digests after the delta. A digest that
// has gone over to another workspace stays with that one.
func (v *View) changeDigests(delta *fleetv1.Delta) Table[*fleetv1.Workspace] {
	builder := v.byDigest.edit()
	drop := func(name string) {
		before, _ := v.Workspaces.Get(name)
		for _, digest := range before.GetKeyDigests() {
			if holder, ok := builder.get(digest); ok && holder.GetName() == name {
				builder.remove(digest)
			}
		}
	}
	for _, gone := range delta.GetRemovedWorkspaces() {
		drop(gone)
	}
	for _, changed := range delta.GetWorkspaces() {
		drop(changed.GetName())
		for _, digest := range changed.GetKeyDigests() {
			builder.put(digest, changed)
		}
	}
	return builder.table()
}

func change[V any](table Table[V], records []V, name func(V) string, removed []string) Table[V] {
	builder := table.edit()
	for _, gone := range removed {
		builder.remove(gone)
	}
	for _, record := range records {
		builder.put(name(record), record)
	}
	return builder.table()
}

// Configuration returns the view as a message, which must not be modified.
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

// Diff returns the delta that turns the old view into the new one. An old view
// of nil stands for the empty configuration.
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
