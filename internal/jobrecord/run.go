package jobrecord

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// claimValue is what a claim's entry holds. The lease tells a node's claims of before a lapse from those after it.
type claimValue struct {
	Node  ident.Node `json:"node"`
	Lease kv.LeaseID `json:"lease"`
}

// Claim takes the right to run an open job for as long as the lease lives. A claim that the holder made under an earlier
// lease is taken over at once: it is one of before its restart, or of before its lease lapsed. Claim returns ErrClaimLost
// where another node holds the job or it is not open any more.
func (r *Records) Claim(ctx context.Context, open Open, holder ident.Node, lease kv.LeaseID) (Claim, error) {
	value := encode(claimValue{Node: holder, Lease: lease})
	claim, present, err := r.claimOver(ctx, open, 0, value, lease)
	if err != nil || present == nil {
		return claim, err
	}
	if bytes.Equal(present.Value, value) {
		// This node's own, from a try whose answer was lost.
		return Claim{Job: open.ID, Revision: present.ModRevision}, nil
	}
	var held claimValue
	if decode(*present, &held) != nil || held.Node != holder {
		return Claim{}, fmt.Errorf("%w: %s", ErrClaimLost, open.ID)
	}
	claim, present, err = r.claimOver(ctx, open, present.ModRevision, value, lease)
	if err == nil && present != nil {
		err = fmt.Errorf("%w: %s", ErrClaimLost, open.ID)
	}
	return claim, err
}

// claimOver claims a job whose claim has the revision, zero for none. It returns the claim that is present where that is
// another one.
func (r *Records) claimOver(ctx context.Context, open Open, revision int64, value []byte, lease kv.LeaseID) (Claim, *kv.Pair, error) {
	result, err := r.Store.Commit(ctx,
		[]kv.Compare{{Key: keyClaim(open.ID), ModRevision: revision}, {Key: keyOpen(open.ID), ModRevision: open.Revision}},
		[]kv.Write{{Key: keyClaim(open.ID), Value: value, Lease: lease}})
	if err != nil {
		return Claim{}, nil, err
	}
	if result.Succeeded {
		return Claim{Job: open.ID, Revision: result.Revision}, nil, nil
	}
	for index := range result.Conflicts {
		if result.Conflicts[index].Key == keyClaim(open.ID) {
			return Claim{}, &result.Conflicts[index], nil
		}
	}
	return Claim{}, nil, fmt.Errorf("%w: %s", ErrClaimLost, open.ID)
}

// Release gives a claim up, so that another node may take the job at once.
func (r *Records) Release(ctx context.Context, claim Claim) error {
	_, err := r.Store.Commit(ctx,
		[]kv.Compare{{Key: keyClaim(claim.Job), ModRevision: claim.Revision}},
		[]kv.Write{{Key: keyClaim(claim.Job), Delete: true}})
	return err
}

// Load reads a claimed job and the results it already has.
func (r *Records) Load(ctx context.Context, job ident.Job) (*Job, []work.Result, error) {
	results, err := r.AllResults(ctx, job)
	if err != nil {
		return nil, nil, err
	}
	loaded, err := r.LoadFresh(ctx, job)
	return loaded, results, err
}

// LoadFresh reads a job that has no results yet: its claim is the first.
func (r *Records) LoadFresh(ctx context.Context, job ident.Job) (*Job, error) {
	pairs, _, err := kv.ListAll(ctx, r.Store, prefixData+string(job)+"/", kv.PageOptions{})
	if err != nil {
		return nil, err
	}
	return assemble(job, pairs)
}

// AllResults reads every result of a job.
func (r *Records) AllResults(ctx context.Context, job ident.Job) ([]work.Result, error) {
	pairs, _, err := kv.ListAll(ctx, r.Store, resultsOf(job), kv.PageOptions{})
	if err != nil {
		return nil, err
	}
	return decodeResults(job, 0, pairs)
}

// assemble puts a job together from its values.
func assemble(job ident.Job, pairs []kv.Pair) (*Job, error) {
	sort.Slice(pairs, func(first, second int) bool { return pairs[first].Key < pairs[second].Key })
	loaded := &Job{}
	var parts [][]byte
	for _, pair := range pairs {
		if strings.HasSuffix(pair.Key, suffixHeader) {
			if err := decode(pair, &loaded.Header); err != nil {
				return nil, err
			}
			continue
		}
		parts = append(parts, pair.Value)
	}
	if loaded.Header.ID != job || len(parts) != loaded.Header.Parts {
		return nil, fmt.Errorf("%w: %s", ErrNoSuchJob, job)
	}
	for index := range loaded.Header.Items {
		item := &loaded.Header.Items[index]
		body, err := item.cut(parts[item.Part])
		if err != nil {
			return nil, err
		}
		loaded.Bodies = append(loaded.Bodies, body)
	}
	return loaded, nil
}

