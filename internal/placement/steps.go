package placement

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// dropUnlisted unloads models that the configuration no longer names.
func (p *plan) dropUnlisted() {
	for _, runner := range p.runners {
		for _, loaded := range runner.Models {
			if _, listed := p.models[loaded.Name]; !listed && !runner.gone[copyKey(loaded.Name, loaded.Version)] {
				p.unload(runner, loaded.Name, loaded.Version)
			}
		}
	}
}

// dropOldVersions unloads an old version where the new one is loaded beside it: the second half of a roll.
func (p *plan) dropOldVersions() {
	for _, runner := range p.runners {
		for _, loaded := range runner.Models {
			model, listed := p.models[loaded.Name]
			old := listed && loaded.Version != model.Version && !runner.gone[copyKey(loaded.Name, loaded.Version)]
			if old && runner.holds(model.Name, model.Version) {
				p.unload(runner, loaded.Name, loaded.Version)
			}
		}
	}
}

// fill loads the copies a model lacks, where there is room, or makes room for them.
func (p *plan) fill(model Model) {
	missing := model.Copies - p.planned(model.Name)
	for _, runner := range preferred(p.runners, model.Name) {
		if missing <= 0 {
			return
		}
		if runner.serves(model.Name) || runner.expects(model.Name) || runner.hasCopyLeft(model.Name) {
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
		if !runner.serves(model.Name) && !runner.expects(model.Name) && p.makeRoom(runner, model) {
			missing--
		}
	}
	if missing > 0 {
		p.output.Short = append(p.output.Short, model.Name)
	}
}

// hasCopyLeft says whether a copy on its way out still fills memory.
func (s *site) hasCopyLeft(model string) bool {
	return slices.ContainsFunc(s.Models, func(loaded engine.LoadedModel) bool { return loaded.Name == model })
}

// makeRoom unloads copies beyond what is wanted, if that gives the model room on the runner. Room that earlier unloads
// make is counted first. It says whether there will be room.
func (p *plan) makeRoom(runner *site, model Model) bool {
	room := p.free(runner)
	for _, loaded := range runner.Models {
		if runner.gone[copyKey(loaded.Name, loaded.Version)] {
			room += p.bytes(loaded.Name, runner)
		}
	}
	var spare []engine.LoadedModel
	for _, loaded := range runner.Models {
		if room >= model.Bytes {
			break
		}
		if p.isSpare(runner, loaded) {
			spare = append(spare, loaded)
			room += p.bytes(loaded.Name, runner)
		}
	}
	if room < model.Bytes {
		return false
	}
	for _, loaded := range spare {
		p.unload(runner, loaded.Name, loaded.Version)
	}
	return true
}

// isSpare says whether a copy is beyond what its model wants. Copies are unloaded for room only, never for tidiness.
func (p *plan) isSpare(runner *site, loaded engine.LoadedModel) bool {
	if runner.gone[copyKey(loaded.Name, loaded.Version)] || runner.expects(loaded.Name) {
		return false
	}
	return p.copies(loaded.Name) > p.models[loaded.Name].Copies && p.mayUnload(loaded.Name, runner)
}

// roll brings some copies of old versions to the new one. Where there is room the new version is loaded beside the old
// one; else the old one is unloaded first, if others serve the model meanwhile.
func (p *plan) roll(model Model) {
	var old []*site
	rolling := 0
	for _, runner := range preferred(p.runners, model.Name) {
		switch {
		case runner.expects(model.Name), runner.hasCopyLeft(model.Name) && !runner.serves(model.Name):
			rolling++
		case runner.serves(model.Name) && !runner.holds(model.Name, model.Version):
			old = append(old, runner)
		}
	}
	atOnce := max(1, int(float64(p.planned(model.Name))*p.input.Limits.RollShare))
	for _, runner := range old {
		if rolling >= atOnce {
			return
		}
		if p.rollOne(runner, model) {
			rolling++
		}
	}
}

func (p *plan) rollOne(runner *site, model Model) bool {
	if p.free(runner) >= model.Bytes {
		return p.load(runner, model)
	}
	if !p.mayUnload(model.Name, runner) {
		return false
	}
	for _, loaded := range runner.Models {
		if loaded.Name == model.Name && !runner.gone[copyKey(loaded.Name, loaded.Version)] {
			p.unload(runner, loaded.Name, loaded.Version)
		}
	}
	return true
}

// placeAdapters brings the adapters of each model to the runners that serve it, and drops those nobody names.
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

func (p *plan) wantedAdapters(runner *site) []weight.Artifact {
	var wanted []weight.Artifact
	for _, model := range p.input.Models {
		if runner.serves(model.Name) {
			wanted = append(wanted, model.Adapters...)
		}
	}
	return wanted
}

func (s *site) adapterPending(name string) bool {
	return slices.ContainsFunc(s.Pending, func(order Order) bool { return order.Adapter == name })
}
