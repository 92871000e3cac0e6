package confsync_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// fakeClock is a writer's clock in tests. Sleeping advances it without delay and fails if the deadline would pass.
type fakeClock struct {
	now      time.Time
	deadline time.Time
	// onWait is called at each sleep between attempts.
	onWait func(wait int)
	waits  int
}

func (i *fakeClock) option() confsync.WriterOption {
	sleep := func(_ context.Context, duration time.Duration) error {
		i.waits++
		if i.onWait != nil {
			i.onWait(i.waits)
		}
		i.now = i.now.Add(duration)
		if i.now.After(i.deadline) {
			return fmt.Errorf("deadline: %w", context.DeadlineExceeded)
		}
		return nil
	}
	return confsync.WithClock(func() time.Time { return i.now }, sleep, func(bound time.Duration) time.Duration { return bound })
}

func newWriter(seed uint64) (*confsync.Writer, *kvtest.Store, *coreCopy, *fakeClock) {
	store := kvtest.New(seed)
	local := &coreCopy{confsync.NewCore(confsync.Peer{Node: "n"}, confsync.DefaultTiming(), 1, time.Unix(0, 0))}
	clock := &fakeClock{now: time.Unix(1000, 0), deadline: time.Unix(1005, 0)}
	return confsync.NewWriter(store, local, clock.option()), store, local, clock
}

func put(name, value string) confsync.Proposal {
	return confsync.Proposal{Mutations: []confsync.Mutation{
		{Key: confsync.Key{Kind: "models", Name: name}, Value: []byte(value)},
	}}
}

func wantFailure(t *testing.T, err error, code failure.Code, result outcome.Outcome) {
	t.Helper()
	var failed *failure.Error
	assert.Assert(t, errors.As(err, &failed), "got %v", err)
	assert.Equal(t, failed.Code, code)
	assert.Equal(t, failed.Outcome, result)
}

func TestConflictNamesTheResource(t *testing.T) {
	writer, _, _, _ := newWriter(1)
	ctx := context.Background()
	first, err := writer.Apply(ctx, put("a", "1"))
	assert.NilError(t, err)
	stale := put("a", "2")
	stale.Expected = map[confsync.Key]int64{{Kind: "models", Name: "a"}: first.Revision - 1}
	_, err = writer.Apply(ctx, stale)
	wantFailure(t, err, failure.CodeConflict, outcome.NotRun)
	assert.Equal(t, failure.As(err).Param, "models/a")
	_, err = writer.DryRun(ctx, stale)
	wantFailure(t, err, failure.CodeConflict, outcome.NotRun)
}

func TestOutageReportsNotAccepted(t *testing.T) {
	writer, store, _, _ := newWriter(1)
	store.SetFaults(kvtest.Faults{Outage: true})
	_, err := writer.Apply(context.Background(), put("a", "1"))
	wantFailure(t, err, failure.CodeConfigUnavailable, outcome.NotRun)
	assert.Assert(t, failure.As(err).RetryAfter > 0)
}

func TestLostContactIsUnknown(t *testing.T) {
	ctx := context.Background()
	writer, store, local, _ := newWriter(1)
	store.SetFaults(kvtest.Faults{LoseContact: true})
	proposal := put("a", "1")
	proposal.ID = "resent"
	_, err := writer.Apply(ctx, proposal)
	wantFailure(t, err, failure.CodeConfigUnknown, outcome.Unknown)
	assert.Equal(t, local.State().Revision, int64(0))

	// A resend with the same identifier finds the accepted change and does not commit it twice.
	store.SetFaults(kvtest.Faults{})
	change, err := writer.Apply(ctx, proposal)
	assert.NilError(t, err)
	assert.Equal(t, change.Revision, int64(1))
	assert.Equal(t, local.State().Revision, int64(1))
}

