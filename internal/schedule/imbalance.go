package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// A runner is imbalanced, and gets no credit for its prefix cache, when its online work exceeds imbalanceFactor times
	// the mean of its zone plus imbalanceSlack requests.
	imbalanceFactor = 1.25
	imbalanceSlack  = 6.0
)

// markImbalanced marks the candidates whose online work exceeds the limit. Without the limit, a prefix shared by many
// prompts would send all of them to the first runner that cached it, where they would queue. Above the limit they go to
// a less loaded runner, which then caches the prefix too. The mean is taken per zone, so that a zone with more traffic
// than others does not have all its runners marked.
func markImbalanced(snapshot *Snapshot, candidates []Candidate, now time.Time) {
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
		runner.imbalanced = runner.online(now) > imbalanceFactor*zone.online/zone.runners+imbalanceSlack
	}
}
