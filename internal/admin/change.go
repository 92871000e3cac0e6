package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// edit is one resource that a request writes or deletes.
type edit struct {
	reference catalog.Reference
	// spec is nil for a deletion.
	spec  json.RawMessage
	guard guard
	// manifest is where the edit was written, for line numbers.
	manifest catalog.Manifest
}

func (e edit) deletes() bool { return e.spec == nil }

func (e edit) resource() catalog.Resource {
	return catalog.Resource{Kind: e.reference.Kind, Name: e.reference.Name, Spec: e.spec}
}

func (e edit) key() confsync.Key {
	return confsync.Key{Kind: e.reference.Kind, Name: e.reference.Name}
}

// change is a request to change configuration.
type change struct {
	id, author, comment string
	edits               []edit
	// base, if set, is the configuration revision the whole change is meant for.
	base   *int64
	dryRun bool
	// resent says that the client has sent the change before and doesn't know its outcome.
	resent bool
	wait   time.Duration
}

// newChange reads what all changing requests have in common.
func (r *request) newChange(edits []edit) (change, error) {
	id, idErr := r.changeID()
	resent, resentErr := r.changeResend()
	comment, commentErr := r.comment()
	dryRun, dryRunErr := r.flag(queryDryRun)
	wait, waitErr := r.wait()
	if err := errors.Join(idErr, resentErr, commentErr, dryRunErr, waitErr); err != nil {
		return change{}, fmt.Errorf("reading the request: %w", err)
	}
	for _, edit := range edits {
		if err := requirePermission(r.key, auth.ToChange(edit.reference.Kind)); err != nil {
			return change{}, err
		}
	}
	return change{id: id, author: r.key.ID, comment: comment, edits: edits, dryRun: dryRun, resent: resent, wait: wait}, nil
}

// accept runs a change. A change under a client's id that is refused, or finds nothing to do, may be a resend whose
// first answer was lost: then that answer is given.
func (s *server) accept(ctx context.Context, requested change) (ChangeResult, error) {
	result, err := s.attempt(ctx, requested)
	if requested.resent && failure.As(err).Code == failure.CodeConfigUnavailable {
		// This send had no effect, but the commit of an earlier one may still be on its way to the service.
		return ChangeResult{}, unresolved(requested.id, err)
	}
	mayBeResend := requested.id != "" && !requested.dryRun
	settled := result.Accepted || (err != nil && !isRefusal(err))
	if !mayBeResend || settled {
		return result, err
	}
	earlier, found, searchErr := s.findAccepted(ctx, requested.id)
	switch {
	case found:
		return s.accepted(ctx, requested, earlier, resultsOf(earlier)), nil
	case searchErr != nil && err != nil:
		// The refusal speaks of this send only; an earlier one may have been accepted and be what caused it.
		return ChangeResult{}, unresolved(requested.id, searchErr)
	default:
		return result, err
	}
}

// attempt checks a change against the newest configuration, reduces it to what it really changes, and commits it on the
// state it was checked against.
func (s *server) attempt(ctx context.Context, requested change) (ChangeResult, error) {
	if err := requireGuards(requested); err != nil {
		return ChangeResult{}, err
	}
	base, err := s.rehearse(ctx, requested)
	if err != nil {
		return ChangeResult{}, err
	}
	results, err := plan(base, requested.edits)
	if err != nil {
		return ChangeResult{}, err
	}
	result := ChangeResult{DryRun: requested.dryRun, Revision: base.Revision, Edits: results}
	if requested.dryRun || allUnchanged(results) {
		return result, nil
	}
	accepted, err := s.Writer.Apply(ctx, s.pinned(requested, base, results))
	if err != nil {
		return ChangeResult{}, fmt.Errorf("committing the change: %w", err)
	}
	s.auditAccepted(accepted)
	return s.accepted(ctx, requested, accepted, results), nil
}

// accepted answers an accepted change, once it is in force if that was asked for.
func (s *server) accepted(ctx context.Context, requested change, accepted confsync.Change, edits []EditResult) ChangeResult {
	result := ChangeResult{Accepted: true, ChangeID: accepted.ID, Revision: accepted.Revision, Edits: edits}
	if requested.wait == 0 {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, requested.wait)
	defer cancel()
	// An error only says that the time was over first: the change is accepted all the same.
	status, _ := s.Status.WaitInForce(ctx, accepted.Revision)
	inForce := status.InForce()
	result.InForce = &inForce
	result.Zones = status.Zones
	return result
}

func (s *server) auditAccepted(accepted confsync.Change) {
	var edits []string
	for _, changed := range accepted.Resources {
		edits = append(edits, string(changed.Resource.Kind)+"/"+changed.Resource.Name)
	}
	event.AdminChangeAccepted.Log(s.Logger).
		Str("author", accepted.Author).
		Str("change_id", accepted.ID).
		Str("comment", accepted.Comment).
		Int64("revision", accepted.Revision).
		Strs("resources", edits).
		Send()
}

