package jobworker

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// turnsEvery is the time between two lines of the items that take turns, turnsTold how many tenants a line names.
	turnsEvery = 10 * time.Second
	turnsTold  = 8
)

// inTurn returns the items that wait, which are in their order, in the order in which their tenants have their turns: each has tokens at
// runners in proportion to its weight, so that one with many items holds up no other. When they are due orders the items of one tenant; those
// that can't be in time stay behind those that can. With one tenant, or none, and while all will be in time, the order stays. The caller
// holds the mutex.
func (w *Worker) inTurn(ordered []prospect, now time.Time) []prospect {
	if !ofSeveralTenants(ordered) {
		return ordered
	}
	hopeless := slices.IndexFunc(ordered, func(of prospect) bool { return of.hopeless })
	if hopeless < 0 {
		hopeless = len(ordered)
	}
	if hopeless == len(ordered) && lateHere(ordered, w.places(now), w.duration, now) == 0 {
		return ordered
	}
	turns := fairshare.NewTurns(w.weight)
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running {
				turns.Had(job.header.Tenant, item.item.Tokens)
			}
		}
	}
	tenant := func(of prospect) ident.Tenant { return of.item.job.header.Tenant }
	tokens := func(of prospect) int { return of.item.item.Tokens }
	inTime := fairshare.InTurn(turns, ordered[:hopeless], tenant, tokens)
	return append(slices.Clip(inTime), fairshare.InTurn(turns, ordered[hopeless:], tenant, tokens)...)
}

func ofSeveralTenants(ordered []prospect) bool {
	return slices.ContainsFunc(ordered, func(of prospect) bool {
		return of.item.job.header.Tenant != ordered[0].item.job.header.Tenant
	})
}

// logTurns writes a line of the items of several tenants that wait, now and then. The caller holds the mutex.
func (w *Worker) logTurns(now time.Time) {
	if now.Sub(w.turnsLogged) < turnsEvery {
		return
	}
	counts := map[ident.Tenant][]int{}
	waiting := map[ident.Tenant]bool{}
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.finished {
				continue
			}
			if counts[job.header.Tenant] == nil {
				counts[job.header.Tenant] = make([]int, 2)
			}
			if item.running {
				counts[job.header.Tenant][1]++
				continue
			}
			counts[job.header.Tenant][0]++
			waiting[job.header.Tenant] = true
		}
	}
	if len(waiting) < 2 {
		return
	}
	w.turnsLogged = now
	tenants := make([]ident.Tenant, 0, len(counts))
	for tenant := range counts {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, func(first, second ident.Tenant) int {
		return cmp.Or(cmp.Compare(counts[second][0], counts[first][0]), cmp.Compare(first, second))
	})
	named := zerolog.Dict()
	for _, tenant := range tenants[:min(len(tenants), turnsTold)] {
		named.Ints(string(tenant), counts[tenant])
	}
	event.ItemsTakeTurns.Log(w.Logger).Dict("waiting_running", named).Int("others", max(len(tenants)-turnsTold, 0)).Send()
}
