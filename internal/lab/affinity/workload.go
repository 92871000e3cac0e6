package affinity

import (
	"math/rand/v2"
)

const (
	blockTokens = 64
	// shortestChain and longestChain bound a shared beginning, in tokens.
	shortestChain = 2_500
	longestChain  = 12_000
	// questionTokens is the length of what follows a shared beginning, and of a prompt without one.
	questionTokens = 192
	shortestAnswer = 16
	answerSpread   = 64
	// plainShare is the share of requests without a shared beginning.
	plainShare = 0.3
)

// prompt is one request's content.
type prompt struct {
	blocks         []uint64
	tokens, answer int
}

// workload draws prompts of which most begin with one of a number of shared beginnings. From time to time one of these
// goes out of use and a new one takes its place.
type workload struct {
	random *rand.Rand
	chains [][]uint64
}

func newWorkload(seed uint64, chains int) *workload {
	created := &workload{random: rand.New(rand.NewPCG(seed, 1))}
	for range chains {
		created.chains = append(created.chains, created.newChain())
	}
	return created
}

func (w *workload) newChain() []uint64 {
	tokens := shortestChain + w.random.IntN(longestChain-shortestChain+1)
	return w.fresh(tokens / blockTokens)
}

// fresh returns blocks that no other prompt has.
func (w *workload) fresh(count int) []uint64 {
	blocks := make([]uint64, count)
	for index := range blocks {
		blocks[index] = w.random.Uint64()
	}
	return blocks
}

// replaceOne ends the use of one shared beginning.
func (w *workload) replaceOne() { w.chains[w.random.IntN(len(w.chains))] = w.newChain() }

func (w *workload) next() prompt {
	var blocks []uint64
	if w.random.Float64() >= plainShare {
		blocks = append(blocks, w.chains[w.random.IntN(len(w.chains))]...)
	}
	blocks = append(blocks, w.fresh(questionTokens/blockTokens)...)
	return prompt{
		blocks: blocks,
		tokens: len(blocks) * blockTokens,
		answer: shortestAnswer + w.random.IntN(answerSpread),
	}
}
