package contract

import (
	"fmt"
	"maps"
	"slices"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Assumptions of plans about weights and the weight store, because models do not declare
// their sizes. Plans mark the resulting figures as estimates.
const (
	// AssumedModelBytes is the number of bytes that one endpoint loads for a model.
	AssumedModelBytes = 16 << 30
	// AssumedAdapterBytes is the number of bytes that one endpoint loads for an adapter.
	AssumedAdapterBytes = 256 << 20
	// AssumedStoreRate is the throughput of the weight store for the whole fleet, in
	// bytes per second.
	AssumedStoreRate = 1 << 30
)

// loadTextSeparator separates the change from the load estimate in the text of a model's
// change.
const loadTextSeparator = "; to load: "

// assignModels returns the model that each engine of one pool should have loaded. engines and
// models are sorted by name. An engine keeps its loaded model if the pool still serves it; the
// others get the models round-robin, with the same model for all ranks of a group.
func assignModels(engines []*endpointEntry, models []*fleetv1.Model) map[string]*fleetv1.Model {
	assigned := make(map[string]*fleetv1.Model, len(engines))
	if len(models) == 0 {
		return assigned
	}
	byUnit := assignUnits(engines, models)
	for _, engine := range engines {
		assigned[engine.announced.GetId()] = byUnit[loadUnit(engine)]
	}
	return assigned
}

// assignUnits returns the model of each load unit: the one that its first engine with a served
// model has loaded, otherwise the next one round-robin.
func assignUnits(engines []*endpointEntry, models []*fleetv1.Model) map[string]*fleetv1.Model {
	loaded := make(map[string]*fleetv1.Model)
	assigned := make(map[string]*fleetv1.Model)
	for _, engine := range engines {
		unit := loadUnit(engine)
		if _, seen := assigned[unit]; !seen {
			assigned[unit] = models[len(assigned)%len(models)]
		}
		if model := findModel(models, engine.announced.GetModel()); model != nil && loaded[unit] == nil {
			loaded[unit] = model
		}
	}
	maps.Copy(assigned, loaded)
	return assigned
}

// loadUnit returns the name of the unit that must have one model: a group of ranks or a single
// engine.
func loadUnit(engine *endpointEntry) string {
	if group := engine.announced.GetGroup(); group != "" {
		return "group " + group
	}
	return engine.announced.GetId()
}

func findModel(models []*fleetv1.Model, name string) *fleetv1.Model {
	for _, model := range models {
		if model.GetName() == name {
			return model
		}
	}
	return nil
}

// loadDiff is the difference between a model and what an engine has loaded.
type loadDiff struct {
	// modelMismatch is set when the model or its version must be loaded.
	modelMismatch   bool
	missingAdapters []string
	extraAdapters   []string
}

// diffLoaded compares what an engine has loaded with a model.
func diffLoaded(engine *endpointEntry, model *fleetv1.Model) loadDiff {
	current := engine.announced
	diff := loadDiff{modelMismatch: current.GetModel() != model.GetName() || current.GetVersion() != model.GetVersion()}
	for _, adapter := range model.GetAdapters() {
		if !slices.Contains(current.GetAdapters(), adapter) {
			diff.missingAdapters = append(diff.missingAdapters, adapter)
		}
	}
	for _, adapter := range current.GetAdapters() {
		if !slices.Contains(model.GetAdapters(), adapter) {
			diff.extraAdapters = append(diff.extraAdapters, adapter)
		}
	}
	return diff
}

// bytes returns the number of bytes to load from the weight store to resolve the difference.
func (d loadDiff) bytes() int64 {
	size := int64(len(d.missingAdapters)) * AssumedAdapterBytes
	if d.modelMismatch {
		size += AssumedModelBytes
	}
	return size
}

// isEngine reports whether the endpoint is an engine, on which models are loaded.
func isEngine(entry *endpointEntry) bool {
	return entry.announced.GetKind() != fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE
}

// estimateLoads adds an estimate of the weights to load to the change of each model.
func (p *proposal) estimateLoads() {
	assignments := make(map[string]map[string]*fleetv1.Model)
	for _, change := range p.changes {
		model := p.models[change.GetName()]
		if change.GetKind() != string(modelKind) || model == nil {
			continue
		}
		pool := model.GetPool()
		if assignments[pool] == nil {
			assignments[pool] = p.assignPool(pool)
		}
		p.estimateLoad(change, model, assignments[pool])
	}
}

func (p *proposal) assignPool(pool string) map[string]*fleetv1.Model {
	var models []*fleetv1.Model
	for _, name := range proposedNames(p.state.models, p.models) {
		if model := p.model(name); model.GetPool() == pool {
			models = append(models, model)
		}
	}
	var engines []*endpointEntry
	for _, id := range sortedKeys(p.state.endpoints) {
		entry := p.endpoint(id)
		if entry.announced.GetPool() == pool && entry.serves() && isEngine(entry) {
			engines = append(engines, entry)
		}
	}
	return assignModels(engines, models)
}

func (p *proposal) estimateLoad(change *controlv1.Change, model *fleetv1.Model, assigned map[string]*fleetv1.Model) {
	loading := 0
	for _, id := range sortedKeys(assigned) {
		if assigned[id] != model {
			continue
		}
		diff := diffLoaded(p.endpoint(id), model)
		if diff.bytes() == 0 {
			continue
		}
		loading++
		change.WeightBytes += diff.bytes()
		change.Drains = change.Drains || (diff.modelMismatch && p.endpoint(id).announced.GetModel() != "")
	}
	change.WeightMs = change.WeightBytes * int64(time.Second/time.Millisecond) / AssumedStoreRate
	if loading > 0 {
		change.Text += loadTextSeparator + fmt.Sprintf("%d endpoints, about %s, about %s through the weight store",
			loading, formatGiB(change.WeightBytes), formatMilliseconds(change.WeightMs))
	}
}

// formatGiB formats a size in GiB.
func formatGiB(size int64) string { return formatNumber(float64(size)/(1<<30)) + " GiB" }
