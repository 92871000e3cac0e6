package overloadsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
)

// runner is one engine: the stand-in without sockets, stepped by the simulated clock.
type runner struct {
	index   int
	id      ident.Runner
	clock   *virtualtime.Clock
	link    func() time.Duration
	engine  *enginesim.Virtual
	options enginesim.Options
	// stepping says that a step is under way; lives counts the starts, so that steps of an earlier life end in nothing.
	stepping bool
	lives    int
	down     bool
	running  map[uint64]*attempt
	busy     time.Duration
	full     float64
}

func newRunner(index int, clock *virtualtime.Clock, link func() time.Duration, options enginesim.Options) *runner {
	return &runner{index: index, id: runnerName(index), clock: clock, link: link, options: options, engine: enginesim.NewVirtual(options), running: map[uint64]*attempt{}}
}

// submit takes an attempt or reports that the waiting queue is full.
func (r *runner) submit(started *attempt) bool {
	if r.engine.Full(inference.Online) {
		return false
	}
	request := started.request
	sequence := enginesim.NewVirtualSequence(inference.Online, request.prompt, request.answer, request.request.PrefixBlocks)
	sequence.Token = func(last bool) { r.tell(started, sequence.Generated() == 1, last) }
	r.engine.Submit(sequence)
	r.running[started.id] = started
	r.step()
	return true
}

// step begins a step unless one is under way.
func (r *runner) step() {
	if r.stepping {
		return
	}
	duration, any := r.engine.Plan()
	if !any {
		return
	}
	r.stepping = true
	life := r.lives
	r.clock.After(duration, func() { r.finish(life, duration) })
}

func (r *runner) finish(life int, duration time.Duration) {
	if life != r.lives {
		return
	}
	r.stepping = false
	load := r.engine.Load()
	r.busy += duration
	r.full += duration.Seconds() * float64(load.RunningOnline) / float64(load.MaxSequences)
	r.engine.Apply()
	r.step()
}

// tell carries the first and the last token to the node.
func (r *runner) tell(started *attempt, first, last bool) {
	if !first && !last {
		return
	}
	if last {
		delete(r.running, started.id)
	}
	r.clock.After(r.link(), func() {
		if first {
			started.first()
		}
		if last {
			started.whole()
		}
	})
}

// crash breaks all sequences off. Calls fail until restart.
func (r *runner) crash() {
	r.down = true
	r.lives++
	r.stepping = false
	broken := r.running
	r.running = map[uint64]*attempt{}
	r.engine = enginesim.NewVirtual(r.options)
	for _, started := range sortedAttempts(broken) {
		r.clock.After(r.link(), started.broken)
	}
}

func (r *runner) restart() { r.down = false }

// load is the runner's report as of now.
func (r *runner) load() engine.LoadReport {
	load := r.engine.Load()
	return engine.LoadReport{
		Measured:      r.clock.Now(),
		RunningOnline: load.RunningOnline,
		WaitingOnline: load.WaitingOnline,
		MaxSequences:  load.MaxSequences,
		StepTime:      load.StepTime,
		Models:        []engine.LoadedModel{{Name: service, Version: "1"}},
	}
}
