package enginesim

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/prefixcache"
)

func newTestScheduler(options Options) *scheduler {
	options = options.withDefaults()
	cache := prefixcache.New(options.BlockTokens, func(uint64, bool) {})
	return &scheduler{options: options, cache: cache, started: func(*sequence) {}}
}

func newTestSequence(class inference.Class, prompt, answer int) *sequence {
	return &sequence{class: class, prompt: Prompt{Tokens: prompt, AnswerTokens: answer}}
}

// The scheduler never exceeds its bounds, never admits batch while online waits, and finishes all work.
func TestSchedulerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := newTestScheduler(Options{
			MaxSequences: rapid.IntRange(1, 8).Draw(t, "sequences"),
			MemoryTokens: rapid.IntRange(300, 2000).Draw(t, "memory"),
			StepTokens:   rapid.IntRange(1, 200).Draw(t, "budget"),

			IgnorePriority: rapid.Bool().Draw(t, "ignore priority"),
			NoPreemption:   rapid.Bool().Draw(t, "no preemption"),
		})
		preempts := !scheduler.options.IgnorePriority && !scheduler.options.NoPreemption
		var all []*sequence
		for range rapid.IntRange(1, 30).Draw(t, "count") {
			class := inference.Class(rapid.IntRange(0, 1).Draw(t, "class"))
			created := newTestSequence(class, rapid.IntRange(1, 200).Draw(t, "prompt"), rapid.IntRange(1, 100).Draw(t, "answer"))
			scheduler.enqueue(created)
			all = append(all, created)
		}
		for len(scheduler.running)+len(scheduler.waiting[0])+len(scheduler.waiting[1]) > 0 {
			planned := scheduler.plan()
			assert.Assert(t, len(scheduler.running) <= scheduler.options.MaxSequences)
			assert.Assert(t, planned.decoding+planned.prefillTokens > 0, "a step without work")
			assert.Assert(t, planned.prefillTokens <= max(scheduler.options.StepTokens-planned.decoding, 1))
			if running, _ := scheduler.counts(inference.Batch); running > 0 && preempts {
				assert.Equal(t, len(scheduler.waiting[inference.Online]), 0, "online waits while batch runs")
			}
			scheduler.apply()
			assert.Assert(t, len(scheduler.running) <= 1 || scheduler.memory() <= scheduler.options.MemoryTokens)
		}
		for _, finished := range all {
			assert.Equal(t, finished.generated, finished.prompt.AnswerTokens)
		}
	})
}

func TestPrefixCacheSkipsPrefill(t *testing.T) {
	scheduler := newTestScheduler(Options{StepTokens: 10_000})
	prompt := Prompt{Text: string(make([]byte, 64*bytesPerToken*10)), Tokens: 640, AnswerTokens: 1}
	for _, expected := range []int{640, 1} {
		next := &sequence{prompt: prompt, blocks: prompt.Blocks(DefaultBlockTokens)}
		scheduler.enqueue(next)
		assert.Equal(t, scheduler.plan().prefillTokens, expected)
		scheduler.apply()
	}
}