// TestNoRefusalWhileACommitMayArrive loses the request of a commit and has the check fail on the second attempt. The first
// commit may still be applied, so the outcome must be unknown instead of a definite rejection.
func TestNoRefusalWhileACommitMayArrive(t *testing.T) {
	writer, store, _, _ := newWriter(1)
	store.SetFaults(kvtest.Faults{LoseRequest: 1})
	proposal := put("a", "1")
	checks := 0
	proposal.Check = func(_, _ *confsync.State) error {
		checks++
		if checks > 1 {
			return failure.New(failure.CodeInvalidRequest, "no longer")
		}
		return nil
	}
	_, err := writer.Apply(context.Background(), proposal)
	wantFailure(t, err, failure.CodeConfigUnknown, outcome.Unknown)
}

// TestLostAnswerThenManyChanges loses the answer to a commit and applies 700 other changes before the writer retries. The writer
// must find its change by reading the record of the revision it attempted.
func TestLostAnswerThenManyChanges(t *testing.T) {
	writer, store, local, clock := newWriter(1)
	other := confsync.NewWriter(kvtest.NewStore(store.Data(), 2),
		&coreCopy{confsync.NewCore(confsync.Peer{Node: "o"}, confsync.DefaultTiming(), 2, time.Unix(0, 0))})
	store.SetFaults(kvtest.Faults{LoseAnswer: 1})
	clock.onWait = func(int) {
		store.SetFaults(kvtest.Faults{})
		for i := range 700 {
			_, err := other.Apply(context.Background(), put("b", fmt.Sprint(i)))
			assert.NilError(t, err)
		}
	}
	proposal := put("a", "1")
	proposal.Expected = map[confsync.Key]int64{{Kind: "models", Name: "a"}: 0}
	change, err := writer.Apply(context.Background(), proposal)
	assert.NilError(t, err)
	assert.Equal(t, change.Revision, int64(1))
	assert.Equal(t, local.State().Revision, int64(701))
}

func TestCheckSeesTheStateCommittedOn(t *testing.T) {
	writer, store, _, _ := newWriter(1)
	ctx := context.Background()
	other := confsync.NewWriter(store, &coreCopy{confsync.NewCore(confsync.Peer{Node: "o"}, confsync.DefaultTiming(), 2, time.Unix(0, 0))})
	raced := false
	proposal := put("user", "needs base")
	proposal.Check = func(base, proposed *confsync.State) error {
		assert.Equal(t, proposed.Revision, base.Revision+1)
		if !raced {
			raced = true
			_, err := other.Apply(ctx, put("base", "deleted"))
			assert.NilError(t, err)
			return nil
		}
		_, exists := base.Get(confsync.Key{Kind: "models", Name: "base"})
		assert.Assert(t, exists)
		return failure.New(failure.CodeConflict, "base is gone")
	}
	_, err := writer.Apply(ctx, proposal)
	wantFailure(t, err, failure.CodeConflict, outcome.NotRun)
}

// movingCopy is a copy that another change reaches right after the head was read.
type movingCopy struct {
	confsync.LocalCopy
	change func()
}

func (c *movingCopy) State() *confsync.State {
	if change := c.change; change != nil {
		c.change = nil
		change()
	}
	return c.LocalCopy.State()
}

// TestRehearsalBesideAnotherChangeIsNotUnavailable guards against a refusal as unavailable (503) where an operator's change is
// rehearsed in the moment in which another one is accepted: it is a conflict.
func TestRehearsalBesideAnotherChangeIsNotUnavailable(t *testing.T) {
	ctx := context.Background()
	other, store, local, clock := newWriter(1)
	moving := &movingCopy{LocalCopy: local}
	writer := confsync.NewWriter(store, moving, clock.option())
	first, err := writer.Apply(ctx, put("a", "1"))
	assert.NilError(t, err)
	stale := put("a", "2")
	stale.Expected = map[confsync.Key]int64{{Kind: "models", Name: "a"}: first.Revision}
	moving.change = func() {
		_, err := other.Apply(ctx, put("a", "3"))
		assert.NilError(t, err)
	}
	_, err = writer.DryRun(ctx, stale)
	wantFailure(t, err, failure.CodeConflict, outcome.NotRun)

	moving.change = func() {
		_, err := other.Apply(ctx, put("a", "4"))
		assert.NilError(t, err)
	}
	earlier, err := writer.At(ctx, first.Revision)
	assert.NilError(t, err)
	assert.Equal(t, earlier.Revision, first.Revision)
}

