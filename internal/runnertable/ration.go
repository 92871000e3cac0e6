package runnertable

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// rationingLifetime is how long a runner counts as rationed after its owner's last report, so an owner that is gone delays
	// requests no longer than this. Nodes without work at the runner ask the owner several times in it.
	rationingLifetime = demand.IdleRefreshInterval + 100*time.Millisecond
	// grantLifetime is how long a grant may be used: slightly less than the owner reserves the slot.
	grantLifetime = 80 * time.Millisecond
)

// rationed says whether the owner of the runner grants its slots one by one, because orphaned runs leave few free.
func (e *entry) rationed(now time.Time) bool {
	return e.share.Value().rationed && e.share.Within(rationingLifetime, now)
}

// grants says whether a request may be sent to a rationed runner. A slot that one of this node's requests frees is
// granted again by the owner, not reused by this node.
func (e *entry) grants(request PickRequest, now time.Time) bool {
	reported := e.share.Value()
	if !e.share.Within(grantLifetime, now) || request.Late && !reported.grantedLate {
		return false
	}
	return reported.granted > len(e.grantUses)
}

// countGrantUse records an online request that is sent to a rationed runner, at now or at countedAt, whichever is later: the
// last report, whose work was counted then, lacks the request even if the runner was chosen before.
func (e *entry) countGrantUse(class Class, countedAt, now time.Time) {
	if class != Online || !e.share.Value().rationed {
		return
	}
	if now.Before(countedAt) {
		now = countedAt
	}
	e.grantUses = append(e.grantUses, now)
}

// dropGrantUses drops the requests sent before a report's time, which the owner already took into account in that
// report.
func (e *entry) dropGrantUses(asOf time.Time) {
	e.grantUses = slices.DeleteFunc(e.grantUses, asOf.After)
}

// IsRationed says whether any runner of a service is rationed.
func (t *Table) IsRationed(service string, now time.Time) bool {
	return slices.ContainsFunc(t.Rationed(now), func(runner work.Runner) bool { return runner.Service == service })
}

// Rationed returns the runners whose slots are rationed, in no particular order.
func (t *Table) Rationed(now time.Time) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var rationed []work.Runner
	for id, known := range t.rationed {
		if !known.rationed(now) {
			delete(t.rationed, id)
			continue
		}
		rationed = append(rationed, known.runner)
	}
	return rationed
}
