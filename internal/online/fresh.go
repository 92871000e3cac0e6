package online

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners are asked for what they know of their runners: how slow each is, and how much work all nodes have there. The calls end
// with the context.
type Owners interface {
	// AskNear asks those of this node's zone whose last word is older than a time.
	AskNear(ctx context.Context, older time.Duration)
	// AskOwner asks the owner of a runner, if its last word is older than a time, and says so.
	AskOwner(ctx context.Context, runner work.Runner, older time.Duration) bool
}

const (
	// nearOlder is the age of the word of an owner of this node's zone from which on it is asked anew before a choice: a slow phase lasts
	// some hundred milliseconds, and the first node hears of it within some ten of its begin.
	nearOlder = 100 * time.Millisecond
	// chosenOlder is that age for the owner of the runner that would be chosen. In a peak many nodes see the same runner as the best
	// one, and a word of 30 ms and more does not tell of those that chose it meanwhile.
	chosenOlder = 20 * time.Millisecond
	// askRounds is how often that owner is asked: its answer may show that another runner is better, of which as little is known.
	askRounds = 3
	// askWithin is how long a request waits for all of this at the most: some calls within a zone, and little beside an objective of
	// 300 ms. After that it goes by what is known.
	askWithin = 10 * time.Millisecond
)

// freshen has this node hear how slow the runners are that a request may go to, and how full, where they tell their pace.
func (f *Forwarder) freshen(ctx context.Context, wish runnertable.Wish, seed uint64) {
	if f.Owners == nil || !f.Runners.TellsPace(wish.Service, f.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	f.Owners.AskNear(ctx, nearOlder)
	for range askRounds {
		chosen, found := f.Runners.Would(wish, f.Now(), random(seed))
		if !found || !f.Owners.AskOwner(ctx, chosen, chosenOlder) {
			return
		}
	}
}

// random is the chance of one choice: the same for a seed, so that a choice that is made again differs only by what is known.
func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
