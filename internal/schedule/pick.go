package schedule

import "math/rand/v2"

const (
	// fitTolerance is how far below the best fit a runner may be and still count as equally fit.
	fitTolerance = 0.1
	// hotLoad is the load score below which a runner no longer takes work just because it fits best.
	hotLoad = 0.2
	// maxCandidates bounds the candidates of a decision: a request is not tried more often.
	maxCandidates = 4
)

// pickTwoChoices orders the candidates. Among those that fit about equally well and are not hot, two are drawn at
// random and the idler goes first. Always taking the idlest would send the work of every dispatcher to the same runner
// until their snapshots are renewed; with two random choices a runner is drawn with probability 2/n however idle it
// looks, which bounds its load under any staleness. The best others follow by score, for retries.
func pickTwoChoices(candidates []Candidate, random *rand.Rand) []Candidate {
	random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	tier := moveTierFirst(candidates)
	if tier > 1 && candidates[1].Load > candidates[0].Load {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
	return append(candidates[:1], bestOf(candidates[1:], maxCandidates-1)...)
}

// bestOf moves the best count candidates by score to the front, in order, and returns them.
func bestOf(candidates []Candidate, count int) []Candidate {
	count = min(count, len(candidates))
	for place := range count {
		best := place
		for index := place + 1; index < len(candidates); index++ {
			if candidates[index].Score() > candidates[best].Score() {
				best = index
			}
		}
		candidates[place], candidates[best] = candidates[best], candidates[place]
	}
	return candidates[:count]
}

// moveTierFirst moves the candidates to draw from to the front, keeping their random order, and returns their number.
func moveTierFirst(candidates []Candidate) int {
	threshold, limit := tierBounds(candidates)
	tier := 0
	for index, candidate := range candidates {
		if candidate.Fit < threshold || candidate.Load < limit {
			continue
		}
		candidates[tier], candidates[index] = candidates[index], candidates[tier]
		tier++
	}
	return tier
}

// tierBounds returns the least fit and the least load score of the candidates to draw from. Hot runners count only if
// all are hot.
func tierBounds(candidates []Candidate) (leastFit, leastLoad float64) {
	best, anyCool := 0.0, false
	for _, candidate := range candidates {
		if candidate.Load >= hotLoad {
			best = max(best, candidate.Fit)
			anyCool = true
		}
	}
	if anyCool {
		return best - fitTolerance, hotLoad
	}
	for _, candidate := range candidates {
		best = max(best, candidate.Fit)
	}
	return best - fitTolerance, 0
}
