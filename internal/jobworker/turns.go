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
	// turnsLogEvery is the time between two log lines about waiting items of several tenants, turnsLogTenants the number
	// of tenants named in a line.
	turnsLogEvery   = 10 * time.Second
	turnsLogTenants = 8
)

// inFairOrder reorders waiting items so that each tenant gets tokens at runners in proportion to its weight, and a tenant
// with many items delays no other. Items of one tenant stay ordered by urgency, and items that can no longer be in time
// stay behind those that can. The order does not change if there is at most one tenant, or while all items will be in
// time. The caller must hold the mutex.
func (w *Worker) inFairOrder(ordered []urgency, now time.Time) []urgency {
	if !hasSeveralTenants(ordered) {
		return ordered
	}
	tooLate := slices.IndexFunc(ordered, func(entry urgency) bool { return entry.tooLate })
	if tooLate < 0 {
		tooLate = len(ordered)
	}
	if tooLate == len(ordered) && countLate(ordered, w.ownedSlots(now), w.duration, now) == 0 {
		return ordered
	}
	turns := fairshare.NewWeightedScheduler(w.tenantWeight)
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running {
				turns.Charge(job.header.Tenant, item.item.Tokens)
			}
		}
	}
	tenant := func(entry urgency) ident.Tenant { return entry.item.job.header.Tenant }
	tokens := func(entry urgency) int { return entry.item.item.Tokens }
	inTime := fairshare.Interleave(turns, ordered[:tooLate], tenant, tokens)
	return append(slices.Clip(inTime), fairshare.Interleave(turns, ordered[tooLate:], tenant, tokens)...)
}

func hasSeveralTenants(ordered []urgency) bool {
	return slices.ContainsFunc(ordered, func(entry urgency) bool {
		return entry.item.job.header.Tenant != ordered[0].item.job.header.Tenant
	})
}

// logTurns periodically logs the waiting items if several tenants have some. The caller must hold the mutex.
func (w *Worker) logTurns(now time.Time) {
	if now.Sub(w.turnsLogged) < turnsLogEvery {
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
	for _, tenant := range tenants[:min(len(tenants), turnsLogTenants)] {
		named.Ints(string(tenant), counts[tenant])
	}
	event.ItemsRotated.Log(w.Logger).Dict("waiting_running", named).Int("others", max(len(tenants)-turnsLogTenants, 0)).Send()
}
