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
	// Ask asks the owners of some runners whose last word is older than a time, all at once. It says whether any was.
	Ask(ctx context.Context, runners []work.Runner, older time.Duration) bool
}

const (
	// nearOlder is the age of the word of an owner of this node's zone from which on it is asked anew before a choice: a slow phase lasts
	// some hundred milliseconds, and the first node hears of it within some ten of its begin.
	nearOlder = 100 * time.Millisecond
	// bestOlder is that age for the owners of the runners that would be chosen. In a peak many nodes see the same runner as the best
	// one, and a word of 30 ms and more does not tell of those that chose it meanwhile.
	bestOlder = 20 * time.Millisecond
	// bestAsked is how many runners that may be, askRounds how often: the answers may show that others are better, of which as little
	// is known. More than the first are of another owner where the own zone is full, and others have not been asked for long.
	bestAsked, askRounds = 3, 2
	// askWithin is how long a request waits for all of this at the most: some calls between zones, and little beside an objective of
	// 300 ms. After that it goes by what is known.
	askWithin = 20 * time.Millisecond
)

// freshen has this node hear how slow the runners are that a request may go to, and how full, where they tell their pace. It returns the
// wish for the choice itself.
func (f *Forwarder) freshen(ctx context.Context, wish runnertable.Wish, seed uint64) runnertable.Wish {
	if f.Owners == nil || !f.Runners.TellsPace(wish.Service, f.Now()) {
		return wish
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	f.Owners.AskNear(ctx, nearOlder)
	for range askRounds {
		best := f.Runners.Would(wish, bestAsked, f.Now(), random(seed))
		if !f.Owners.Ask(ctx, f.worthAsking(best), bestOlder) {
			break
		}
	}
	wish.Wary = true
	return wish
}

// worthAsking returns the runners whose owners are to be asked: the best one, and the further ones where it is in another zone. What is
// known of the own zone is fresh enough for the second best.
func (f *Forwarder) worthAsking(best []work.Runner) []work.Runner {
	if len(best) > 0 && best[0].Zone == f.Runners.Zone() {
		return best[:1]
	}
	return best
}

// random is the chance of one choice: the same for a seed, so that a choice that is made again differs only by what is known.
func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
