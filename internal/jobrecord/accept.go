package jobrecord

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Submission is a job to be accepted.
type Submission struct {
	ID    ident.Job
	Route string
	Host  string
	Zone  ident.Zone
	// Tenant is the tenant that the job belongs to; empty if there is none.
	Tenant ident.Tenant
	// Accepted is the time at which the job was accepted; zero means now.
	Accepted time.Time
	Items    []work.Item
	// Released is called once the items are no longer in use. It may be nil.
	Released func()
	// holders is the number of users of the items: calls of Retain without a Release.
	holders atomic.Int32
}

// Retain adds a user of the items, because calls that use them may continue after the client was answered.
func (s *Submission) Retain() { s.holders.Add(1) }

// Release removes a user of the items. The last one calls Released.
func (s *Submission) Release() {
	if s.holders.Add(-1) == 0 && s.Released != nil {
		s.Released()
	}
}

// Tokens returns the sum of the tokens of all items.
func (s *Submission) Tokens() int {
	tokens := 0
	for _, item := range s.Items {
		tokens += item.Tokens
	}
	return tokens
}

// Accept writes a job. It is idempotent: a job that exists is not changed. After an error that wraps kv.ErrOutcomeUnknown the job may
// exist, or the write may take effect seconds later.
func (r *Records) Accept(ctx context.Context, submission *Submission) error {
	_, err := r.accept(ctx, submission, nil, nil)
	return err
}

// Assignee is the worker for which a job is claimed when it is accepted.
type Assignee struct {
	Node ident.Node
	// Lease is the worker's lease. The claim is deleted when it ends.
	Lease kv.LeaseID
	// Address is the address at which other nodes call the worker.
	Address string
}

// Assigned is a job that was accepted together with its claim.
type Assigned struct {
	Open  Open
	Claim Claim
}

// AcceptFor writes a job and a worker's claim of it in one transaction, under an admission unless it is nil. If the job exists already it
// writes nothing and returns nil. If the worker's lease has ended it writes nothing, and the error wraps kv.ErrLeaseNotFound.
func (r *Records) AcceptFor(ctx context.Context, submission *Submission, admission *Admission, assignee Assignee) (*Assigned, error) {
	claim := []kv.Write{{
		Key: keyClaim(submission.ID), Value: encode(claimValue{Node: assignee.Node, Lease: assignee.Lease}), Lease: assignee.Lease,
	}}
	return r.accept(ctx, submission, admission, claim)
}

// Admission is the state of a route's queue before a count of its waiting tokens, as a revision for optimistic locking.
type Admission struct {
	route    string
	revision int64
}

// ErrRaced means that another job was accepted under the same admission: the count is out of date, and nothing was written.
const ErrRaced = failure.Kind("job record: another job was taken meanwhile")

// Admission reads the state of a route's queue. A count of the waiting tokens made afterwards is valid while the state does not change.
func (r *Records) Admission(ctx context.Context, route string) (Admission, error) {
	pair, _, err := r.Store.Get(ctx, keyAdmission(route))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return Admission{}, err
	}
	return Admission{route: route, revision: pair.ModRevision}, nil
}

// AcceptUnder writes a job like Accept if no other job was written under the same admission. Otherwise it returns ErrRaced, unless the
// job exists.
func (r *Records) AcceptUnder(ctx context.Context, submission *Submission, admission Admission) error {
	_, err := r.accept(ctx, submission, &admission, nil)
	return err
}

// accept writes a job and additional writes in one transaction, under an admission unless it is nil.
func (r *Records) accept(ctx context.Context, submission *Submission, admission *Admission, extra []kv.Write) (*Assigned, error) {
	packed, err := r.pack(submission)
	if err != nil {
		return nil, err
	}
	header := packed.header
	open := Open{
		ID: header.ID, Route: header.Route, Zone: header.Zone, Tenant: header.Tenant, Tokens: header.Tokens, Bytes: packed.bytes(),
	}
	writes := append(packed.writes, kv.Write{Key: keyOpen(header.ID), Value: encode(open)})
	compares := []kv.Compare{{Key: keyHeader(header.ID)}}
	if admission != nil {
		key := keyAdmission(admission.route)
		compares = append(compares, kv.Compare{Key: key, ModRevision: admission.revision})
		writes = append(writes, kv.Write{Key: key, Value: []byte(submission.ID)})
	}
	result, err := r.Store.Commit(ctx, compares, append(writes, extra...))
	if err != nil {
		return nil, err
	}
	if result.Succeeded {
		open.Revision = result.Revision
		return &Assigned{Open: open, Claim: Claim{Job: header.ID, Revision: result.Revision}}, nil
	}
	for _, present := range result.Conflicts {
		if present.Key == keyHeader(header.ID) {
			return nil, checkTenant(present, header)
		}
	}
	if admission == nil {
		// The header is the only compare, so the transaction can only have failed because the job exists.
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrRaced, header.ID)
}

// checkTenant returns nil if a job that exists belongs to the tenant that submits it again, and otherwise ErrOtherTenant.
func checkTenant(present kv.Pair, header *Header) error {
	var before Header
	if err := decode(present, &before); err != nil {
		return err
	}
	if !before.BelongsTo(header.Tenant) {
		return fmt.Errorf("%w: %s", ErrOtherTenant, header.ID)
	}
	return nil
}

// Exists reports whether a job was accepted and is still retained.
func (r *Records) Exists(ctx context.Context, job ident.Job) (bool, error) {
	_, err := r.Header(ctx, job)
	if isNoSuchJob(err) {
		return false, nil
	}
	return err == nil, err
}

// Queue identifies the waiting items that share one bound: those of a tenant on a route, or of the whole route if there are no tenants.
type Queue struct {
	Route  string
	Tenant ident.Tenant
}

// Queue returns the queue of the job.
func (s *Submission) Queue() Queue { return Queue{Route: s.Route, Tenant: s.Tenant} }

// Contains reports whether a job counts for the queue. A job without a tenant counts for every queue of its route, because its tenant is not
// known.
func (q Queue) Contains(route string, tenant ident.Tenant) bool {
	return route == q.Route && (q.Tenant == "" || tenant == "" || tenant == q.Tenant)
}

// WaitingTokens returns the tokens of the items of a queue that have no result, over all nodes. It subtracts finished items of jobs in
// progress only if the sum would exceed the bound, because that takes a second call.
func (r *Records) WaitingTokens(ctx context.Context, queue Queue, bound int) (int, error) {
	open, _, err := r.ListOpen(ctx)
	if err != nil {
		return 0, err
	}
	waiting := 0
	tokens := map[ident.Job]int{}
	for _, entry := range open {
		if queue.Contains(entry.Route, entry.Tenant) {
			waiting += entry.Tokens
			tokens[entry.ID] = entry.Tokens
		}
	}
	if waiting <= bound {
		return waiting, nil
	}
	left, _, err := kv.ListAll(ctx, r.Store, prefixRemaining, kv.PageOptions{})
	if err != nil {
		return 0, err
	}
	for _, pair := range left {
		whole, isOpen := tokens[ident.Job(strings.TrimPrefix(pair.Key, prefixRemaining))]
		remaining, err := strconv.Atoi(string(pair.Value))
		if isOpen && err == nil {
			waiting -= whole - remaining
		}
	}
	return waiting, nil
}
