package jobworker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestCapabilityDecidesWhoClaimsAndWhoLeaves guards against jobs that nobody may claim, and jobs that are passed round though no node can do better.
func TestCapabilityDecidesWhoClaimsAndWhoLeaves(t *testing.T) {
	const step, idle = time.Second, 5 * time.Second
	for _, each := range []struct {
		own, most, total int
		able             capability
		delay            time.Duration
		mayClaim         bool
		limit            time.Duration
		mayRelease       bool
	}{
		{own: 0, most: 0, total: 0, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 2, most: 2, total: 2, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 1, most: 1, total: 3, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 1, most: 2, total: 2, able: ownsSome, delay: 4 * step, mayClaim: true, limit: idle / 4, mayRelease: true},
		{own: 0, most: 1, total: 2, able: borrowsAll, limit: idle / 4, mayRelease: true},
		{own: 0, most: 0, total: 2, able: noRunner, delay: idle, mayClaim: true},
	} {
		assert.Equal(t, capabilityOf(each.own, each.most, each.total), each.able, "%+v", each)
		delay, mayClaim := claimDelayFor(each.able, step, idle)
		assert.Equal(t, mayClaim, each.mayClaim, "%+v", each)
		assert.Equal(t, delay, each.delay, "%+v", each)
		limit, mayRelease := idleLimit(each.able, false, idle)
		assert.Equal(t, mayRelease, each.mayRelease, "%+v", each)
		assert.Equal(t, limit, each.limit, "%+v", each)
	}
	_, mayRelease := idleLimit(ownsMost, true, idle)
	assert.Assert(t, !mayRelease, "a job that waits for its turn is released")
}

// TestJobIsNotLeftWhileItsItemWaitsForItsTurn guards against an item under which runners crashed that waits longer than its turn: its job was left as
// idle, and the next worker claimed and read it first.
func TestJobIsNotLeftWhileItsItemWaitsForItsTurn(t *testing.T) {
	w := idleWorker(t)
	now := time.Now()
	w.Options = DefaultOptions
	w.workers = map[ident.Node]jobrecord.Worker{w.Node: {Node: w.Node, Zone: "a"}, "other": {Node: "other", Zone: "a"}}
	job := newJobRun(resultlog.Holding{}, &jobrecord.Job{
		Header: jobrecord.Header{ID: "job", Items: []jobrecord.ItemHeader{{Item: work.Item{ID: "item"}}}}, Bodies: [][]byte{nil},
	}, nil)
	w.jobs["job"] = job
	item := job.items[0]
	item.onTrial, item.notBefore = true, now.Add(time.Second)
	job.progressed = now.Add(-2 * w.Options.ReleaseAfter)
	w.releaseIdleJobs(now)
	assert.Assert(t, !job.dropped, "left while its item waits for its turn")
	item.notBefore = time.Time{}
	w.releaseIdleJobs(now)
	assert.Assert(t, job.dropped && job.releases, "kept though nothing of it is run here")
}
