package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
)

// snapshot answers lookups in one accepted configuration. It is immutable; a Directory
// holds the current one. Models and services are few and are indexed again for each revision;
// workspaces are looked up in the view.
type snapshot struct {
	*feed.View
	models map[string]*fleetv1.Model
	// adapters maps an adapter to its model, nil when several models have it.
	adapters map[string]*fleetv1.Model
	// services are ordered by path prefix, longest first.
	services []*fleetv1.Service
}

// Directory provides the lookups in the current accepted configuration that requests need. It is
// safe for concurrent use.
type Directory struct{ current atomic.Pointer[snapshot] }

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(newSnapshot(&feed.View{}))
	return d
}

// Apply replaces the current configuration.
func (d *Directory) Apply(view *feed.View) { d.current.Store(newSnapshot(view)) }

func newSnapshot(view *feed.View) *snapshot {
	d := &snapshot{
		View:     view,
		models:   map[string]*fleetv1.Model{},
		adapters: map[string]*fleetv1.Model{},
	}
	for name, model := range view.Models.All() {
		d.models[name] = model
		d.addAdapters(model)
	}
	for _, service := range view.Services.All() {
		d.services = append(d.services, service)
	}
	sort.Slice(d.services, func(i, j int) bool {
		a, b := d.services[i].GetPathPrefix(), d.services[j].GetPathPrefix()
		return len(a) > len(b) || len(a) == len(b) && a < b
	})
	return d
}

func (d *snapshot) addAdapters(model *fleetv1.Model) {
	for _, adapter := range model.GetAdapters() {
		if _, exists := d.adapters[adapter]; exists {
			d.adapters[adapter] = nil
			continue
		}
		d.adapters[adapter] = model
	}
}

// workspaceOf returns the workspace that a workspace key belongs to.
func (d *snapshot) workspaceOf(key string) (*fleetv1.Workspace, bool) {
	digest := sha256.Sum256([]byte(key))
	return d.WorkspaceByDigest(hex.EncodeToString(digest[:]))
}

// modelTarget is a model, and the adapter if one was named.
type modelTarget struct {
	model   *fleetv1.Model
	adapter string
}

// resolveModel resolves the model name of a request: the name of a model, the name of an adapter
// that only one model has, or model:adapter.
func (d *snapshot) resolveModel(name string, w *fleetv1.Workspace) (modelTarget, *fault.Error) {
	if model, ok := d.models[name]; ok {
		return d.authorize(modelTarget{model: model}, w)
	}
	base, adapter, hasAdapter := strings.Cut(name, ":")
	if model, ok := d.models[base]; hasAdapter && ok {
		if !slices.Contains(model.GetAdapters(), adapter) {
			return modelTarget{}, fault.Newf(fault.NotFound, "use one of the adapters that GET /v1/models lists",
				"model %q has no adapter %q", base, adapter)
		}
		return d.authorize(modelTarget{model: model, adapter: adapter}, w)
	}
	if model := d.adapters[name]; model != nil {
		return d.authorize(modelTarget{model: model, adapter: name}, w)
	}
	return modelTarget{}, errModelNotFound(name)
}

func (d *snapshot) authorize(target modelTarget, w *fleetv1.Workspace) (modelTarget, *fault.Error) {
	if !mayCall(w, target.model.GetName(), target.model.GetPool()) {
		return modelTarget{}, errModelNotFound(target.model.GetName())
	}
	return target, nil
}

func errModelNotFound(name string) *fault.Error {
	return fault.Newf(fault.NotFound, "use one of the models that GET /v1/models lists",
		"the workspace has no model or adapter %q", name)
}

// mayCall reports whether a workspace may call any of the named models, services or pools.
func mayCall(w *fleetv1.Workspace, names ...string) bool {
	if len(w.GetModels()) == 0 {
		return true
	}
	return slices.ContainsFunc(names, func(name string) bool { return slices.Contains(w.GetModels(), name) })
}

// serviceFor returns the service that serves a path, nil if there is none.
func (d *snapshot) serviceFor(path string) *fleetv1.Service {
	for _, service := range d.services {
		if hasPathPrefix(path, service.GetPathPrefix()) {
			return service
		}
	}
	return nil
}

// matchRoute returns the route of a service that applies to a call, nil if there is none. The
// longest prefix takes precedence, then a route that names the method.
func matchRoute(service *fleetv1.Service, method, path string) *fleetv1.ServiceRoute {
	var best *fleetv1.ServiceRoute
	for _, r := range service.GetRoutes() {
		if r.GetMethod() != "" && !strings.EqualFold(r.GetMethod(), method) {
			continue
		}
		if !hasPathPrefix(path, r.GetPathPrefix()) {
			continue
		}
		if best == nil || moreSpecific(r, best) {
			best = r
		}
	}
	return best
}

func moreSpecific(a, b *fleetv1.ServiceRoute) bool {
	if len(a.GetPathPrefix()) != len(b.GetPathPrefix()) {
		return len(a.GetPathPrefix()) > len(b.GetPathPrefix())
	}
	return a.GetMethod() != "" && b.GetMethod() == ""
}

// idempotent reports whether a call may run more than once.
func idempotent(r *fleetv1.ServiceRoute, method string) bool {
	if r != nil {
		return r.GetIdempotent()
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// hasPathPrefix reports whether path equals prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	remainder, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (remainder == "" || remainder[0] == '/')
}
