package enginesim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// Stepper is the stand-in's scheduler and cost model without clock, sockets and goroutines, for simulations in virtual
// time. The caller begins a step, lets its duration pass, and finishes it. It is not safe for concurrent use.
type Stepper struct {
	scheduler scheduler
	sequences map[uint64]*sequence
	stepTime  time.Duration
}

// NewStepper returns an idle stepper. Zero options take the stand-in's defaults.
func NewStepper(options Options) *Stepper {
	options = options.withDefaults()
	created := &Stepper{sequences: map[uint64]*sequence{}}
	cache := newPrefixCache(options.BlockTokens, func(uint64, bool) {})
	created.scheduler = scheduler{options: options, cache: cache, started: func(*sequence) {}}
	return created
}

// Work is one online sequence: its prompt and answer in tokens, and the hashes of its prompt's leading blocks.
type Work struct {
	ID                         uint64
	PromptTokens, AnswerTokens int
	Blocks                     []uint64
}

// Submit queues work, or reports that the waiting queue is full.
func (s *Stepper) Submit(work Work) bool {
	if s.scheduler.full(inference.Online) {
		return false
	}
	prompt := Prompt{Tokens: work.PromptTokens, AnswerTokens: work.AnswerTokens}
	added := &sequence{class: inference.Online, prompt: prompt, blocks: work.Blocks, nonce: work.ID}
	s.sequences[work.ID] = added
	s.scheduler.enqueue(added)
	return true
}

// Begin plans a step and returns how long it lasts, or false if there is nothing to do.
func (s *Stepper) Begin() (time.Duration, bool) {
	planned := s.scheduler.plan()
	s.stepTime = s.scheduler.options.Cost.StepTime(planned.decoding, planned.prefillTokens)
	return s.stepTime, len(s.scheduler.running) > 0
}

// Progress is what a step brought one sequence.
type Progress struct {
	ID uint64
	// First says that the step gave the first token, Whole that it gave the last.
	First, Whole bool
}

// Finish books the step begun last and returns the sequences that got their first or their last token in it.
func (s *Stepper) Finish() []Progress {
	running := append([]*sequence(nil), s.scheduler.running...)
	before := make([]int, len(running))
	for index, sequence := range running {
		before[index] = sequence.generated
	}
	s.scheduler.apply()
	var progress []Progress
	for index, sequence := range running {
		made := Progress{
			ID:    sequence.nonce,
			First: before[index] == 0 && sequence.generated > 0,
			Whole: sequence.state == stateFinished,
		}
		if made.Whole {
			delete(s.sequences, made.ID)
		}
		if made.First || made.Whole {
			progress = append(progress, made)
		}
	}
	return progress
}

// Online returns the running and the waiting sequences.
func (s *Stepper) Online() (running, waiting int) { return s.scheduler.counts(inference.Online) }

// MaxSequences returns the bound on running sequences.
func (s *Stepper) MaxSequences() int { return s.scheduler.options.MaxSequences }

// StepTime returns the duration of the step begun last.
func (s *Stepper) StepTime() time.Duration { return s.stepTime }