// transactionEntries is how many compares and writes one transaction of the platform's store may have.
const transactionEntries = 32

// MaximumAppended is how many results of a job one Append takes: each has a compare and a write, beside the compare of the
// claim and the writes that finish the job.
func (r *Records) MaximumAppended(header *Header) int {
	others := 1 + len(r.closing(header))
	return max((transactionEntries-others)/2, 1)
}

// Append writes results from a position on. remaining are the tokens of the items without a result; finished says that
// there are none, and closes the job in the same transaction. After an error that wraps kv.ErrOutcomeUnknown the
// caller repeats the same Append until it knows. It returns ErrClaimLost where the claim is not the newest.
func (r *Records) Append(ctx context.Context, claim Claim, header *Header, position int, results []work.Result, remaining int, finished bool) error {
	compares := []kv.Compare{{Key: keyClaim(claim.Job), ModRevision: claim.Revision}}
	var writes []kv.Write
	for index, result := range results {
		key := keyResult(claim.Job, position+index)
		compares = append(compares, kv.Compare{Key: key})
		stored := StoredResult{Result: result, Total: len(header.Items), Tenant: header.Tenant}
		writes = append(writes, kv.Write{Key: key, Value: encode(stored)})
	}
	if finished {
		writes = append(writes, r.closing(header)...)
	} else {
		writes = append(writes, kv.Write{Key: keyLeft(claim.Job), Value: strconv.AppendInt(nil, int64(remaining), 10)})
	}
	outcome, err := r.Store.Commit(ctx, compares, writes)
	if err != nil || outcome.Succeeded {
		return err
	}
	if holdsResults(outcome.Conflicts, writes[:len(results)]) {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrClaimLost, claim.Job)
}

// holdsResults says whether an earlier try of the same Append took effect.
func holdsResults(present []kv.Pair, writes []kv.Write) bool {
	found := 0
	for _, pair := range present {
		for _, write := range writes {
			if pair.Key == write.Key && bytes.Equal(pair.Value, write.Value) {
				found++
			}
		}
	}
	return found == len(writes)
}

// End ends a job: its claim goes, so that no more results are added. Repeating it is harmless.
func (r *Records) End(ctx context.Context, header *Header) error {
	_, err := r.Store.Commit(ctx, nil, r.closing(header))
	return err
}

// closing removes what only an open job needs and notes when the rest may go.
func (r *Records) closing(header *Header) []kv.Write {
	expires := header.Submitted().Add(r.Retention)
	writes := []kv.Write{
		{Key: keyDone(header.ID), Value: strconv.AppendInt(nil, expires.UnixMilli(), 10)},
		{Key: keyOpen(header.ID), Delete: true},
		{Key: keyClaim(header.ID), Delete: true},
		{Key: keyLeft(header.ID), Delete: true},
	}
	for part := range header.Parts {
		writes = append(writes, kv.Write{Key: keyPart(header.ID, part), Delete: true})
	}
	return writes
}

// retentionSlack is kept beyond the retention, because clocks of machines differ.
const retentionSlack = 30 * time.Second

// RemoveExpired removes closed jobs whose retention is over. Results are removed before the entry that names the job,
// so that a removal cut short is taken up again.
func (r *Records) RemoveExpired(ctx context.Context) (int, error) {
	pairs, _, err := kv.ListAll(ctx, r.Store, prefixDone, kv.PageOptions{})
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, pair := range pairs {
		expires, err := strconv.ParseInt(string(pair.Value), 10, 64)
		if err == nil && r.Now().Before(time.UnixMilli(expires).Add(retentionSlack)) {
			continue
		}
		if err := r.remove(ctx, ident.Job(strings.TrimPrefix(pair.Key, prefixDone))); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// removedTogether bounds the entries of one removing transaction.
const removedTogether = 24

func (r *Records) remove(ctx context.Context, job ident.Job) error {
	pairs, _, err := kv.ListAll(ctx, r.Store, resultsOf(job), kv.PageOptions{})
	if err != nil {
		return err
	}
	var writes []kv.Write
	for _, pair := range pairs {
		writes = append(writes, kv.Write{Key: pair.Key, Delete: true})
		if len(writes) == removedTogether {
			if _, err := r.Store.Commit(ctx, nil, writes); err != nil {
				return err
			}
			writes = writes[:0]
		}
	}
	writes = append(writes, kv.Write{Key: keyHeader(job), Delete: true}, kv.Write{Key: keyDone(job), Delete: true})
	_, err = r.Store.Commit(ctx, nil, writes)
	return err
}

// Unknown says whether an error leaves open what happened.
func Unknown(err error) bool { return errors.Is(err, kv.ErrOutcomeUnknown) }
