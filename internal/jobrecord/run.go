package jobrecord

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// claimValue is the value of a claim's entry. The lease distinguishes the claims of a node before and after its lease expired.
type claimValue struct {
	Node  ident.Node `json:"node"`
	Lease kv.LeaseID `json:"lease"`
}

// Claim acquires the right to run an open job for the lifetime of the lease. It replaces a claim that the holder made under an earlier
// lease, before it restarted or its lease expired. Claim returns ErrClaimLost if another node holds the claim or the job is no longer
// open.
func (r *Records) Claim(ctx context.Context, open Open, holder ident.Node, lease kv.LeaseID) (Claim, error) {
	value := encode(claimValue{Node: holder, Lease: lease})
	claim, present, err := r.replaceClaim(ctx, open, 0, value, lease)
	if err != nil || present == nil {
		return claim, err
	}
	if bytes.Equal(present.Value, value) {
		// The claim is from an earlier attempt of this node whose answer was lost.
		return Claim{Job: open.ID, Revision: present.ModRevision}, nil
	}
	var held claimValue
	if decode(*present, &held) != nil || held.Node != holder {
		return Claim{}, fmt.Errorf("%w: %s", ErrClaimLost, open.ID)
	}
	claim, present, err = r.replaceClaim(ctx, open, present.ModRevision, value, lease)
	if err == nil && present != nil {
		err = fmt.Errorf("%w: %s", ErrClaimLost, open.ID)
	}
	return claim, err
}

// replaceClaim claims a job if its present claim has the given revision; zero means that there is no claim. Otherwise it returns the
// present claim.
func (r *Records) replaceClaim(ctx context.Context, open Open, revision int64, value []byte, lease kv.LeaseID) (Claim, *kv.Pair, error) {
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

// Release deletes a claim, so that another node can claim the job at once.
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

// LoadFresh reads a job that has no results yet, because it was never claimed before.
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

// maximumTransactionEntries is the maximum number of compares and writes in one transaction of the platform's store.
const maximumTransactionEntries = 32

// MaximumAppended returns the maximum number of results of a job in one Append: each takes a compare and a write, in addition to the
// compare of the claim and the writes that close the job.
func (r *Records) MaximumAppended(header *Header) int {
	others := 1 + len(r.closingWrites(header))
	return max((maximumTransactionEntries-others)/2, 1)
}

// Append writes results from a position on. remaining is the number of tokens of the items without a result; finished means that all items
// have a result, and closes the job in the same transaction. After an error that wraps kv.ErrOutcomeUnknown the caller must repeat the
// same Append until the outcome is known. It returns ErrClaimLost if the claim is not the newest one.
func (r *Records) Append(ctx context.Context, claim Claim, header *Header, position int, results []work.Result, remaining int, finished bool) error {
	compares := []kv.Compare{{Key: keyClaim(claim.Job), ModRevision: claim.Revision}}
	var writes []kv.Write
	for index, result := range results {
		key := keyResult(claim.Job, position+index)
		compares = append(compares, kv.Compare{Key: key})
		writes = append(writes, kv.Write{Key: key, Value: encodeResult(header, result)})
	}
	if finished {
		writes = append(writes, r.closingWrites(header)...)
	} else {
		writes = append(writes, kv.Write{Key: keyRemaining(claim.Job), Value: strconv.AppendInt(nil, int64(remaining), 10)})
	}
	outcome, err := r.Store.Commit(ctx, compares, writes)
	if err != nil || outcome.Succeeded {
		return err
	}
	if alreadyWritten(outcome.Conflicts, writes[:len(results)]) {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrClaimLost, claim.Job)
}

func encodeResult(header *Header, result work.Result) []byte {
	return encode(StoredResult{Result: result, Total: len(header.Items), Tenant: header.Tenant})
}

// maxEncodedPerByte is the most bytes that a byte of a text takes once it is encoded.
const maxEncodedPerByte = 6

// CheckResult returns an error that wraps ErrTooLarge if a result of a job is too large to be stored.
func (r *Records) CheckResult(header *Header, result work.Result) error {
	if maxEncodedPerByte*len(result.Text) < r.ValueBytes/2 {
		// The other fields are small: it fits whatever the text is.
		return nil
	}
	if size := len(encodeResult(header, result)); size > r.ValueBytes {
		return fmt.Errorf("%w: the result of item %s has %d bytes, at most %d are kept", ErrTooLarge, result.ID, size, r.ValueBytes)
	}
	return nil
}

// alreadyWritten reports whether all writes are present, because an earlier attempt of the same Append took effect.
func alreadyWritten(present []kv.Pair, writes []kv.Write) bool {
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

// End ends a job and deletes its claim, so that no more results are added. It is idempotent.
func (r *Records) End(ctx context.Context, header *Header) error {
	_, err := r.Store.Commit(ctx, nil, r.closingWrites(header))
	return err
}

// closingWrites returns the writes that delete the entries that only an open job needs, and that record when the rest expires.
func (r *Records) closingWrites(header *Header) []kv.Write {
	expires := header.Submitted().Add(r.Retention)
	writes := []kv.Write{
		{Key: keyDone(header.ID), Value: strconv.AppendInt(nil, expires.UnixMilli(), 10)},
		{Key: keyOpen(header.ID), Delete: true},
		{Key: keyClaim(header.ID), Delete: true},
		{Key: keyRemaining(header.ID), Delete: true},
	}
	for part := range header.Parts {
		writes = append(writes, kv.Write{Key: keyPart(header.ID, part), Delete: true})
	}
	for part := range header.HeaderParts {
		writes = append(writes, kv.Write{Key: keyItemHeaders(header.ID, part), Delete: true})
	}
	return writes
}

// retentionSlack is added to the retention period, because the clocks of machines differ.
const retentionSlack = 30 * time.Second

// RemoveExpired removes closed jobs whose retention period has ended, and returns their number. It removes the results before the entry
// that identifies the job, so that the next call continues an interrupted removal.
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

// removalBatch bounds the entries that one transaction removes.
const removalBatch = 24

func (r *Records) remove(ctx context.Context, job ident.Job) error {
	pairs, _, err := kv.ListAll(ctx, r.Store, resultsOf(job), kv.PageOptions{})
	if err != nil {
		return err
	}
	var writes []kv.Write
	for _, pair := range pairs {
		writes = append(writes, kv.Write{Key: pair.Key, Delete: true})
		if len(writes) == removalBatch {
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

// Unknown reports whether an error means that the outcome of a call is unknown.
func Unknown(err error) bool { return errors.Is(err, kv.ErrOutcomeUnknown) }
