package interferencesim

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
)

// fleet is one arm under way.
type fleet struct {
	options Options
	arm     arm
	clock   *virtualtime.Clock
	// random draws the jitter.
	random  *rand.Rand
	prompts *prompts
	backlog backlog
	runners []*runner
	// onlineRunners get the online requests.
	onlineRunners []*runner
	// workers are the nodes' batch workers, by node; nil in arms without the system.
	workers []*worker
	// moreBatch is called when a heap has come.
	moreBatch []func()
	measured  measured
}

// runner is one engine with its step loop.
type runner struct {
	clock    *virtualtime.Clock
	index    int
	engine   *enginesim.Virtual
	stepping bool
	// online counts the online requests under way, from dispatch to the last token at the node.
	online int
	// to and from carry the calls to the engine and its answers.
	to, from *link
	// told are the counts the nodes tell the runner's owner, by node.
	told []told
}

func newFleet(options Options, arm arm) *fleet {
	created := &fleet{
		clock:   virtualtime.New(virtualtime.Epoch),
		options: options,
		arm:     arm,
		prompts: newPrompts(options),
		random:  rand.New(rand.NewPCG(options.Seed, 3)),
	}
	created.backlog = backlog{prompts: created.prompts, endless: options.HeapEvery == 0, promptless: arm.promptless}
	engineOptions := enginesim.Options{MaxSequences: options.MaxSequences, IgnorePriority: arm.ignorePriority}
	for index := range options.Runners {
		added := &runner{
			clock:  created.clock,
			index:  index,
			engine: enginesim.NewVirtual(engineOptions),
			to:     created.newLink(options.CallDelay),
			from:   created.newLink(options.CallDelay),
			told:   make([]told, options.Nodes),
		}
		for node := range added.told {
			added.told[node].link = created.newLink(options.CountDelay)
		}
		created.runners = append(created.runners, added)
	}
	created.onlineRunners = created.runners
	return created
}

func (f *fleet) newLink(delay time.Duration) *link {
	return &link{clock: f.clock, random: f.random, delay: delay, jitter: f.options.Jitter}
}

// submit gives the engine a sequence; an engine without work begins a step at once.
func (r *runner) submit(sequence *enginesim.VirtualSequence) {
	r.engine.Submit(sequence)
	if !r.stepping {
		r.step()
	}
}

func (r *runner) step() {
	duration, busy := r.engine.Plan()
	r.stepping = busy
	if !busy {
		return
	}
	r.clock.After(duration, func() {
		r.engine.Apply()
		r.step()
	})
}

// run plays the arm and returns what was measured.
func (f *fleet) run() measured {
	f.arm.startBatch(f)
	f.startHeaps()
	if f.arm.online {
		f.setArrivals(arrivals(f.options))
	}
	end := f.options.duration()
	f.clock.RunUntil(virtualtime.Epoch.Add(warmup))
	before := f.counters()
	f.measured.open = true
	f.clock.RunUntil(virtualtime.Epoch.Add(end))
	f.measured.open = false
	f.measured.counters = f.counters().Minus(before)
	f.measured.window = end - warmup
	// Requests that are under way still count; batch goes on beside them.
	f.clock.RunUntil(virtualtime.Epoch.Add(end + warmup))
	return f.measured
}

func (f *fleet) counters() enginesim.Counters {
	var sum enginesim.Counters
	for _, runner := range f.runners {
		sum = sum.Minus(enginesim.Counters{}.Minus(runner.engine.Counters()))
	}
	return sum
}

// setArrivals sets the first arrival; each sets the next.
func (f *fleet) setArrivals(planned []request) {
	if len(planned) == 0 {
		return
	}
	f.clock.After(planned[0].at-f.clock.Elapsed(), func() {
		f.dispatch(planned[0])
		f.setArrivals(planned[1:])
	})
}

// dispatch sends a request to the runner with the fewest under way.
func (f *fleet) dispatch(planned request) {
	chosen := f.leastLoaded(planned.choice)
	node := int(planned.choice>>32) % f.options.Nodes
	f.count(chosen, node, 1)
	sequence := f.prompts.online(planned)
	var lastToken time.Duration
	sequence.Token = func(last bool) {
		now := f.clock.Elapsed()
		if planned.at >= warmup {
			f.measured.token(chosen.from.arrival()-planned.at, now-lastToken, sequence.Generated() == 1)
		}
		lastToken = now
		if last {
			chosen.from.send(func() { f.count(chosen, node, -1) })
		}
	}
	chosen.to.send(func() { chosen.submit(sequence) })
}

func (f *fleet) leastLoaded(choice uint64) *runner {
	count := len(f.onlineRunners)
	first := int(choice % uint64(count))
	chosen := f.onlineRunners[first]
	for offset := range count {
		candidate := f.onlineRunners[(first+offset)%count]
		if candidate.online < chosen.online {
			chosen = candidate
		}
	}
	return chosen
}

// startHeaps sets the batch heaps, the first at once.
func (f *fleet) startHeaps() {
	if f.options.HeapEvery == 0 {
		return
	}
	f.backlog.waiting += int(f.options.HeapShare * f.options.itemsPerSecond() * f.options.HeapEvery.Seconds())
	for _, start := range f.moreBatch {
		start()
	}
	f.clock.After(f.options.HeapEvery, f.startHeaps)
}

// completed books a whole batch answer.
func (f *fleet) completed(done *item) {
	if !f.measured.open {
		return
	}
	f.measured.items++
	f.measured.batchTokens += int64(done.answer)
	f.measured.batchPrompts += int64(done.prompt)
}

// needed returns the engine time that the measured batch answers take when every step runs full.
func (f *fleet) needed() time.Duration {
	var counters enginesim.Counters
	counters.Tokens[inference.Batch] = f.measured.batchTokens
	counters.Prefilled[inference.Batch] = f.measured.batchPrompts
	return counters.NeededTime(inference.Batch, costModel(), f.options.MaxSequences)
}
