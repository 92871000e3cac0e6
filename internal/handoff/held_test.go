package handoff_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/work"
)

// countedStore records how many bytes are accounted for while a job is delivered.
type countedStore struct {
	handoff.Store
	budget  *memorybudget.NodeBudget
	maxHeld int64
}

func (s *countedStore) Accept(ctx context.Context, submission *jobrecord.Submission) error {
	s.maxHeld, _ = s.budget.Load()
	return s.Store.Accept(ctx, submission)
}

// TestEntryThatIsHandedOverIsCounted has a worker whose memory budget, a fifth of 136 MB, is used up deliver a job of
// ten items of 60 kB: the items are accounted for while they are in memory, and the job reaches the store nevertheless,
// because it was accepted.
func TestEntryThatIsHandedOverIsCounted(t *testing.T) {
	d := newDelivery(t, kvtest.NewData(time.Now))
	budget := memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(136 << 20))
	taken, all := budget.Load()
	assert.Equal(t, taken, int64(0))
	budget.Open(memorybudget.Job, memorybudget.Whose{}).Set(all)
	store := &countedStore{Store: d.records, budget: budget}
	d.Store, d.MemoryBudget = store, budget

	submission := &jobrecord.Submission{ID: "large", Route: "r", Host: "h", Zone: "z"}
	for _, item := range []ident.Request{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		submission.Items = append(submission.Items, work.Item{ID: item, Path: "/p/x", Body: make([]byte, 60_000)})
	}
	assert.NilError(t, d.Log.Put(handoff.NewEntry(submission, accepted, 0)))
	d.Round(context.Background())
	assert.Assert(t, !d.Log.Has("large"))
	assert.Assert(t, store.maxHeld >= all+600_000, "%d bytes were accounted for beside %d", store.maxHeld-all, all)
	held, _ := budget.Load()
	assert.Equal(t, held, all)
}
