package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scorer rates one runner for one request from 0 (worst) to 1 (best). It returns false to abstain when it has no data; the
// scorer is then left out of the weighted mean.
type scorer func(snapshot *Snapshot, runner *Runner, request *inference.Request, now time.Time) (score float64, known bool)

// weightedScorer is a scorer and its weight within its group.
type weightedScorer struct {
	score  scorer
	weight float64
}

// fitScorers rate the prefix cache, zone, adapters and step time of a runner. These change slowly.
var fitScorers = []weightedScorer{
	{scorePrefix, 3},
	{scoreZone, 2},
	{scoreAdapter, 2},
	{scoreDeadline, 1},
}

// loadScorers rate the free capacity of a runner. Their inputs are always stale, so pickTwoChoices combines them with a
// random choice.
var loadScorers = []weightedScorer{
	{scoreInFlight, 2},
	{scoreReport, 1},
	{scoreMemory, 1},
}

// neutralScore is the score of a group in which every scorer abstained.
const neutralScore = 0.5

func scoreAll(snapshot *Snapshot, request *inference.Request, now time.Time, candidates []Candidate) {
	markImbalanced(snapshot, candidates, now)
	for index := range candidates {
		candidate := &candidates[index]
		runner := &snapshot.Runners[candidate.index]
		candidate.Fit = combine(fitScorers, snapshot, runner, request, now)
		candidate.Load = combine(loadScorers, snapshot, runner, request, now)
	}
}

// combine returns the weighted mean of the scorers that did not abstain.
func combine(group []weightedScorer, snapshot *Snapshot, runner *Runner, request *inference.Request, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, member := range group {
		score, known := member.score(snapshot, runner, request, now)
		if !known {
			continue
		}
		sum += member.weight * score
		weights += member.weight
	}
	if weights == 0 {
		return neutralScore
	}
	return sum / weights
}

// clamp limits a score to the range 0 to 1.
func clamp(score float64) float64 { return min(1, max(0, score)) }
