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

// partBytes is how much of the bodies one value holds: as few values as the service's bound on entries needs, and small
// enough that reading one body does not move the whole job.
const partBytes = 512 << 10

// maximumParts keeps a job within the entries of one transaction, with its header, its open entry and its claim.
const maximumParts = 14

// Submission is a job to be accepted.
type Submission struct {
	ID    ident.Job
	Route string
	Host  string
	Zone  ident.Zone
	// Tenant is whose job it is, if anybody's.
	Tenant ident.Tenant
	// Accepted is when the job was accepted; zero means now.
	Accepted time.Time
	Items    []work.Item
	// Released is called once nobody holds the items any more; nil is told nothing.
	Released func()
	// holders counts who still holds the items.
	holders atomic.Int32
}

// Hold notes that a part of the program holds the items from now on: calls with them go on after the caller was answered.
func (s *Submission) Hold() { s.holders.Add(1) }

// LetGo notes that it holds them no more. The last one tells Released.
func (s *Submission) LetGo() {
	if s.holders.Add(-1) == 0 && s.Released != nil {
		s.Released()
	}
}

// Tokens are those of all items.
func (s *Submission) Tokens() int {
	tokens := 0
	for _, item := range s.Items {
		tokens += item.Tokens
	}
	return tokens
}

// Accept writes a job. Repeating it is harmless: a job that exists is left as it is. After an error that wraps
// kv.ErrOutcomeUnknown the job may exist, or come to exist seconds later.
func (r *Records) Accept(ctx context.Context, submission *Submission) error {
	_, err := r.accept(ctx, submission, nil, nil)
	return err
}

// Assignee is a worker that a job is claimed for as it is accepted.
type Assignee struct {
	Node ident.Node
	// Lease is the worker's; the claim goes with it.
	Lease kv.LeaseID
	// Address is where other nodes call the worker.
	Address string
}

// Assigned is a job that was accepted together with a claim.
type Assigned struct {
	Open  Open
	Claim Claim
}

// AcceptFor writes a job and a worker's claim of it in one transaction, under an admission unless it is nil. It returns nil
// where the job existed before: then nothing was written. The error wraps kv.ErrLeaseNotFound where the worker's lease is
// over: nothing was written either.
func (r *Records) AcceptFor(ctx context.Context, submission *Submission, admission *Admission, assignee Assignee) (*Assigned, error) {
	claim := []kv.Write{{
		Key: keyClaim(submission.ID), Value: encode(claimValue{Node: assignee.Node, Lease: assignee.Lease}), Lease: assignee.Lease,
	}}
	return r.accept(ctx, submission, admission, claim)
}

// Admission is the state of a route's queue that a count of its waiting tokens was made under.
type Admission struct {
	route    string
	revision int64
}

// ErrRaced means that another job was taken under the same admission: the count is old, and nothing was written.
const ErrRaced = failure.Kind("job record: another job was taken meanwhile")

// Admission reads the state of a route's queue. A count of the waiting tokens made after it holds for as long as it does.
func (r *Records) Admission(ctx context.Context, route string) (Admission, error) {
	pair, _, err := r.Store.Get(ctx, keyAdmission(route))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return Admission{}, err
	}
	return Admission{route: route, revision: pair.ModRevision}, nil
}

// AcceptUnder writes a job as Accept does, if no other one was written under the same admission. Otherwise it returns
// ErrRaced, unless the job exists.
func (r *Records) AcceptUnder(ctx context.Context, submission *Submission, admission Admission) error {
	_, err := r.accept(ctx, submission, &admission, nil)
	return err
}

// accept writes a job with some more, under an admission unless it is nil.
func (r *Records) accept(ctx context.Context, submission *Submission, admission *Admission, extra []kv.Write) (*Assigned, error) {
	header, parts, err := r.layOut(submission)
	if err != nil {
		return nil, err
	}
	encoded := encode(header)
	open := Open{
		ID: header.ID, Route: header.Route, Zone: header.Zone, Tenant: header.Tenant, Tokens: header.Tokens,
		Bytes: sizeOf(encoded) + sizeOf(parts...),
	}
	writes := []kv.Write{
		{Key: keyHeader(header.ID), Value: encoded},
		{Key: keyOpen(header.ID), Value: encode(open)},
	}
	for index, part := range parts {
		writes = append(writes, kv.Write{Key: keyPart(header.ID, index), Value: part})
	}
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
			return nil, sameTenant(present, header)
		}
	}
	if admission == nil {
		// A transaction that fails its one compare found the header: the job was accepted before.
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrRaced, header.ID)
}

