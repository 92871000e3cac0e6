package jobrecord_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

// claimed returns a job of four items that one client has claimed.
func claimed(t *testing.T) (*fixture, *jobrecord.Records, *kvtest.Paged, jobrecord.Open, jobrecord.Claim, *jobrecord.Header) {
	t.Helper()
	ctx := context.Background()
	b := newFixture()
	records, store := b.client()
	assert.NilError(t, records.Accept(ctx, submission("j", 4)))
	lease, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	open := openJob(t, records, "j")
	claim, err := records.Claim(ctx, open, "n", lease)
	assert.NilError(t, err)
	header, err := records.Header(ctx, "j")
	assert.NilError(t, err)
	return b, records, store, open, claim, header
}

func TestClaimIsNotTakenFromALiveHolder(t *testing.T) {
	ctx := context.Background()
	b, records, _, open, claim, header := claimed(t)
	other, store := b.client()
	lease, _ := store.Grant(ctx, time.Minute)
	_, err := other.Claim(ctx, open, "m", lease)
	assert.ErrorIs(t, err, jobrecord.ErrClaimLost)
	assert.NilError(t, records.Append(ctx, claim, header, 0, []work.Result{{ID: "j-0"}}, 30, false))
	b.now = b.now.Add(2 * time.Minute)
	lease, _ = store.Grant(ctx, time.Minute)
	_, err = other.Claim(ctx, open, "m", lease)
	assert.NilError(t, err)
	err = records.Append(ctx, claim, header, 1, []work.Result{{ID: "j-1"}}, 20, false)
	assert.ErrorIs(t, err, jobrecord.ErrClaimLost)
}

// TestRepeatedClaimRecognizesItsEffect repeats a claim that took effect although its answer was lost.
func TestRepeatedClaimRecognizesItsEffect(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, store := b.client()
	assert.NilError(t, records.Accept(ctx, submission("j", 1)))
	lease, _ := store.Grant(ctx, time.Minute)
	open := openJob(t, records, "j")
	store.SetFaults(kvtest.PagedFaults{LoseNext: 1})
	_, err := records.Claim(ctx, open, "n", lease)
	assert.Assert(t, jobrecord.Unknown(err))
	_, err = records.Claim(ctx, open, "n", lease)
	assert.NilError(t, err)
}

// TestRestartedHolderReplacesItsClaim restarts a holder before its old lease expires: it must be able to claim the job again at once, and
// results sent under the old claim must be refused.
func TestRestartedHolderReplacesItsClaim(t *testing.T) {
	ctx := context.Background()
	b, records, _, open, old, header := claimed(t)
	again, store := b.client()
	lease, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	claim, err := again.Claim(ctx, open, "n", lease)
	assert.NilError(t, err)
	assert.ErrorIs(t, records.Append(ctx, old, header, 0, []work.Result{{ID: "j-0"}}, 30, false), jobrecord.ErrClaimLost)
	assert.NilError(t, again.Append(ctx, claim, header, 0, []work.Result{{ID: "j-0"}}, 30, false))
	newer, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	store.SetFaults(kvtest.PagedFaults{LoseNext: 2})
	_, err = again.Claim(ctx, open, "n", newer)
	assert.Assert(t, jobrecord.Unknown(err))
	_, err = again.Claim(ctx, open, "n", newer)
	assert.Assert(t, jobrecord.Unknown(err))
	claim, err = again.Claim(ctx, open, "n", newer)
	assert.NilError(t, err)
	assert.NilError(t, again.Append(ctx, claim, header, 1, []work.Result{{ID: "j-1"}}, 20, false))
}

func TestEndedJobIsNotClaimed(t *testing.T) {
	ctx := context.Background()
	_, records, store, open, _, header := claimed(t)
	assert.NilError(t, records.End(ctx, header))
	lease, _ := store.Grant(ctx, time.Minute)
	_, err := records.Claim(ctx, open, "m", lease)
	assert.ErrorIs(t, err, jobrecord.ErrClaimLost)
}

