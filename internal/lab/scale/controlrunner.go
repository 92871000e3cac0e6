package scale

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

const (
	// modelCount is the number of models in steady use; each runner holds one.
	modelCount = 29
	// answerTime is the mean length of an online answer.
	answerTime = 20 * time.Second
	// engineSequences is the sequences a runner runs at once; batch fills what online leaves but a few.
	engineSequences = 256
	engineReserve   = 4
	// reportLag is the age of an engine's figures.
	reportLag = 200 * time.Millisecond
	// loadReportBytes is about what one HTTP question for the load and its answer take.
	loadReportBytes = 200
)

// simulatedRunner is an engine that only counts.
type simulatedRunner struct {
	id          ident.Runner
	zone        ident.Zone
	region      ident.Region
	model       string
	online      int
	epoch       uint64
	owner       ident.Node
	incarnation string
	// leaving is the engine's own word, listedLeaving the machine list's; marked is when the first of them began.
	leaving, listedLeaving bool
	marked, lastWork       time.Time
}

func (r *simulatedRunner) report(now time.Time) engine.LoadReport {
	return engine.LoadReport{
		Measured:      now.Add(-reportLag),
		RunningOnline: r.online,
		RunningBatch:  max(0, engineSequences-engineReserve-r.online),
		MaxSequences:  engineSequences,
		MemoryUsed:    0.5 + float64(r.online)/(4*engineSequences),
		MemoryTokens:  400_000,
		StepTime:      25*time.Millisecond + time.Duration(r.online)*20*time.Microsecond,
		Models:        []engine.LoadedModel{{Name: r.model, Version: "2026-11"}},
		Leaving:       r.leaving,
		OwnerEpoch:    r.epoch,
		Owner:         r.owner,
		Incarnation:   r.incarnation,
	}
}

// requestCounts counts online requests of a run.
type requestCounts struct{ started, refused, met int64 }

// askEngine carries a question to an engine and the answer back.
func (f *controlFleet) askEngine(node *controlNode, runner ident.Runner, act func(*simulatedRunner), done func(answered bool)) {
	life := node.life
	counted := node.account(serviceEngine)
	counted.messagesOut++
	counted.bytesOut += loadReportBytes
	counted.bytesIn += loadReportBytes
	asked := f.byID[runner]
	self := node.hollow.Self
	if f.cut && (self.Region == "region-0") != (asked.region == "region-0") {
		f.fleet.schedule(callTimeout, func() {
			if node.alive(life) {
				done(false)
			}
		})
		return
	}
	delay := Near
	if self.Region != asked.region {
		delay = Far
	}
	f.fleet.schedule(delay, func() {
		act(asked)
		f.fleet.schedule(delay, func() {
			if node.alive(life) {
				done(true)
			}
		})
	})
}

func (f *controlFleet) poll(node *controlNode, runner ident.Runner) {
	var report engine.LoadReport
	f.askEngine(node, runner, func(asked *simulatedRunner) { report = asked.report(f.fleet.now) }, func(answered bool) {
		node.exchange.Polled(runner)
		node.table.ObserveProbe(runner, f.fleet.now, answered)
		if !answered {
			node.table.ObserveFailure(runner, f.fleet.now)
			return
		}
		node.table.ObserveReport(runner, report, f.fleet.now)
	})
}

// planOwnership asks the engines whose word is needed and claims those that are due.
func (f *controlFleet) planOwnership(node *controlNode) {
	node.refresh()
	var runners []ownership.Runner
	for _, view := range node.table.Runners(f.fleet.now) {
		if !view.Leaving {
			runners = append(runners, ownership.Runner{ID: view.ID, Zone: view.Zone})
		}
	}
	distance := func(from, to ident.Zone) float64 { return f.distance[from][to] }
	for _, runner := range node.planner.Plan(f.fleet.now, runners, node.view.Members, distance) {
		f.askOwner(node, runner)
	}
}

func (f *controlFleet) askOwner(node *controlNode, runner ident.Runner) {
	asked := f.fleet.now
	var word ownership.Word
	f.askEngine(node, runner, func(answers *simulatedRunner) {
		word = ownership.Word{Epoch: answers.epoch, Owner: answers.owner, Incarnation: answers.incarnation, Asked: asked}
	}, func(answered bool) {
		if !answered {
			node.planner.Failed(runner, f.fleet.now)
			return
		}
		node.planner.Observe(runner, word, f.fleet.now)
		node.refresh()
		if epoch, due := node.planner.Claim(runner, f.fleet.now, node.view.Members); due {
			f.claim(node, runner, epoch)
		}
	})
}

func (f *controlFleet) claim(node *controlNode, runner ident.Runner, epoch uint64) {
	granted := false
	f.askEngine(node, runner, func(asked *simulatedRunner) {
		if epoch > asked.epoch {
			asked.epoch, asked.owner, granted = epoch, node.hollow.Self.Node, true
		}
	}, func(answered bool) {
		switch {
		case !answered:
			node.planner.Failed(runner, f.fleet.now)
		case granted:
			node.planner.Claimed(runner, epoch, f.byID[runner].incarnation, f.fleet.now)
		default:
			node.planner.Fenced(runner, epoch, f.fleet.now)
		}
	})
}

// scheduleRequest lets callers come to a node at random, at an equal rate for each node.
func (f *controlFleet) scheduleRequest(node *controlNode, life int) {
	mean := float64(f.control.Shape.Nodes) / f.control.Rate * float64(time.Second)
	f.fleet.schedule(time.Duration(node.random.ExpFloat64()*mean), func() {
		if !node.alive(life) {
			return
		}
		f.request(node)
		f.scheduleRequest(node, life)
	})
}

// request routes one online request as a dispatcher does and lets it run on the runner.
func (f *controlFleet) request(node *controlNode) {
	begun := processorTime()
	model := f.runners[node.random.IntN(len(f.runners))].model
	zone := node.hollow.Self.Zone
	snapshot := node.table.Snapshot(zone, f.distance[zone], model, nil, f.fleet.now)
	decision, refusal := schedule.Decide(snapshot, &inference.Request{Model: model}, f.fleet.now, node.random, schedule.Options{})
	f.loadTime += processorTime() - begun
	if refusal != nil {
		f.requests.refused++
		return
	}
	for _, candidate := range decision.Candidates {
		chosen := f.byID[candidate.Runner]
		if chosen.leaving {
			f.requests.met++
			node.table.ObserveLeaving(chosen.id, true, f.fleet.now)
			continue
		}
		f.run(node, chosen)
		return
	}
}

func (f *controlFleet) run(node *controlNode, chosen *simulatedRunner) {
	f.requests.started++
	chosen.online++
	chosen.lastWork = f.fleet.now
	node.table.Start(chosen.id, nil)
	life := node.life
	f.fleet.schedule(time.Duration(node.random.ExpFloat64()*float64(answerTime)), func() {
		chosen.online--
		if node.alive(life) {
			node.table.End(chosen.id)
		}
	})
}
