package interferencesim

import (
	"math"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// request is one online arrival. The choice settles which node it enters at and ties between runners.
type request struct {
	at             time.Duration
	prompt, answer int
	prefix         uint64
	choice         uint64
}

// arrivals returns the online requests of a run; they depend on the options alone.
func arrivals(options Options) []request {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	rate := options.RatePerRunner * float64(options.Runners)
	if options.StepEvery > 0 {
		rate *= 2
	}
	var planned []request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= options.duration() {
			return planned
		}
		if options.StepEvery > 0 && at/options.StepEvery%2 == 0 {
			continue
		}
		planned = append(planned, request{
			at:     at,
			prompt: length(random, onlinePromptTokens) + prefixTokens + frameTokens,
			answer: length(random, onlineAnswerTokens),
			prefix: random.Uint64N(prefixes),
			choice: random.Uint64(),
		})
	}
}

func length(random *rand.Rand, median int) int {
	drawn := float64(median) * math.Exp(random.NormFloat64()*lengthSpread)
	return max(1, min(int(drawn), median*lengthLimit))
}

// prompts makes sequences with cache blocks that no other has, but for the shared prefix.
type prompts struct {
	random *rand.Rand
	next   uint64
}

func newPrompts(options Options) *prompts {
	return &prompts{random: rand.New(rand.NewPCG(options.Seed, 2)), next: 1 << 32}
}

// blocks returns the hashes of a prompt whose first blocks are given.
func (p *prompts) blocks(tokens int, shared []uint64) []uint64 {
	blocks := shared
	for len(blocks) < tokens/enginesim.DefaultBlockTokens {
		p.next++
		blocks = append(blocks, p.next)
	}
	return blocks
}

func (p *prompts) online(planned request) *enginesim.VirtualSequence {
	var shared []uint64
	for block := range uint64(prefixTokens / enginesim.DefaultBlockTokens) {
		shared = append(shared, planned.prefix<<8|block)
	}
	return enginesim.NewVirtualSequence(inference.Online, planned.prompt, planned.answer, p.blocks(planned.prompt, shared))
}

// item is one batch item.
type item struct {
	prompt, answer int
	sequence       *enginesim.VirtualSequence
	// runner keeps the item's tokens since keptAt, or is nil.
	runner *runner
	keptAt time.Duration
}

func (p *prompts) batch(promptless bool) *item {
	created := &item{
		prompt: length(p.random, batchPromptTokens) + frameTokens,
		answer: length(p.random, batchAnswerTokens),
	}
	if promptless {
		created.prompt = 1
	}
	created.sequence = enginesim.NewVirtualSequence(inference.Batch, created.prompt, created.answer, p.blocks(created.prompt, nil))
	return created
}

// backlog is the batch work that waits for the fleet.
type backlog struct {
	prompts *prompts
	endless bool
	waiting int
	// promptless gives the items prompts of one token.
	promptless bool
}

// take returns the next item, or nil.
func (b *backlog) take() *item {
	if !b.endless {
		if b.waiting == 0 {
			return nil
		}
		b.waiting--
	}
	return b.prompts.batch(b.promptless)
}
