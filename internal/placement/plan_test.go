package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// simulatedZone is a zone whose engines execute the planner's orders. Loads complete in finish.
type simulatedZone struct {
	limits  Limits
	runners []Runner
	models  []Model
	permits map[weight.Artifact]int
	granted map[weight.Artifact]int
	used    map[weight.Artifact]int
}

func drawZone(t *rapid.T) *simulatedZone {
	w := &simulatedZone{
		limits:  DefaultLimits(),
		permits: map[weight.Artifact]int{}, granted: map[weight.Artifact]int{}, used: map[weight.Artifact]int{},
	}
	w.limits.Loads = rapid.IntRange(1, 4).Draw(t, "loads")
	for index := range rapid.IntRange(1, 6).Draw(t, "runners") {
		w.runners = append(w.runners, Runner{
			ID: ident.Runner(fmt.Sprintf("r%d", index)), MemoryBytes: int64(rapid.IntRange(1, 4).Draw(t, "memory")),
		})
	}
	for index := range rapid.IntRange(1, 4).Draw(t, "models") {
		w.models = append(w.models, Model{Name: fmt.Sprintf("m%d", index), Version: "1", Bytes: 1})
	}
	w.retarget(t)
	return w
}

func (w *simulatedZone) retarget(t *rapid.T) {
	for index := range w.models {
		w.models[index].Copies = rapid.IntRange(0, len(w.runners)).Draw(t, "copies")
		w.models[index].Adapters = nil
		if rapid.Bool().Draw(t, "adapter") {
			w.models[index].Adapters = []weight.Artifact{{Name: "a" + w.models[index].Name, Version: "1"}}
		}
	}
}

// round runs Plan, checks its orders and applies them.
func (w *simulatedZone) round(t *rapid.T) Output {
	before := w.serving()
	runners := make([]Runner, len(w.runners))
	copy(runners, w.runners)
	permits := map[weight.Artifact]int{}
	for artifact, count := range w.permits {
		permits[artifact] = count
	}
	output := Plan(Input{Limits: w.limits, Runners: runners, Models: w.models, Permits: permits})
	for _, artifact := range output.Reserve {
		w.permits[artifact]++
		w.granted[artifact]++
	}
	for _, order := range output.Orders {
		w.send(t, order)
	}
	after := w.serving()
	for _, model := range w.models {
		if model.Copies > 0 && before[model.Name] > 0 && after[model.Name] == 0 {
			t.Fatalf("the last copy of %s was unloaded", model.Name)
		}
	}
	return output
}

func (w *simulatedZone) send(t *rapid.T, order Order) {
	runner := &w.runners[slices.IndexFunc(w.runners, func(r Runner) bool { return r.ID == order.Runner })]
	assert.Assert(t, !runner.Leaving, "an order for a leaving runner")
	if !order.loads() {
		w.apply(runner, order)
		return
	}
	w.used[order.artifact()]++
	w.permits[order.artifact()]--
	assert.Assert(t, w.used[order.artifact()] <= w.granted[order.artifact()], "a load without a permit")
	runner.Pending = append(runner.Pending, order)
	loading := 0
	for _, other := range w.runners {
		for _, pending := range other.Pending {
			if pending.Kind == engine.OrderLoadModel {
				loading++
			}
		}
	}
	assert.Assert(t, loading <= w.limits.Loads, "too many loads at once")
}

func (w *simulatedZone) apply(runner *Runner, order Order) {
	switch order.Kind {
	case engine.OrderLoadModel:
		runner.Models = append(slices.Clone(runner.Models), engine.LoadedModel{Name: order.Model, Version: order.Version})
	case engine.OrderUnloadModel:
		runner.Models = slices.DeleteFunc(slices.Clone(runner.Models), func(loaded engine.LoadedModel) bool {
			return loaded.Name == order.Model && loaded.Version == order.Version
		})
	case engine.OrderLoadAdapter:
		runner.Adapters = append(slices.Clone(runner.Adapters), order.Adapter)
	case engine.OrderUnloadAdapter:
		runner.Adapters = slices.DeleteFunc(slices.Clone(runner.Adapters), func(name string) bool { return name == order.Adapter })
	}
}