// TestRehearsalOnAServiceThatLostChangesEnds has a key-value service that stays behind the copy: the rehearsal ends with its
// time limit.
func TestRehearsalOnAServiceThatLostChangesEnds(t *testing.T) {
	writer, _, local, _ := newWriter(1)
	ctx := context.Background()
	_, err := writer.Apply(ctx, put("a", "1"))
	assert.NilError(t, err)
	clock := &fakeClock{now: time.Unix(1000, 0), deadline: time.Unix(1005, 0)}
	empty := confsync.NewWriter(kvtest.New(2), local, clock.option())
	_, err = empty.DryRun(ctx, put("a", "2"))
	wantFailure(t, err, failure.CodeConfigUnavailable, outcome.NotRun)
}

func TestHistoryAndRollback(t *testing.T) {
	writer, _, local, _ := newWriter(1)
	ctx := context.Background()
	const changes = 230
	for i := range changes {
		_, err := writer.Apply(ctx, put(fmt.Sprint("m", i%7), fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	history, err := writer.History(ctx, 205, 150)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 150)
	for i, change := range history {
		assert.Equal(t, change.Revision, int64(204-i))
	}

	earlier, err := writer.At(ctx, 3)
	assert.NilError(t, err)
	assert.Equal(t, earlier.Len(), 3)
	rollback, err := writer.Rollback(ctx, 3)
	assert.NilError(t, err)
	change, err := writer.Apply(ctx, rollback)
	assert.NilError(t, err)
	assert.Equal(t, change.Revision, int64(changes+1))
	now := local.State()
	assert.Equal(t, now.Len(), 3)
	for _, resource := range earlier.Resources() {
		restored, _ := now.Get(resource.Key())
		assert.DeepEqual(t, restored.Value, resource.Value)
	}
	_, err = writer.At(ctx, 1000)
	wantFailure(t, err, failure.CodeNotFound, outcome.NotRun)
}

// TestServiceThatLostChanges replaces the key-value service with an empty one. The node must retain its copy, and no change may
// be accepted on top of the lost history.
func TestServiceThatLostChanges(t *testing.T) {
	writer, _, local, _ := newWriter(1)
	ctx := context.Background()
	_, err := writer.Apply(ctx, put("a", "1"))
	assert.NilError(t, err)
	clock := &fakeClock{now: time.Unix(1000, 0), deadline: time.Unix(1005, 0)}
	empty := confsync.NewWriter(kvtest.New(2), local, clock.option())
	_, err = empty.Apply(ctx, put("a", "2"))
	wantFailure(t, err, failure.CodeConfigUnavailable, outcome.NotRun)
	assert.Equal(t, local.State().Revision, int64(1))
}

// TestCatchUpCostsFewCalls counts the calls needed to bring copies up to date that lack nothing, one change, several hundred
// changes, and changes that are no longer retained.
func TestCatchUpCostsFewCalls(t *testing.T) {
	writer, store, source, _ := newWriter(1)
	ctx := context.Background()
	var behind *confsync.State
	const changes = 700
	for i := range changes {
		_, err := writer.Apply(ctx, put(fmt.Sprint("m", i%7), fmt.Sprint(i)))
		assert.NilError(t, err)
		if i == changes-2 {
			behind = source.State()
		}
	}
	catchUp := func(from *confsync.State, wantCalls int) {
		t.Helper()
		local := &coreCopy{newCore("n")}
		local.Install(from)
		before := store.Calls()
		assert.NilError(t, confsync.CatchUp(ctx, store, local))
		assert.Equal(t, store.Calls()-before, wantCalls)
		assert.DeepEqual(t, local.State().Resources(), source.State().Resources())
		assert.Equal(t, local.State().Chain, source.State().Chain)
	}
	catchUp(source.State(), 1)
	catchUp(behind, 2)
	catchUp(confsync.EmptyState(), 5)
	_, err := store.Commit(ctx, nil, []kv.Write{{Key: "mallowlatch/config/changes/0000000000000001", Delete: true}})
	assert.NilError(t, err)
	catchUp(confsync.EmptyState(), 3)
}
