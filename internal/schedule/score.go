package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scorer rates one runner for one request from 0 (worst) to 1 (best). It abstains by returning false when it knows
// nothing; an abstaining scorer neither helps nor harms a runner.
type scorer func(snapshot *Snapshot, runner *Runner, request *inference.Request, now time.Time) (score float64, known bool)

// weighted is a scorer and its weight within its group.
type weighted struct {
	score  scorer
	weight float64
}

// fitScorers rate what a runner holds and where it is. They change slowly.
var fitScorers = []weighted{
	{scorePrefix, 3},
	{scoreZone, 2},
	{scoreAdapter, 2},
	{scoreDeadline, 1},
}

// loadScorers rate how idle a runner is. They are stale the moment they are known, so the picker never trusts them
// alone: see pickTwoChoices.
var loadScorers = []weighted{
	{scoreInFlight, 2},
	{scoreReport, 1},
	{scoreMemory, 1},
}

// neutral is the score of a group in which every scorer abstained.
const neutral = 0.5

func scoreAll(snapshot *Snapshot, request *inference.Request, now time.Time, candidates []Candidate) {
	markCrowded(snapshot, candidates, now)
	for index := range candidates {
		candidate := &candidates[index]
		runner := &snapshot.Runners[candidate.index]
		candidate.Fit = combine(fitScorers, snapshot, runner, request, now)
		candidate.Load = combine(loadScorers, snapshot, runner, request, now)
	}
}

// combine returns the weighted mean of the scorers that did not abstain.
func combine(group []weighted, snapshot *Snapshot, runner *Runner, request *inference.Request, now time.Time) float64 {
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
		return neutral
	}
	return sum / weights
}

// clamp limits a score to the range 0 to 1.
func clamp(score float64) float64 { return min(1, max(0, score)) }
