package schedule

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Options restrict the runners of one decision.
type Options struct {
	// AllowedZones are the zones that may serve the request; empty means all.
	AllowedZones []ident.Zone
	// Exclude reports runners that must not be chosen, for example because they refused an earlier attempt. Nil
	// excludes none.
	Exclude func(ident.Runner) bool
}

// Candidate is a runner that may serve the request.
type Candidate struct {
	Runner ident.Runner
	// Fit scores what the runner has cached and loaded, its zone and the deadline, from 0 to 1.
	Fit float64
	// Load scores the free capacity of the runner, from 0 (full) to 1 (idle).
	Load float64
	// index is the index of the runner in Snapshot.Runners.
	index int
}

// Score returns the combined score of the candidate, from 0 to 1.
func (c Candidate) Score() float64 { return fitWeight*c.Fit + (1-fitWeight)*c.Load }

// fitWeight is the weight of Fit in the combined score; Load has the rest.
const fitWeight = 0.5

// Decision is an ordered list of candidates: the request is sent to the first, retries to the others.
type Decision struct {
	Candidates []Candidate
}

// Decide chooses runners for a request. It returns either a decision with at least one candidate or a refusal.
func Decide(snapshot *Snapshot, request *inference.Request, now time.Time, random *rand.Rand, options Options) (Decision, *Refusal) {
	candidates, refusal := filter(snapshot, request, now, options)
	if refusal != nil {
		return Decision{}, refusal
	}
	scoreAll(snapshot, request, now, candidates)
	return Decision{Candidates: pickTwoChoices(candidates, random)}, nil
}
