package placement

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// dropUnlisted unloads models that are no longer in the configuration.
func (p *plan) dropUnlisted() {
	for _, runner := range p.runners {
		for _, loaded := range runner.Models {
			if _, listed := p.models[loaded.Name]; !listed && !runner.unloading[copyKey(loaded.Name, loaded.Version)] {
				p.unload(runner, loaded.Name, loaded.Version)
			}
		}
	}
}

// dropOldVersions unloads an old version from runners that have also loaded the new one; this completes a rollout step.
func (p *plan) dropOldVersions() {
	for _, runner := range p.runners {
		for _, loaded := range runner.Models {
			model, listed := p.models[loaded.Name]
			old := listed && loaded.Version != model.Version && !runner.unloading[copyKey(loaded.Name, loaded.Version)]
			if old && runner.holds(model.Name, model.Version) {
				p.unload(runner, loaded.Name, loaded.Version)
			}
		}
	}
}

// fill loads the missing copies of a model on runners with enough free memory, or else frees memory for them.
func (p *plan) fill(model Model) {
	missing := model.Copies - p.planned(model.Name)
	for _, runner := range preferred(p.runners, model.Name) {
		if missing <= 0 {
			return
		}
		if runner.serves(model.Name) || runner.isLoading(model.Name) || runner.hasCopyInMemory(model.Name) {
			continue
		}
		if p.free(runner) < model.Bytes {
			continue
		}
		if !p.load(runner, model) {
			return
		}
		missing--
	}
	for _, runner := range preferred(p.runners, model.Name) {
		if missing <= 0 {
			return
		}
		if !runner.serves(model.Name) && !runner.isLoading(model.Name) && p.freeMemory(runner, model) {
			missing--
		}
	}
	if missing > 0 {
		p.output.Short = append(p.output.Short, model.Name)
	}
}

// hasCopyInMemory reports whether any copy of the model, even one being unloaded, occupies memory.
func (r *plannedRunner) hasCopyInMemory(model string) bool {
	return slices.ContainsFunc(r.Models, func(loaded engine.LoadedModel) bool { return loaded.Name == model })
}

// freeMemory unloads surplus copies from the runner if that frees enough memory for the model. Memory that earlier
// unloads will free is counted first. It reports whether there will be enough memory.
func (p *plan) freeMemory(runner *plannedRunner, model Model) bool {
	available := p.free(runner)
	for _, loaded := range runner.Models {
		if runner.unloading[copyKey(loaded.Name, loaded.Version)] {
			available += p.bytes(loaded.Name, runner)
		}
	}
	var surplus []engine.LoadedModel
	for _, loaded := range runner.Models {
		if available >= model.Bytes {
			break
		}
		if p.isSurplus(runner, loaded) {
			surplus = append(surplus, loaded)
			available += p.bytes(loaded.Name, runner)
		}
	}
	if available < model.Bytes {
		return false
	}
	for _, loaded := range surplus {
		p.unload(runner, loaded.Name, loaded.Version)
	}
	return true
}

// isSurplus reports whether a copy exceeds the desired copies of its model. Surplus copies are unloaded only when their
// memory is needed.
func (p *plan) isSurplus(runner *plannedRunner, loaded engine.LoadedModel) bool {
	if runner.unloading[copyKey(loaded.Name, loaded.Version)] || runner.isLoading(loaded.Name) {
		return false
	}
	return p.copies(loaded.Name) > p.models[loaded.Name].Copies && p.mayUnload(loaded.Name, runner)
}

// rollOut updates some copies of old versions to the new one. With enough free memory the new version is loaded beside
// the old one; otherwise the old one is unloaded first, provided that other runners serve the model meanwhile.
func (p *plan) rollOut(model Model) {
	var old []*plannedRunner
	updating := 0
	for _, runner := range preferred(p.runners, model.Name) {
		switch {
		case runner.isLoading(model.Name), runner.hasCopyInMemory(model.Name) && !runner.serves(model.Name):
			updating++
		case runner.serves(model.Name) && !runner.holds(model.Name, model.Version):
			old = append(old, runner)
		}
	}
	maxUpdating := max(1, int(float64(p.planned(model.Name))*p.input.Limits.RolloutShare))
	for _, runner := range old {
		if updating >= maxUpdating {
			return
		}
		if p.rollOutOn(runner, model) {
			updating++
		}
	}
}

func (p *plan) rollOutOn(runner *plannedRunner, model Model) bool {
	if p.free(runner) >= model.Bytes {
		return p.load(runner, model)
	}
	if !p.mayUnload(model.Name, runner) {
		return false
	}
	for _, loaded := range runner.Models {
		if loaded.Name == model.Name && !runner.unloading[copyKey(loaded.Name, loaded.Version)] {
			p.unload(runner, loaded.Name, loaded.Version)
		}
	}
	return true
}

// placeAdapters loads the adapters of each model on the runners that serve it and unloads adapters no longer wanted.
func (p *plan) placeAdapters() {
	for _, runner := range p.runners {
		wanted := p.wantedAdapters(runner)
		for _, adapter := range wanted {
			if !slices.Contains(runner.Adapters, adapter.Name) && !runner.adapterPending(adapter.Name) {
				p.orderWithPermit(Order{
					Runner: runner.ID, Kind: engine.OrderLoadAdapter, Adapter: adapter.Name, Version: adapter.Version,
				})
			}
		}
		for _, name := range runner.Adapters {
			named := slices.ContainsFunc(wanted, func(adapter weight.Artifact) bool { return adapter.Name == name })
			if !named && !runner.adapterPending(name) {
				p.output.Orders = append(p.output.Orders, Order{
					Runner: runner.ID, Kind: engine.OrderUnloadAdapter, Adapter: name,
				})
			}
		}
	}
}

func (p *plan) wantedAdapters(runner *plannedRunner) []weight.Artifact {
	var wanted []weight.Artifact
	for _, model := range p.input.Models {
		if runner.serves(model.Name) {
			wanted = append(wanted, model.Adapters...)
		}
	}
	return wanted
}

func (r *plannedRunner) adapterPending(name string) bool {
	return slices.ContainsFunc(r.Pending, func(order Order) bool { return order.Adapter == name })
}
