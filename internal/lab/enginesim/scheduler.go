package enginesim

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/prefixcache"
)

// scheduler decides what runs in each step. It does no I/O and knows no time; the engine's lock guards it.
type scheduler struct {
	options Options
	cache   *prefixcache.Cache
	// waiting is indexed by inference.Class; with IgnorePriority all wait in the first queue.
	waiting [2][]*sequence
	// running is in order of admission.
	running []*sequence
	// started is told when a sequence is admitted.
	started  func(*sequence)
	counters Counters
}

func (s *scheduler) queueOf(sequence *sequence) *[]*sequence {
	if s.options.IgnorePriority {
		return &s.waiting[inference.Online]
	}
	return &s.waiting[sequence.class]
}

// full says whether the waiting queue of the class takes no more.
func (s *scheduler) full(class inference.Class) bool {
	if s.options.IgnorePriority {
		return len(s.waiting[inference.Online]) >= 2*s.options.MaxWaiting
	}
	return len(s.waiting[class]) >= s.options.MaxWaiting
}

func (s *scheduler) enqueue(sequence *sequence) {
	sequence.state = stateWaiting
	queue := s.queueOf(sequence)
	*queue = append(*queue, sequence)
}

// remove takes a sequence out of the queues and the running set.
func (s *scheduler) remove(sequence *sequence) {
	queue := s.queueOf(sequence)
	*queue = without(*queue, sequence)
	s.running = without(s.running, sequence)
}

func without(sequences []*sequence, gone *sequence) []*sequence {
	index := slices.Index(sequences, gone)
	if index < 0 {
		return sequences
	}
	return slices.Delete(sequences, index, index+1)
}

// step is the plan of one step.
type step struct {
	decoding, prefillTokens int
}

// plan admits what fits and shares out the token budget of the step: decoding first, then online prefill, then batch.
func (s *scheduler) plan() step {
	s.admit(inference.Online)
	if len(s.waiting[inference.Online]) == 0 {
		s.admit(inference.Batch)
	}
	s.cache.Shrink(s.options.MemoryTokens - s.memory())
	var planned step
	for _, sequence := range s.running {
		sequence.prefill = 0
		if sequence.pending == 0 {
			planned.decoding++
		}
	}
	budget := max(s.options.StepTokens-planned.decoding, 1)
	budget = s.sharePrefill(budget, &planned, func(sequence *sequence) bool { return s.goesFirst(sequence) })
	s.sharePrefill(budget, &planned, func(sequence *sequence) bool { return !s.goesFirst(sequence) })
	return planned
}

func (s *scheduler) goesFirst(sequence *sequence) bool {
	return s.options.IgnorePriority || sequence.class == inference.Online
}

func (s *scheduler) sharePrefill(budget int, planned *step, eligible func(*sequence) bool) int {
	for _, sequence := range s.running {
		if sequence.pending == 0 || !eligible(sequence) {
			continue
		}
		sequence.prefill = min(sequence.pending, budget)
		planned.prefillTokens += sequence.prefill
		budget -= sequence.prefill
	}
	return budget
}

func (s *scheduler) admit(class inference.Class) {
	mayPreempt := class == inference.Online && !s.options.NoPreemption && !s.options.IgnorePriority
	for len(s.waiting[class]) > 0 {
		next := s.waiting[class][0]
		for !s.fits(next) {
			if !mayPreempt || !s.preempt(inference.Batch) {
				return
			}
		}
		s.waiting[class] = s.waiting[class][1:]
		s.start(next)
	}
}

// fits says whether a sequence can run with room for one token more for every running one.
func (s *scheduler) fits(next *sequence) bool {
	if len(s.running) >= s.options.MaxSequences {
		return false
	}
	if len(s.running) == 0 {
		return true
	}
	return s.memory()+next.memory()+len(s.running)+1 <= s.options.MemoryTokens
}

func (s *scheduler) start(sequence *sequence) {
	sequence.state = stateRunning
	cached := min(s.cache.Hit(sequence.blocks), sequence.memory()-1)
	sequence.pending = sequence.memory() - max(cached, 0)
	s.counters.Cached[sequence.class] += int64(max(cached, 0))
	s.running = append(s.running, sequence)
	s.started(sequence)
}

// preempt returns the latest running sequence of the class to the head of its queue; its prompt and tokens are
// computed again when it is admitted next.
func (s *scheduler) preempt(class inference.Class) bool {
	for index := len(s.running) - 1; index >= 0; index-- {
		sequence := s.running[index]
		if sequence.class != class {
			continue
		}
		s.running = slices.Delete(s.running, index, index+1)
		sequence.state = stateWaiting
		s.counters.Preempted++
		queue := s.queueOf(sequence)
		*queue = slices.Insert(*queue, 0, sequence)
		return true
	}
	return false
}

// memory returns the KV memory of the running sequences, in tokens.
func (s *scheduler) memory() int {
	total := 0
	for _, sequence := range s.running {
		total += sequence.memory()
	}
	return total
}

// apply books the work of a finished step and returns the sequences whose answers are now whole.
func (s *scheduler) apply() []*sequence {
	var finished []*sequence
	for _, sequence := range s.running {
		if sequence.pending > 0 {
			sequence.pending -= sequence.prefill
			s.counters.Prefilled[sequence.class] += int64(sequence.prefill)
			sequence.prefill = 0
			if sequence.pending > 0 {
				continue
			}
			s.cache.Store(sequence.blocks, s.options.MemoryTokens-s.memory())
		}
		sequence.generated++
		s.counters.Tokens[sequence.class]++
		if sequence.generated >= sequence.prompt.AnswerTokens {
			finished = append(finished, sequence)
		}
	}
	for _, sequence := range finished {
		sequence.state = stateFinished
		s.running = without(s.running, sequence)
	}
	s.relieve()
	return finished
}

// relieve preempts until the running sequences fit into memory; one always stays.
func (s *scheduler) relieve() {
	for len(s.running) > 1 && s.memory() > s.options.MemoryTokens {
		if !s.preempt(inference.Batch) {
			s.preempt(inference.Online)
		}
	}
}

// counts returns the running and waiting sequences of a class.
func (s *scheduler) counts(class inference.Class) (running, waiting int) {
	for _, sequence := range s.running {
		if sequence.class == class {
			running++
		}
	}
	for _, queue := range s.waiting {
		for _, sequence := range queue {
			if sequence.class == class {
				waiting++
			}
		}
	}
	return running, waiting
}