// requireGuards refuses a change that does not say which state it is meant for: it could undo another's unseen.
func requireGuards(requested change) error {
	var unguarded []string
	for _, edit := range requested.edits {
		if !edit.guard.given && requested.base == nil {
			unguarded = append(unguarded, edit.reference.String())
		}
	}
	if len(unguarded) == 0 {
		return nil
	}
	return failure.New(failure.CodePreconditionRequired,
		"say which revision the change is meant for (If-Match, If-None-Match: *, or revision in the manifest): %s",
		strings.Join(unguarded, ", "))
}

// rehearse checks the change against the newest configuration and returns that configuration.
func (s *server) rehearse(ctx context.Context, requested change) (*confsync.State, error) {
	var rehearsed *confsync.State
	proposal := requested.proposal()
	proposal.Check = func(base, proposed *confsync.State) error {
		rehearsed = base
		return requested.check(s.Source.Current(), base, proposed)
	}
	if _, err := s.Writer.DryRun(ctx, proposal); err != nil {
		return nil, fmt.Errorf("checking the change: %w", err)
	}
	return rehearsed, nil
}

func (c change) emptyProposal() confsync.Proposal {
	return confsync.Proposal{ID: c.id, Author: c.author, Comment: c.comment, Expected: map[confsync.Key]int64{}}
}

func (c change) proposal() confsync.Proposal {
	proposal := c.emptyProposal()
	for _, edit := range c.edits {
		proposal.Mutations = append(proposal.Mutations, edit.mutation())
		if edit.guard.given && !edit.guard.any {
			proposal.Expected[edit.key()] = edit.guard.revision
		}
	}
	return proposal
}

// pinned returns the proposal of what the change really changes. Every resource it names, changed or not, must still
// be as it was in base: otherwise the results that are reported would not be those of the commit.
func (s *server) pinned(requested change, base *confsync.State, results []EditResult) confsync.Proposal {
	proposal := requested.emptyProposal()
	for index, edit := range requested.edits {
		present, _ := base.Get(edit.key())
		proposal.Expected[edit.key()] = present.Revision
		if results[index].Action != ActionUnchanged {
			proposal.Mutations = append(proposal.Mutations, edit.mutation())
		}
	}
	// The base may have moved in other resources, which these may refer to: check again on the state of the commit.
	proposal.Check = func(base, proposed *confsync.State) error {
		return requested.check(s.Source.Current(), base, proposed)
	}
	return proposal
}

func (e edit) mutation() confsync.Mutation {
	return confsync.Mutation{Key: e.key(), Value: e.spec, Delete: e.deletes()}
}

func (c change) check(known *catalog.Snapshot, base, proposed *confsync.State) error {
	if c.base != nil && base.Revision != *c.base {
		return failure.New(failure.CodeConflict,
			"the configuration is at revision %d, not %d: read it again and repeat the change", base.Revision, *c.base)
	}
	return checkState(known, base, proposed, c.edits)
}

// plan says what each edit does to the base.
func plan(base *confsync.State, edits []edit) ([]EditResult, error) {
	results := make([]EditResult, 0, len(edits))
	for _, edit := range edits {
		present, exists := base.Get(edit.key())
		result := EditResult{Kind: edit.reference.Kind, Name: edit.reference.Name, Action: ActionUpdate}
		switch {
		case edit.deletes() && !exists:
			return nil, notFound(edit.reference, catalog.ErrNotFound)
		case edit.deletes():
			result.Action = ActionDelete
		case !exists:
			result.Action = ActionCreate
		case bytes.Equal(present.Value, edit.spec):
			result.Action = ActionUnchanged
		}
		results = append(results, result)
	}
	return results, nil
}

func allUnchanged(results []EditResult) bool {
	for _, result := range results {
		if result.Action != ActionUnchanged {
			return false
		}
	}
	return true
}

// recentChanges is how far back a resent change is looked for.
const recentChanges = 100

// findAccepted looks for a change in the recent history.
func (s *server) findAccepted(ctx context.Context, id string) (confsync.Change, bool, error) {
	changes, err := s.Writer.History(ctx, 0, recentChanges)
	if err != nil {
		return confsync.Change{}, false, fmt.Errorf("looking for an earlier acceptance: %w", err)
	}
	for _, accepted := range changes {
		if accepted.ID == id {
			return accepted, true, nil
		}
	}
	return confsync.Change{}, false, nil
}

// unresolved is the answer to a change that may be a resend while nobody can tell what became of the first send.
func unresolved(id string, cause error) error {
	return failure.New(failure.CodeConfigUnknown, "it cannot be found out now whether change %s was accepted before; resend it with the same id", id).
		WithOutcome(outcome.Unknown).
		WithRetryAfter(retryUnresolved).
		WithCause(cause)
}

const retryUnresolved = 5 * time.Second

// isRefusal says whether the error is one that an earlier acceptance of the same change can cause.
func isRefusal(err error) bool {
	var invalid *catalog.InvalidError
	if errors.As(err, &invalid) {
		return true
	}
	var shown *failure.Error
	if !errors.As(err, &shown) {
		return false
	}
	return shown.Code == failure.CodeConflict || shown.Code == failure.CodeNotFound
}

func resultsOf(accepted confsync.Change) []EditResult {
	results := make([]EditResult, 0, len(accepted.Resources))
	for _, changed := range accepted.Resources {
		results = append(results, resultOf(changed))
	}
	return results
}
