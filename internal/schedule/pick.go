package schedule

import "math/rand/v2"

const (
	// fitTolerance is how far below the best fit score a candidate may be and still count as an equal fit.
	fitTolerance = 0.1
	// hotLoad is the load score below which a runner is hot: too loaded to be preferred for its fit.
	hotLoad = 0.2
	// maxCandidates limits the candidates of a decision, and with them the attempts of a request.
	maxCandidates = 4
)

// pickTwoChoices orders the candidates by the power of two random choices: among those within fitTolerance of the best fit
// that are not hot, two are drawn at random and the less loaded one is placed first. If the least loaded runner were
// always chosen, all dispatchers would send their work to the same runner until their snapshots are refreshed. With two
// random choices each runner is drawn with probability 2/n however idle it appears, which bounds its load at any
// staleness. The best of the other candidates follow by score, for retries.
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

// bestOf sorts the count candidates with the highest scores to the front and returns them.
func bestOf(candidates []Candidate, count int) []Candidate {
	count = min(count, len(candidates))
	for position := range count {
		best := position
		for index := position + 1; index < len(candidates); index++ {
			if candidates[index].Score() > candidates[best].Score() {
				best = index
			}
		}
		candidates[position], candidates[best] = candidates[best], candidates[position]
	}
	return candidates[:count]
}

// moveTierFirst moves the candidates that the random choice may draw to the front and returns their number.
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

// tierBounds returns the minimum fit score and load score of the candidates that the random choice may draw. Hot runners
// are excluded unless all are hot.
func tierBounds(candidates []Candidate) (leastFit, leastLoad float64) {
	best, anyNotHot := 0.0, false
	for _, candidate := range candidates {
		if candidate.Load >= hotLoad {
			best = max(best, candidate.Fit)
			anyNotHot = true
		}
	}
	if anyNotHot {
		return best - fitTolerance, hotLoad
	}
	for _, candidate := range candidates {
		best = max(best, candidate.Fit)
	}
	return best - fitTolerance, 0
}
