package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// crowdFactor and crowdSlack bound the online work of a runner that is chosen for its cache, as a multiple of the mean
	// of its zone and requests beyond it.
	crowdFactor = 1.25
	crowdSlack  = 6.0
)

// markCrowded marks the candidates with more online work than the bound. A beginning that many prompts share would
// otherwise hold them all to the first runner that cached it, and one behind the other there; past the bound they go to
// an idler runner, which then has it too. The mean is the zone's, so that work that stays near home crowds nobody.
func markCrowded(snapshot *Snapshot, candidates []Candidate, now time.Time) {
	type load struct{ online, runners float64 }
	zones := map[ident.Zone]load{}
	for _, candidate := range candidates {
		runner := &snapshot.Runners[candidate.index]
		sum := zones[runner.Zone]
		zones[runner.Zone] = load{online: sum.online + runner.online(now), runners: sum.runners + 1}
	}
	for _, candidate := range candidates {
		runner := &snapshot.Runners[candidate.index]
		zone := zones[runner.Zone]
		runner.crowded = runner.online(now) > crowdFactor*zone.online/zone.runners+crowdSlack
	}
}
