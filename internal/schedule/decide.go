package schedule

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Options narrow one decision.
type Options struct {
	// AllowedZones are the zones that may serve the request; empty means all.
	AllowedZones []ident.Zone
	// Exclude reports runners that must not be chosen, for example because they refused an earlier attempt. Nil
	// excludes none.
	Exclude func(ident.Runner) bool
}

// Candidate is a runner the request may go to.
type Candidate struct {
	Runner ident.Runner
	// Fit is the score of what the runner holds and where it is, 0 to 1.
	Fit float64
	// Load is the score of how idle the runner is, 0 to 1.
	Load float64
	// index is the runner's place in the snapshot.
	index int
}

// Score is the candidate's combined score, 0 to 1.
func (c Candidate) Score() float64 { return fitShare*c.Fit + (1-fitShare)*c.Load }

// fitShare is the weight of the fit group in a combined score.
const fitShare = 0.5

// Decision is an ordered list of candidates: the first takes the request, the others are for retries.
type Decision struct {
	Candidates []Candidate
}

// Decide chooses runners for a request. Exactly one of the decision and the refusal is set.
func Decide(snapshot *Snapshot, request *inference.Request, now time.Time, random *rand.Rand, options Options) (Decision, *Refusal) {
	candidates, refusal := filter(snapshot, request, now, options)
	if refusal != nil {
		return Decision{}, refusal
	}
	scoreAll(snapshot, request, now, candidates)
	return Decision{Candidates: pickTwoChoices(candidates, random)}, nil
}
