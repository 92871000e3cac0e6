// Package placement decides which models and adapters the engines of a zone hold. One node of each zone plans, chosen
// by rendezvous hashing: it collects from its peers what their runners hold and what their callers ask for, and sends
// orders to the runners' owners, who pass them to the engines under the epoch of their claim. An owner accepts orders
// only from the planner that asked it last, so a planner that was paused orders nothing on an old view.
//
// Plan is pure; Service collects, reserves the weight store's rate, and sends; Agent is the owners' side.
package placement

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// Limits bound what one zone does at a time.
type Limits struct {
	// Loads is the number of models under way to the zone's engines.
	Loads int
	// RollShare is the part of a model's copies that may be on the way to a new version at once; one always may.
	RollShare float64
}

// DefaultLimits returns the limits used in service.
func DefaultLimits() Limits { return Limits{Loads: 4, RollShare: 0.25} }

// Runner is what the plan knows about one engine of the zone.
type Runner struct {
	ID ident.Runner
	// MemoryBytes is what the engine has for weights.
	MemoryBytes int64
	Models      []engine.LoadedModel
	Adapters    []string
	// Pending are orders given but not yet seen in the engine's report.
	Pending []Order
	// Leaving runners get no orders, and their copies don't count.
	Leaving bool
}

// Model is a model as it ought to be.
type Model struct {
	Name    string
	Version string
	Bytes   int64
	// Copies is how many runners of the zone ought to hold it.
	Copies int
	// Adapters ought to be on every runner that holds the model.
	Adapters []weight.Artifact
}

// Order is one change of a runner's weights.
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

// Artifact names the weights that a load fetches, without their size.
func (o Order) artifact() weight.Artifact {
	if o.Kind == engine.OrderLoadAdapter {
		return weight.Artifact{Name: o.Adapter, Version: o.Version}
	}
	return weight.Artifact{Name: o.Model, Version: o.Version}
}

// Input is the state that a plan starts from.
type Input struct {
	Limits  Limits
	Runners []Runner
	Models  []Model
	// Permits counts the loads of an artifact that the weight store's rate allows now; sizes are zero.
	Permits map[weight.Artifact]int
}

// Output is what ought to be done now.
type Output struct {
	// Orders are to be given now.
	Orders []Order
	// Reserve lists the loads that lack a permit, one entry for each.
	Reserve []weight.Artifact
	// Short lists the models that can't be given their copies.
	Short []string
}

// plan is a plan in the making. Its runners change as orders are decided, so that later decisions see earlier ones.
type plan struct {
	input   Input
	output  Output
	runners []*site
	models  map[string]Model
	loading int
}

// site is a runner as it will be once all orders given so far are done.
type site struct {
	Runner
	// gone are models under order to unload; they don't count as copies any more, but still fill memory.
	gone map[string]bool
	// coming are models under order to load, with their version.
	coming map[string]string
}

// Plan works out the orders of now. Later calls continue: an unload that makes room comes first, the load it is for
// only after the engine has reported the room.
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
	for _, model := range p.byNeed() {
		p.fill(model)
	}
	for _, model := range p.byNeed() {
		p.roll(model)
	}
	p.placeAdapters()
	return p.output
}

func (p *plan) add(runner Runner) {
	added := &site{Runner: runner, gone: map[string]bool{}, coming: map[string]string{}}
	for _, order := range runner.Pending {
		switch order.Kind {
		case engine.OrderLoadModel:
			added.coming[order.Model] = order.Version
		case engine.OrderUnloadModel:
			added.gone[copyKey(order.Model, order.Version)] = true
		}
	}
	p.runners = append(p.runners, added)
}

// countLoads counts the loads under way, which take of the weight store's rate whatever becomes of the runner.
func (p *plan) countLoads(runner Runner) {
	for _, order := range runner.Pending {
		if order.Kind == engine.OrderLoadModel {
			p.loading++
		}
	}
}

func copyKey(model, version string) string { return model + "\x00" + version }

// byNeed orders the models so that those without any copy come first, then by name.
func (p *plan) byNeed() []Model {
	models := slices.Clone(p.input.Models)
	slices.SortFunc(models, func(a, b Model) int {
		if order := cmp.Compare(min(p.copies(a.Name), 1), min(p.copies(b.Name), 1)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return models
}

// serves says whether the runner holds a copy of any version that isn't on its way out.
func (s *site) serves(model string) bool {
	return slices.ContainsFunc(s.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Name == model && !s.gone[copyKey(loaded.Name, loaded.Version)]
	})
}

func (s *site) holds(model, version string) bool {
	return slices.ContainsFunc(s.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Name == model && loaded.Version == version && !s.gone[copyKey(model, version)]
	})
}

func (s *site) expects(model string) bool {
	_, expected := s.coming[model]
	return expected
}

// copies counts the runners that serve the model now.
func (p *plan) copies(model string) int {
	count := 0
	for _, runner := range p.runners {
		if runner.serves(model) {
			count++
		}
	}
	return count
}

// planned counts the runners that serve the model or will.
func (p *plan) planned(model string) int {
	count := 0
	for _, runner := range p.runners {
		if runner.serves(model) || runner.expects(model) {
			count++
		}
	}
	return count
}

// free returns the bytes left on a runner once what is on its way has come; what is on its way out still counts. A model
// of which nothing is known any more counts as all of the memory.
func (p *plan) free(runner *site) int64 {
	left := runner.MemoryBytes
	for _, loaded := range runner.Models {
		left -= p.bytes(loaded.Name, runner)
	}
	for name, version := range runner.coming {
		if !runner.holds(name, version) {
			left -= p.bytes(name, runner)
		}
	}
	return left
}

func (p *plan) bytes(model string, runner *site) int64 {
	if known, listed := p.models[model]; listed {
		return known.Bytes
	}
	return runner.MemoryBytes
}

// mayUnload says whether the model stays in service without the runner: nobody wants it, or another runner serves it.
// It is the one place that keeps the last copy in use; every unload of a whole model asks it.
func (p *plan) mayUnload(model string, runner *site) bool {
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

func (p *plan) unload(runner *site, model, version string) {
	runner.gone[copyKey(model, version)] = true
	p.output.Orders = append(p.output.Orders, Order{
		Runner: runner.ID, Kind: engine.OrderUnloadModel, Model: model, Version: version,
	})
}

// load orders a load if a permit is at hand, else asks for one. It returns false if the zone loads enough already.
func (p *plan) load(runner *site, model Model) bool {
	if p.loading >= p.input.Limits.Loads {
		return false
	}
	p.loading++
	runner.coming[model.Name] = model.Version
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

// preferred orders runners by rendezvous weight for the model, so that copies don't move as runners come and go.
func preferred(runners []*site, model string) []*site {
	ranked := slices.Clone(runners)
	slices.SortFunc(ranked, func(a, b *site) int {
		return rendezvous.Compare(model, a.ID, b.ID)
	})
	return ranked
}
