package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

// holding returns what the worker still holds, or nothing.
func holding(tested *site) string {
	return inLoop(tested.worker, func() string {
		if len(tested.worker.book.leases)+tested.worker.book.queued() > 0 {
			return "leases held"
		}
		return ""
	})
}

func queuedHere(tested *site) (queued int) {
	inLoop(tested.worker, func() string { queued = tested.worker.book.queued(); return "" })
	return queued
}

// waitFor lets time pass without reports until a condition holds.
func waitFor(t *testing.T, at *clock, what string, holds func() bool) {
	t.Helper()
	until(t, what, func() bool {
		at.Advance(10 * time.Millisecond)
		return holds()
	})
}

// TestItemsOfAnEjectedRunnerAreGivenBack lets the only runner fail until it is taken out of service.
func TestItemsOfAnEjectedRunnerAreGivenBack(t *testing.T) {
	at := newClock()
	tested, fake := gatedSite(20, 1, at)
	tested.worker.Start()
	until(t, "all slots in use", func() bool { return fake.begun() == testSequences-1 })
	until(t, "items queued", func() bool { return queuedHere(tested) > 0 })
	for !tested.table.ObserveFailure("a", at.Now()) {
		at.Advance(time.Millisecond)
	}
	waitFor(t, at, "given back", func() bool { return queuedHere(tested) == 0 })
	close(fake.gate)
	waitFor(t, at, "committed", func() bool { return holding(tested) == "" })
	assert.NilError(t, tested.worker.Stop())
	assert.Equal(t, tested.store.gave()+tested.store.done(), tested.store.next)
}

// TestItemsOfAFencedRunnerAreGivenBack lets the engine refuse the only claim.
func TestItemsOfAFencedRunnerAreGivenBack(t *testing.T) {
	at := newClock()
	tested, fake := gatedSite(20, 1, at)
	fake.fencedBelow = 8
	tested.worker.Start()
	until(t, "refused", func() bool { return fake.begun() > 0 })
	waitFor(t, at, "given back", func() bool { return tested.store.gave() > 0 && holding(tested) == "" })
	assert.NilError(t, tested.worker.Stop())
	assert.Equal(t, tested.store.gave(), tested.store.next)
}

// TestItemsThatCannotStartAreGivenBack fills the only runner with online work before anything has started.
func TestItemsThatCannotStartAreGivenBack(t *testing.T) {
	at := newClock()
	tested, fake := gatedSite(20, 1, at)
	tested.worker.Start()
	until(t, "all slots in use", func() bool { return fake.begun() == testSequences-1 })
	for range 2 * testSequences {
		tested.table.Start("a", nil)
	}
	until(t, "preempted", func() bool { return fake.ended() == testSequences-1 })
	assert.Equal(t, tested.store.gave(), 0, "given back at once")
	waitFor(t, at, "given back", func() bool { return tested.store.gave() > 0 && holding(tested) == "" })
	assert.NilError(t, tested.worker.Stop())
}

// TestFailedReleaseIsRepeated lets the store refuse releases while other items keep the lease alive.
func TestFailedReleaseIsRepeated(t *testing.T) {
	at := newClock()
	tested, fake := gatedSite(16, 1, at)
	tested.store.refuseReleases = 2
	tested.worker.Start()
	until(t, "all slots in use", func() bool { return fake.begun() == testSequences-1 })
	inLoop(tested.worker, func() string {
		tested.worker.releaseQueued(func(*item) bool { return true })
		return ""
	})
	until(t, "given back", func() bool { return tested.store.gave() == 16-(testSequences-1) })
	assert.NilError(t, tested.worker.Stop())
}

// TestKeptItemOfALostRunnerStartsAnew takes away the runner that keeps an item's tokens; another runner must not wait for it.
func TestKeptItemOfALostRunnerStartsAnew(t *testing.T) {
	at := newClock()
	tested, _ := gatedSite(1, 1, at)
	worker := tested.worker
	worker.readOwnership()
	held := worker.book.add(job.Lease{ID: "x", Items: newItems(1, 0), TTL: time.Minute}, at.Now(), newRequests(1))
	held.items[0].request.Model = "m"
	kept := &keptAnswer{runner: "gone", since: at.Now()}
	_, err := kept.position.Accept(&inference.Chunk{Tokens: 1000})
	assert.NilError(t, err)
	held.items[0].kept = kept
	worker.releaseStranded(at.Now())
	chosen := worker.book.next("a", func(*item) bool { return true }, at.Now())
	assert.Assert(t, chosen != nil, "waits for a runner that is gone")
	assert.Assert(t, chosen.kept == nil)
}
