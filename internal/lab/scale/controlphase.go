package scale

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// failuresOfADay is the machines that crash for good on an ordinary day, beside the replacements.
	failuresOfADay = 8
	// leavingPhase is how long a runner that begins to leave is watched.
	leavingPhase = 6 * time.Second
)

// Phases lists the phases of a control run in their order. Each begins in the state that those before it left.
func Phases() []string {
	return []string{"start", "steady", "leaving", "changes", "zone", "region"}
}

// Run plays the chosen phases: the start of the whole fleet, steady service, two runners that leave, a day's replacements and
// failures within one fault's length, the loss and return of a zone, the cut and heal of a region.
func (c Control) Run() []ControlMeasurement {
	f := newControlFleet(c)
	for _, phase := range Phases() {
		if slices.Contains(c.Phases, phase) {
			f.play(phase)
		}
	}
	return f.results
}

func (f *controlFleet) play(phase string) {
	c := f.control
	switch phase {
	case "start":
		f.measure("start", c.Settle, func() {})
	case "steady":
		f.measure("steady", c.Steady, func() {})
	case "leaving":
		f.measureLeaving("leaving, by list", func(runner *simulatedRunner) { runner.listedLeaving = true })
		f.measureLeaving("leaving, by engine", func(runner *simulatedRunner) { runner.leaving = true })
	case "changes":
		f.measure("a day's changes", c.Fault, f.scheduleChanges)
		f.measure("rest", c.Settle, func() {})
	case "zone":
		f.loseZone()
	case "region":
		f.measure("region cut", c.Fault, func() { f.cut = true })
		f.measure("region healed", c.Settle, func() { f.cut = false })
	}
}

func (f *controlFleet) loseZone() {
	lost := f.running(f.control.Shape.Place(1).Zone)
	f.measure("zone lost", f.control.Fault, func() { f.stop(lost) })
	f.measure("zone back", f.control.Settle, func() {
		for _, node := range lost {
			f.restart(node)
		}
	})
}

func (f *controlFleet) running(zone ident.Zone) []*controlNode {
	var nodes []*controlNode
	for _, hollow := range f.fleet.Order {
		if hollow.Up && (zone == "" || hollow.Self.Zone == zone) {
			nodes = append(nodes, f.nodes[hollow.Self.Node])
		}
	}
	return nodes
}

func (f *controlFleet) stop(nodes []*controlNode) {
	for _, node := range nodes {
		f.fleet.Stop(node.hollow)
	}
}

// scheduleChanges spreads a day's replacements and failures over the length of a fault, but its last quarter.
func (f *controlFleet) scheduleChanges() {
	// Small fleets have their part of them.
	const designNodes = 330
	changes := max(1, (replacementsOfADay+failuresOfADay)*f.control.Shape.Nodes/designNodes)
	pause := f.control.Fault * 3 / 4 / time.Duration(changes)
	for change := range changes {
		f.fleet.schedule(time.Duration(change)*pause, f.replace)
	}
}

// replace ends a machine, by plan or by a crash in turn, and starts another in its zone.
func (f *controlFleet) replace() {
	running := f.running("")
	victim := running[f.fleet.Random().IntN(len(running))]
	if f.started%2 == 0 {
		f.fleet.Stop(victim.hollow)
	} else {
		victim.hollow.Core.Leave()
		f.fleet.Exit(victim.hollow)
	}
	replacement := f.control.Shape.Place(f.started)
	replacement.Zone, replacement.Region = victim.hollow.Self.Zone, victim.hollow.Self.Region
	f.started++
	f.addNode(replacement)
}

// measureLeaving marks the runner in use that has the most online work and measures the time to its last new work.
func (f *controlFleet) measureLeaving(phase string, mark func(*simulatedRunner)) {
	busiest := f.runners[0]
	for _, runner := range f.runners {
		if runner.marked.IsZero() && runner.online > busiest.online {
			busiest = runner
		}
	}
	f.measure(phase, leavingPhase, func() {
		busiest.marked = f.fleet.now
		mark(busiest)
	})
	last := &f.results[len(f.results)-1]
	last.LastWork = max(0, busiest.lastWork.Sub(busiest.marked))
}

// sampleOwners looks at all claims and at what owners know of online work.
func (f *controlFleet) sampleOwners() {
	owners := map[ident.Runner][]*controlNode{}
	for _, node := range f.running("") {
		for _, owned := range node.planner.Owned(f.fleet.now) {
			owners[owned.Runner] = append(owners[owned.Runner], node)
		}
	}
	none, two := 0, 0
	for _, runner := range f.runners {
		holders := owners[runner.id]
		switch {
		case !runner.marked.IsZero():
			continue
		case len(holders) == 0:
			none++
		case len(holders) > 1:
			two++
		}
		if len(holders) > 0 {
			f.owners.addError(f.knownOnline(holders[0], runner), runner.online)
		}
	}
	f.owners.add(none, two, f.fleet.now)
}

// knownOnline is what an owner knows of the online work: the engine's last word, or the counts if they are higher.
func (f *controlFleet) knownOnline(node *controlNode, runner *simulatedRunner) int {
	view, _ := node.table.Runner(runner.id, f.fleet.now)
	counted := view.OwnInFlight + view.PeersInFlight
	if view.Report == nil {
		return counted
	}
	return max(counted, view.Report.RunningOnline)
}

// ownerSamples adds up the samples of a phase, one a second.
type ownerSamples struct {
	samples, noneSum, twoSum int
	noneMost, twoMost        int
	lastBad                  time.Time
	under, over, online      int
}

func (o *ownerSamples) add(none, two int, now time.Time) {
	o.samples++
	o.noneSum += none
	o.twoSum += two
	o.noneMost = max(o.noneMost, none)
	o.twoMost = max(o.twoMost, two)
	if none+two > 0 {
		o.lastBad = now
	}
}

func (o *ownerSamples) addError(known, online int) {
	o.online += online
	o.under += max(0, online-known)
	o.over += max(0, known-online)
}
