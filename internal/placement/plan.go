// Package placement decides which models and adapters are loaded on the engines of a zone. One node of each zone, chosen
// by rendezvous hashing, is the planner: it collects the state of the runners and the demand of the callers from the
// zone's nodes and sends orders to the runners' owners, which pass them to the engines under the epoch of their claim.
// An owner accepts orders only from the planner that collected from it last, so that a planner that was paused cannot
// act on an outdated view.
//
// Targets computes the desired copies of each model, and Plan the orders that lead to them; both are pure functions.
// Service collects the state, reserves permits of the rate-limited weight store and sends the orders. Agent answers the
// planner on the owners.
package placement

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// Limits bounds the concurrent changes in one zone.
type Limits struct {
	// Loads is the maximum number of models being loaded on the zone's engines.
	Loads int
	// RolloutShare is the fraction of a model's copies that may be updated to a new version at once; one always may.
	RolloutShare float64
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits { return Limits{Loads: 4, RolloutShare: 0.25} }

// Runner is the state of one engine of the zone.
type Runner struct {
	ID ident.Runner
	// MemoryBytes is the memory that the engine has for weights.
	MemoryBytes int64
	Models      []engine.LoadedModel
	Adapters    []string
	// Pending are orders that were sent but do not show as completed in the engine's report yet.
	Pending []Order
	// Leaving excludes the runner from new orders and its copies from the counts.
	Leaving bool
}

// Model is the desired state of a model in the zone.
type Model struct {
	Name    string
	Version string
	Bytes   int64
	// Copies is the number of runners of the zone that should have the model loaded.
	Copies int
	// Adapters should be loaded on every runner that serves the model.
	Adapters []weight.Artifact
}

// Order is one change to the weights loaded on a runner.
type Order struct {
	Runner  ident.Runner
	Kind    engine.OrderKind
	Model   string
	Version string
	Adapter string
}

func (o Order) loads() bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}

// artifact returns the weights that a load fetches, without their size.
func (o Order) artifact() weight.Artifact {
	if o.Kind == engine.OrderLoadAdapter {
		return weight.Artifact{Name: o.Adapter, Version: o.Version}
	}
	return weight.Artifact{Name: o.Model, Version: o.Version}
}

// Input is the state that Plan starts from.
type Input struct {
	Limits  Limits
	Runners []Runner
	Models  []Model
	// Permits is the number of loads of each artifact that the weight store permits now; the artifacts have no size.
	Permits map[weight.Artifact]int
}

// Output is the result of Plan.
type Output struct {
	// Orders are to be sent now.
	Orders []Order
	// Reserve lists the loads that lack a permit, one entry for each.
	Reserve []weight.Artifact
	// Short lists the models for which the desired number of copies cannot be reached.
	Short []string
}

// plan is the working state of Plan. Its runners are updated with each order, so that later decisions see earlier ones.
type plan struct {
	input           Input
	output          Output
	runners         []*plannedRunner
	models          map[string]Model
	loadsInProgress int
}

// plannedRunner is a runner together with the changes ordered so far.
type plannedRunner struct {
	Runner
	// unloading are copies with an unload order; they no longer count as copies, but still occupy memory.
	unloading map[string]bool
	// loadingVersions are the models with a load order, with their version.
	loadingVersions map[string]string
}

// Plan computes the orders to send now. A change may take several calls: the unload that frees memory is ordered first,
// and the load that needs the memory only after the engine has reported the unload.
func Plan(input Input) Output {
	p := &plan{input: input, models: map[string]Model{}}
	for _, model := range input.Models {
		p.models[model.Name] = model
	}
	for _, runner := range input.Runners {
		p.countLoads(runner)
		if !runner.Leaving {
			p.add(runner)
		}
	}
	p.dropUnlisted()
	p.dropOldVersions()
	for _, model := range p.byPriority() {
		p.fill(model)
	}
	for _, model := range p.byPriority() {
		p.rollOut(model)
	}
	p.placeAdapters()
	return p.output
}

func (p *plan) add(runner Runner) {
	added := &plannedRunner{Runner: runner, unloading: map[string]bool{}, loadingVersions: map[string]string{}}
	for _, order := range runner.Pending {
		switch order.Kind {
		case engine.OrderLoadModel:
			added.loadingVersions[order.Model] = order.Version
		case engine.OrderUnloadModel:
			added.unloading[copyKey(order.Model, order.Version)] = true
		}
	}
	p.runners = append(p.runners, added)
}