// sizeOf is the sum of the lengths of some values.
func sizeOf(values ...[]byte) int64 {
	sum := int64(0)
	for _, value := range values {
		sum += int64(len(value))
	}
	return sum
}

// sameTenant returns nil where a job that was accepted before is the tenant's who submits it now.
func sameTenant(present kv.Pair, header *Header) error {
	var before Header
	if err := decode(present, &before); err != nil {
		return err
	}
	if !before.BelongsTo(header.Tenant) {
		return fmt.Errorf("%w: %s", ErrOthersJob, header.ID)
	}
	return nil
}

func (r *Records) accepted(submission *Submission) time.Time {
	if submission.Accepted.IsZero() {
		return r.Now()
	}
	return submission.Accepted
}

// Check says whether a job can be kept; the error wraps ErrTooLarge.
func (r *Records) Check(submission *Submission) error {
	_, _, err := r.layOut(submission)
	return err
}

// layOut puts the bodies one behind the other into values.
func (r *Records) layOut(submission *Submission) (*Header, [][]byte, error) {
	header := &Header{
		ID: submission.ID, Route: submission.Route, Host: submission.Host, Zone: submission.Zone, Tenant: submission.Tenant,
		SubmittedMs: r.accepted(submission).UnixMilli(), Tokens: submission.Tokens(),
	}
	largest := r.ValueBytes / 4 * 3
	var parts [][]byte
	for _, item := range submission.Items {
		if len(item.Body) > largest {
			return nil, nil, fmt.Errorf("%w: item %s has %d bytes, at most %d are kept", ErrTooLarge, item.ID, len(item.Body), largest)
		}
		if len(parts) == 0 || len(parts[len(parts)-1])+len(item.Body) > min(partBytes, largest) {
			parts = append(parts, nil)
		}
		last := len(parts) - 1
		header.Items = append(header.Items, ItemHeader{Item: item, Part: last, Offset: len(parts[last]), Length: len(item.Body)})
		parts[last] = append(parts[last], item.Body...)
	}
	if len(parts) > maximumParts {
		return nil, nil, fmt.Errorf("%w: the bodies need %d values, at most %d are kept", ErrTooLarge, len(parts), maximumParts)
	}
	header.Parts = len(parts)
	return header, parts, nil
}

// Exists says whether a job was accepted.
func (r *Records) Exists(ctx context.Context, job ident.Job) (bool, error) {
	_, err := r.Header(ctx, job)
	if isNoSuchJob(err) {
		return false, nil
	}
	return err == nil, err
}

// Queue names the items that wait together and are bounded together: those of a tenant on a route, or of the whole route where
// there are no tenants.
type Queue struct {
	Route  string
	Tenant ident.Tenant
}

// Queue is the job's.
func (s *Submission) Queue() Queue { return Queue{Route: s.Route, Tenant: s.Tenant} }

// Has says whether a job waits in the queue. One without a tenant is in each queue of its route: whose it is is not known.
func (q Queue) Has(route string, tenant ident.Tenant) bool {
	return route == q.Route && (q.Tenant == "" || tenant == "" || tenant == q.Tenant)
}

// WaitingTokens returns the tokens of a queue's items that have no result, over all nodes. Finished items of jobs in
// progress are only left out where the sum would go beyond the bound: that takes a second call.
func (r *Records) WaitingTokens(ctx context.Context, queue Queue, bound int) (int, error) {
	open, _, err := r.ListOpen(ctx)
	if err != nil {
		return 0, err
	}
	waiting := 0
	tokens := map[ident.Job]int{}
	for _, entry := range open {
		if queue.Has(entry.Route, entry.Tenant) {
			waiting += entry.Tokens
			tokens[entry.ID] = entry.Tokens
		}
	}
	if waiting <= bound {
		return waiting, nil
	}
	left, _, err := kv.ListAll(ctx, r.Store, prefixLeft, kv.PageOptions{})
	if err != nil {
		return 0, err
	}
	for _, pair := range left {
		whole, isOpen := tokens[ident.Job(strings.TrimPrefix(pair.Key, prefixLeft))]
		remaining, err := strconv.Atoi(string(pair.Value))
		if isOpen && err == nil {
			waiting -= whole - remaining
		}
	}
	return waiting, nil
}
