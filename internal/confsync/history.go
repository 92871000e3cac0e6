package confsync

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// History returns up to limit accepted changes with a revision below before, newest first. If before is zero or negative, it
// starts at the newest change. The last MaxHistory changes are retained. Errors are *failure.Error with CodeConfigUnavailable,
// or CodeNotFound if the key-value service reports the requested data as compacted.
func (w *Writer) History(ctx context.Context, before int64, limit int) ([]Change, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if before <= 0 {
		newest, err := w.remote.head(ctx)
		if err != nil {
			return nil, historyError(err)
		}
		before = newest.revision + 1
	}
	var history []Change
	for revision := before - 1; revision > 0 && len(history) < limit; {
		block, err := w.remote.block(ctx, revision)
		if err != nil {
			return nil, historyError(err)
		}
		kept := slices.DeleteFunc(block, func(change Change) bool { return change.Revision > revision })
		if len(kept) == 0 {
			break
		}
		slices.Reverse(kept)
		history = append(history, kept[:min(len(kept), limit-len(history))]...)
		revision = history[len(history)-1].Revision - 1
	}
	return history, nil
}

// At returns the configuration at a retained revision, computed by undoing changes from the newest state. Errors are
// *failure.Error: CodeNotFound if the revision does not exist or is no longer retained, or CodeConfigUnavailable.
func (w *Writer) At(ctx context.Context, revision int64) (*State, error) {
	_, earlier, err := w.rewind(ctx, revision)
	return earlier, err
}

// rewind returns the newest state and the one at an earlier revision.
func (w *Writer) rewind(ctx context.Context, revision int64) (newest, earlier *State, err error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	newest, err = w.settledBase(ctx)
	if err != nil {
		return nil, nil, historyError(err)
	}
	if revision > newest.Revision || revision < 0 {
		return nil, nil, failure.New(failure.CodeNotFound, "there is no revision %d; the newest is %d", revision, newest.Revision)
	}
	earlier = newest
	for earlier.Revision > revision {
		earlier, err = w.undoBlock(ctx, earlier, revision)
		if err != nil {
			return nil, nil, err
		}
	}
	return newest, earlier, nil
}

// undoBlock undoes the changes of the block that contains state's revision, down to the target revision.
func (w *Writer) undoBlock(ctx context.Context, state *State, target int64) (*State, error) {
	block, err := w.remote.block(ctx, state.Revision)
	if err != nil {
		return nil, historyError(err)
	}
	slices.Reverse(block)
	from := state.Revision
	for _, change := range block {
		if change.Revision == state.Revision && state.Revision > target {
			state = state.before(change)
		}
	}
	if state.Revision == from {
		return nil, failure.New(failure.CodeNotFound, "the history reaches back to revision %d only", from)
	}
	return state, nil
}

// Rollback returns a proposal that restores the configuration of an earlier revision as a new change. Its Expected field has
// the revisions of the newest state for the affected resources, so that a concurrent change to one of them causes a conflict
// instead of being overwritten.
func (w *Writer) Rollback(ctx context.Context, revision int64) (Proposal, error) {
	current, earlier, err := w.rewind(ctx, revision)
	if err != nil {
		return Proposal{}, err
	}
	proposal := Proposal{Expected: map[Key]int64{}, Comment: fmt.Sprintf("rollback to revision %d", revision)}
	for _, resource := range earlier.Resources() {
		now, exists := current.Get(resource.Key())
		if exists && now.Revision == resource.Revision {
			continue
		}
		proposal.Mutations = append(proposal.Mutations, Mutation{Key: resource.Key(), Value: resource.Value})
		proposal.Expected[resource.Key()] = now.Revision
	}
	for _, resource := range current.Resources() {
		if _, existed := earlier.Get(resource.Key()); !existed {
			proposal.Mutations = append(proposal.Mutations, Mutation{Key: resource.Key(), Delete: true})
			proposal.Expected[resource.Key()] = resource.Revision
		}
	}
	return proposal, nil
}

func historyError(cause error) error {
	if errors.Is(cause, kv.ErrCompacted) {
		return failure.New(failure.CodeNotFound, "that part of the history is no longer kept").WithCause(cause)
	}
	return failure.New(failure.CodeConfigUnavailable, "the configuration service is not available").
		WithRetryAfter(retryAfterOutage).
		WithCause(cause)
}