// countLoads counts the model loads in progress. Those of leaving runners count too, since they also use the weight
// store's rate.
func (p *plan) countLoads(runner Runner) {
	for _, order := range runner.Pending {
		if order.Kind == engine.OrderLoadModel {
			p.loadsInProgress++
		}
	}
}

func copyKey(model, version string) string { return model + "\x00" + version }

// byPriority returns the models sorted by name, those without any copy first.
func (p *plan) byPriority() []Model {
	models := slices.Clone(p.input.Models)
	slices.SortFunc(models, func(a, b Model) int {
		if order := cmp.Compare(min(p.copies(a.Name), 1), min(p.copies(b.Name), 1)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return models
}

// serves reports whether the runner has a copy of the model, of any version, that is not being unloaded.
func (r *plannedRunner) serves(model string) bool {
	return slices.ContainsFunc(r.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Name == model && !r.unloading[copyKey(loaded.Name, loaded.Version)]
	})
}

func (r *plannedRunner) holds(model, version string) bool {
	return slices.ContainsFunc(r.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Name == model && loaded.Version == version && !r.unloading[copyKey(model, version)]
	})
}

func (r *plannedRunner) isLoading(model string) bool {
	_, expected := r.loadingVersions[model]
	return expected
}

// copies returns the number of runners that serve the model now.
func (p *plan) copies(model string) int {
	count := 0
	for _, runner := range p.runners {
		if runner.serves(model) {
			count++
		}
	}
	return count
}

// planned returns the number of runners that serve the model or are loading it.
func (p *plan) planned(model string) int {
	count := 0
	for _, runner := range p.runners {
		if runner.serves(model) || runner.isLoading(model) {
			count++
		}
	}
	return count
}

// free returns the bytes that remain on a runner after all pending loads; copies being unloaded still count as used. A
// model missing from the input has an unknown size and counts as using all of the memory.
func (p *plan) free(runner *plannedRunner) int64 {
	left := runner.MemoryBytes
	for _, loaded := range runner.Models {
		left -= p.bytes(loaded.Name, runner)
	}
	for name, version := range runner.loadingVersions {
		if !runner.holds(name, version) {
			left -= p.bytes(name, runner)
		}
	}
	return left
}

func (p *plan) bytes(model string, runner *plannedRunner) int64 {
	if known, listed := p.models[model]; listed {
		return known.Bytes
	}
	return runner.MemoryBytes
}

// mayUnload reports whether the runner's copy may be unloaded: no copy is wanted, or another runner serves the model.
// It protects the last copy in use; every unload that could remove the last copy of a listed model must check it.
func (p *plan) mayUnload(model string, runner *plannedRunner) bool {
	if p.models[model].Copies == 0 {
		return true
	}
	for _, other := range p.runners {
		if other != runner && other.serves(model) {
			return true
		}
	}
	return false
}

func (p *plan) unload(runner *plannedRunner, model, version string) {
	runner.unloading[copyKey(model, version)] = true
	p.output.Orders = append(p.output.Orders, Order{
		Runner: runner.ID, Kind: engine.OrderUnloadModel, Model: model, Version: version,
	})
}

// load orders a load if a permit is available, and otherwise requests a permit. It returns false if the zone has reached
// its limit of concurrent loads.
func (p *plan) load(runner *plannedRunner, model Model) bool {
	if p.loadsInProgress >= p.input.Limits.Loads {
		return false
	}
	p.loadsInProgress++
	runner.loadingVersions[model.Name] = model.Version
	p.orderWithPermit(Order{Runner: runner.ID, Kind: engine.OrderLoadModel, Model: model.Name, Version: model.Version})
	return true
}

func (p *plan) orderWithPermit(order Order) {
	artifact := order.artifact()
	if p.input.Permits[artifact] <= 0 {
		p.output.Reserve = append(p.output.Reserve, artifact)
		return
	}
	p.input.Permits[artifact]--
	p.output.Orders = append(p.output.Orders, order)
}

// preferred sorts runners by rendezvous weight for the model, so that few copies move when runners join or leave.
func preferred(runners []*plannedRunner, model string) []*plannedRunner {
	ranked := slices.Clone(runners)
	slices.SortFunc(ranked, func(a, b *plannedRunner) int {
		return rendezvous.Compare(model, a.ID, b.ID)
	})
	return ranked
}