// finish completes the loads for which choose returns true and checks that the models fit in memory.
func (w *simulatedZone) finish(t *rapid.T, choose func() bool) {
	for index := range w.runners {
		runner := &w.runners[index]
		var still []Order
		for _, order := range runner.Pending {
			if choose() {
				w.apply(runner, order)
			} else {
				still = append(still, order)
			}
		}
		runner.Pending = still
		assert.Assert(t, int64(len(runner.Models)) <= runner.MemoryBytes, "memory of %s overrun", runner.ID)
	}
}

// serving counts the runners that serve each model and are not leaving.
func (w *simulatedZone) serving() map[string]int {
	counts := map[string]int{}
	for _, runner := range w.runners {
		seen := map[string]bool{}
		for _, loaded := range runner.Models {
			if !runner.Leaving && !seen[loaded.Name] {
				seen[loaded.Name] = true
				counts[loaded.Name]++
			}
		}
	}
	return counts
}

func always() bool { return true }

// settle plans until no orders or reservations remain.
func (w *simulatedZone) settle(t *rapid.T) Output {
	for range 300 {
		w.finish(t, always)
		output := w.round(t)
		if len(output.Orders) == 0 && len(output.Reserve) == 0 {
			return output
		}
	}
	t.Fatalf("the plan does not converge: %+v %+v", w.runners, w.models)
	return Output{}
}

// Under random changes of targets, versions and runners, the last copy in use is never unloaded, loads stay within their
// limits, and the plan converges with every model at its desired copies or reported short.
func TestPlanUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawZone(t)
		w.settle(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				w.retarget(t)
			case 1:
				index := rapid.IntRange(0, len(w.models)-1).Draw(t, "model")
				w.models[index].Version += "+"
			case 2:
				index := rapid.IntRange(0, len(w.runners)-1).Draw(t, "runner")
				w.runners[index].Leaving = !w.runners[index].Leaving
			case 3:
				index := rapid.IntRange(0, len(w.runners)-1).Draw(t, "runner")
				w.runners[index].Models, w.runners[index].Adapters, w.runners[index].Pending = nil, nil, nil
			}
			w.round(t)
			w.finish(t, func() bool { return rapid.Bool().Draw(t, "finished") })
		}
		output := w.settle(t)
		counts := w.serving()
		for _, model := range w.models {
			if counts[model.Name] < model.Copies && !slices.Contains(output.Short, model.Name) {
				t.Fatalf("%s has %d of %d copies: %+v", model.Name, counts[model.Name], model.Copies, w.runners)
			}
		}
	})
}

// A rollout reaches every copy, and at any time at most a quarter of the copies, or one, is out of service.
func TestRolloutKeepsCopiesInService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulatedZone{
			limits:  DefaultLimits(),
			permits: map[weight.Artifact]int{}, granted: map[weight.Artifact]int{}, used: map[weight.Artifact]int{},
		}
		count := rapid.IntRange(2, 8).Draw(t, "runners")
		memory := int64(rapid.IntRange(1, 2).Draw(t, "memory"))
		for index := range count {
			w.runners = append(w.runners, Runner{
				ID: ident.Runner(fmt.Sprintf("r%d", index)), MemoryBytes: memory, Models: []engine.LoadedModel{{Name: "m", Version: "1"}},
			})
		}
		w.models = []Model{{Name: "m", Version: "2", Bytes: 1, Copies: count}}
		fewest := count
		for range 200 {
			w.round(t)
			fewest = min(fewest, w.serving()["m"])
			w.finish(t, func() bool { return rapid.Bool().Draw(t, "finished") })
		}
		assert.Assert(t, fewest >= count-max(1, count/4), "%d of %d copies served", fewest, count)
		for _, runner := range w.runners {
			assert.DeepEqual(t, runner.Models, []engine.LoadedModel{{Name: "m", Version: "2"}})
		}
	})
}

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zones []ZoneSize
		total := 0
		for index := range rapid.IntRange(1, 11).Draw(t, "zones") {
			size := rapid.IntRange(0, 80).Draw(t, "runners")
			zones = append(zones, ZoneSize{Zone: ident.Zone(fmt.Sprintf("z%02d", index)), Runners: size})
			total += size
		}
		copies := rapid.IntRange(0, 900).Draw(t, "copies")
		sum := 0
		for _, zone := range zones {
			part := Share("s", copies, zones, zone.Zone)
			assert.Assert(t, part >= 0 && part <= zone.Runners)
			sum += part
		}
		assert.Equal(t, sum, min(copies, total))
	})
}
