package overloadsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
)

// runner is one engine: the stand-in's scheduler stepped by the simulated clock.
type runner struct {
	index   int
	id      ident.Runner
	clock   *virtualtime.Clock
	link    func() time.Duration
	stepper *enginesim.Stepper
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
	return &runner{index: index, id: runnerName(index), clock: clock, link: link, options: options, stepper: enginesim.NewStepper(options), running: map[uint64]*attempt{}}
}

// submit takes an attempt or reports that the waiting queue is full.
func (r *runner) submit(started *attempt) bool {
	request := started.request
	work := enginesim.Work{ID: started.id, PromptTokens: request.prompt, AnswerTokens: request.answer, Blocks: request.request.PrefixBlocks}
	if !r.stepper.Submit(work) {
		return false
	}
	r.running[started.id] = started
	r.step()
	return true
}

// step begins a step unless one is under way.
func (r *runner) step() {
	if r.stepping {
		return
	}
	duration, any := r.stepper.Begin()
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
	running, _ := r.stepper.Online()
	r.busy += duration
	r.full += duration.Seconds() * float64(running) / float64(r.stepper.MaxSequences())
	for _, made := range r.stepper.Finish() {
		r.tell(made)
	}
	r.step()
}

// tell carries tokens to the node.
func (r *runner) tell(made enginesim.Progress) {
	started := r.running[made.ID]
	if made.Whole {
		delete(r.running, made.ID)
	}
	r.clock.After(r.link(), func() {
		if made.First {
			started.first()
		}
		if made.Whole {
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
	r.stepper = enginesim.NewStepper(r.options)
	for _, started := range sortedAttempts(broken) {
		r.clock.After(r.link(), started.broken)
	}
}

func (r *runner) restart() { r.down = false }

// load is the runner's report as of now.
func (r *runner) load() engine.LoadReport {
	running, waiting := r.stepper.Online()
	return engine.LoadReport{
		Measured:      r.clock.Now(),
		RunningOnline: running,
		WaitingOnline: waiting,
		MaxSequences:  r.stepper.MaxSequences(),
		StepTime:      r.stepper.StepTime(),
		Models:        []engine.LoadedModel{{Name: service, Version: "1"}},
	}
}
