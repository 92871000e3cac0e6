package interferencesim

// arm is one way of running batch beside online.
type arm struct {
	name           string
	ignorePriority bool
	// promptless gives batch items prompts of one token.
	promptless bool
	online     bool
	startBatch func(*fleet)
}

// Names of the arms.
const (
	OnlineAlone  = "online_alone"
	BatchAlone   = "batch_alone"
	OneQueue     = "one_queue"
	PriorityOnly = "priority_only"
	FixedSplit   = "fixed_split"
	Promptless   = "promptless"
	System       = "system"
)

// references are the arms the others are compared with.
func references() []arm {
	return []arm{
		{name: OnlineAlone, online: true, startBatch: func(*fleet) {}},
		{name: BatchAlone, startBatch: func(fleet *fleet) { fleet.startDirect(fleet.runners) }},
	}
}

func compared() []arm {
	everywhere := func(fleet *fleet) { fleet.startDirect(fleet.runners) }
	return []arm{
		{name: OneQueue, online: true, ignorePriority: true, startBatch: everywhere},
		{name: PriorityOnly, online: true, startBatch: everywhere},
		{name: FixedSplit, online: true, startBatch: startSplit},
		// Batch without prefill to place: what the sequences alone cost, below which no placement of prompts can come.
		{name: Promptless, online: true, promptless: true, startBatch: everywhere},
		{name: System, online: true, startBatch: startWorkers},
	}
}

// startSplit gives batch a third of the runners, at least one.
func startSplit(fleet *fleet) {
	count := max(1, len(fleet.runners)/3)
	fleet.onlineRunners = fleet.runners[count:]
	fleet.startDirect(fleet.runners[:count])
}

// startDirect keeps a fixed number of items under way on each of the runners, whatever online work does.
func (f *fleet) startDirect(runners []*runner) {
	for _, target := range runners {
		idle := int(workersPerSlot * float64(f.options.MaxSequences))
		var start func()
		start = func() {
			for idle > 0 {
				next := f.backlog.take()
				if next == nil {
					return
				}
				idle--
				f.runDirect(target, next, func() {
					idle++
					start()
				})
			}
		}
		f.moreBatch = append(f.moreBatch, start)
		f.clock.After(0, start)
	}
}

func (f *fleet) runDirect(target *runner, started *item, done func()) {
	started.sequence.Token = func(last bool) {
		if !last {
			return
		}
		target.from.send(func() {
			f.completed(started)
			done()
		})
	}
	target.to.send(func() { target.submit(started.sequence) })
}