// TestRepeatedAppendRecognizesItsEffect loses the answer of an Append and repeats it: unchanged it must succeed, with more results it must
// be refused.
func TestRepeatedAppendRecognizesItsEffect(t *testing.T) {
	ctx := context.Background()
	_, records, store, _, claim, header := claimed(t)
	first := []work.Result{{ID: "j-0", State: work.Completed, Text: "a"}}
	store.SetFaults(kvtest.PagedFaults{LoseNext: 1})
	assert.Assert(t, jobrecord.Unknown(records.Append(ctx, claim, header, 0, first, 30, false)))
	extended := append(first, work.Result{ID: "j-1", State: work.Completed, Text: "b"})
	assert.ErrorIs(t, records.Append(ctx, claim, header, 0, extended, 20, false), jobrecord.ErrClaimLost)
	assert.NilError(t, records.Append(ctx, claim, header, 0, first, 30, false))
	results, err := records.AllResults(ctx, "j")
	assert.NilError(t, err)
	assert.Equal(t, len(results), 1)
}

// TestLateAppendDoesNotOverwrite applies an unanswered Append after the holder, under the same claim, wrote another result at the position.
func TestLateAppendDoesNotOverwrite(t *testing.T) {
	ctx := context.Background()
	_, records, store, _, claim, header := claimed(t)
	store.SetFaults(kvtest.PagedFaults{DelayNext: 1})
	assert.Assert(t, jobrecord.Unknown(records.Append(ctx, claim, header, 0, []work.Result{{ID: "j-0", Text: "a"}}, 30, false)))
	assert.NilError(t, records.Append(ctx, claim, header, 0, []work.Result{{ID: "j-1", Text: "b"}}, 30, false))
	store.ApplyDelayed()
	results, err := records.AllResults(ctx, "j")
	assert.NilError(t, err)
	assert.DeepEqual(t, results, []work.Result{{ID: "j-1", Text: "b"}})
}

// TestJobIsAcceptedWithAClaim writes a job and its first claim in one transaction, repeats that, and tries it for a worker whose lease has
// ended.
func TestJobIsAcceptedWithAClaim(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, store := b.client()
	lease, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	assignee := jobrecord.Assignee{Node: "n", Lease: lease}
	assigned, err := records.AcceptFor(ctx, submission("j", 2), nil, assignee)
	assert.NilError(t, err)
	assert.DeepEqual(t, assigned.Open, openJob(t, records, "j"))
	other, _ := b.client()
	otherLease, _ := store.Grant(ctx, time.Minute)
	_, err = other.Claim(ctx, assigned.Open, "m", otherLease)
	assert.ErrorIs(t, err, jobrecord.ErrClaimLost)
	loaded, err := records.LoadFresh(ctx, "j")
	assert.NilError(t, err)
	assert.NilError(t, records.Append(ctx, assigned.Claim, &loaded.Header, 0, []work.Result{{ID: "j-0"}}, 10, false))

	again, err := other.AcceptFor(ctx, submission("j", 2), nil, jobrecord.Assignee{Node: "m", Lease: otherLease})
	assert.NilError(t, err)
	assert.Assert(t, again == nil, "a job that exists was claimed again")
	assert.NilError(t, records.Append(ctx, assigned.Claim, &loaded.Header, 1, []work.Result{{ID: "j-1"}}, 0, true))

	assert.NilError(t, store.Revoke(ctx, lease))
	_, err = records.AcceptFor(ctx, submission("late", 1), nil, assignee)
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)
	exists, err := records.Exists(ctx, "late")
	assert.NilError(t, err)
	assert.Assert(t, !exists)
}

// TestAdmissionIsCheckedWithAClaim has another job accepted between the count and the write.
func TestAdmissionIsCheckedWithAClaim(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	records, store := b.client()
	lease, _ := store.Grant(ctx, time.Minute)
	assignee := jobrecord.Assignee{Node: "n", Lease: lease}
	admission, err := records.Admission(ctx, "r")
	assert.NilError(t, err)
	assert.NilError(t, records.AcceptUnder(ctx, submission("first", 1), admission))
	_, err = records.AcceptFor(ctx, submission("second", 1), &admission, assignee)
	assert.ErrorIs(t, err, jobrecord.ErrRaced)
	assigned, err := records.AcceptFor(ctx, submission("first", 1), &admission, assignee)
	assert.NilError(t, err)
	assert.Assert(t, assigned == nil)
}
