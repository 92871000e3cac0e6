package jobrecord

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// partBytes is the maximum size of a value with bodies or headers of items: large enough that a job stays within the service's limit
	// on entries per transaction, and small enough that reading one body does not transfer the whole job.
	partBytes = 512 << 10
	// maximumParts bounds the values of a job's bodies and headers, so that they fit into one transaction with the description, the open
	// entry and the claim.
	maximumParts = 14
	// maximumKeyBytes is the maximum length of a key of the platform's store.
	maximumKeyBytes = 200
)

// packedJob is a job as the values that the store keeps of it.
type packedJob struct {
	header *Header
	writes []kv.Write
}

// bytes returns the size of the values.
func (p *packedJob) bytes() int64 {
	size := int64(0)
	for _, write := range p.writes {
		size += int64(len(write.Value))
	}
	return size
}

// Check returns an error that wraps ErrTooLarge if a job is too large to be stored.
func (r *Records) Check(submission *Submission) error {
	_, err := r.pack(submission)
	return err
}

// pack packs a job into values. Sizes are checked as they are stored. The error wraps ErrTooLarge.
func (r *Records) pack(submission *Submission) (*packedJob, error) {
	if length := longestKey(submission.ID); length > maximumKeyBytes {
		return nil, fmt.Errorf("%w: the id makes keys of %d bytes, at most %d are possible", ErrTooLarge, length, maximumKeyBytes)
	}
	header := &Header{
		ID: submission.ID, Route: submission.Route, Host: submission.Host, Zone: submission.Zone, Tenant: submission.Tenant,
		SubmittedMs: r.acceptedAt(submission).UnixMilli(), Tokens: submission.Tokens(),
	}
	bodies, err := r.packBodies(header, submission.Items)
	if err != nil {
		return nil, err
	}
	encoded := encode(header)
	var itemHeaders [][]byte
	if len(encoded) > r.ValueBytes {
		if itemHeaders, err = r.packItemHeaders(header); err != nil {
			return nil, err
		}
		encoded = encode(header)
	}
	if len(encoded) > r.ValueBytes {
		return nil, fmt.Errorf("%w: the items without headers and bodies have %d bytes, at most %d are kept", ErrTooLarge, len(encoded), r.ValueBytes)
	}
	if parts := len(bodies) + len(itemHeaders); parts > maximumParts {
		return nil, fmt.Errorf("%w: the bodies and headers need %d values, at most %d are kept", ErrTooLarge, parts, maximumParts)
	}
	packed := &packedJob{header: header, writes: []kv.Write{{Key: keyHeader(header.ID), Value: encoded}}}
	for index, part := range bodies {
		packed.writes = append(packed.writes, kv.Write{Key: keyPart(header.ID, index), Value: part})
	}
	for index, part := range itemHeaders {
		packed.writes = append(packed.writes, kv.Write{Key: keyItemHeaders(header.ID, index), Value: part})
	}
	return packed, nil
}

// longestKey returns the length of the longest key of a job.
func longestKey(job ident.Job) int {
	return max(len(keyItemHeaders(job, 0)), len(keyPart(job, 0)), len(keyResult(job, 0)), len(keyClaim(job)))
}

// acceptedAt returns the time at which a submission was accepted, by default now.
func (r *Records) acceptedAt(submission *Submission) time.Time {
	if submission.Accepted.IsZero() {
		return r.Now()
	}
	return submission.Accepted
}

// packBodies packs the bodies of items into values, and adds the items to the header.
func (r *Records) packBodies(header *Header, items []work.Item) ([][]byte, error) {
	largest := r.ValueBytes / 4 * 3
	var parts [][]byte
	for _, item := range items {
		if len(item.Body) > largest {
			return nil, fmt.Errorf("%w: item %s has %d bytes, at most %d are kept", ErrTooLarge, item.ID, len(item.Body), largest)
		}
		if len(parts) == 0 || len(parts[len(parts)-1])+len(item.Body) > min(partBytes, largest) {
			parts = append(parts, nil)
		}
		last := len(parts) - 1
		header.Items = append(header.Items, ItemHeader{Item: item, Part: last, Offset: len(parts[last]), Length: len(item.Body)})
		parts[last] = append(parts[last], item.Body...)
	}
	header.Parts = len(parts)
	return parts, nil
}

// packItemHeaders moves the headers of a job's items into values of their own: each is a list of the headers of successive items.
func (r *Records) packItemHeaders(header *Header) ([][]byte, error) {
	var parts [][]byte
	var part []json.RawMessage
	size := 0
	for index := range header.Items {
		item := &header.Items[index]
		encoded := encode(item.Headers)
		if len(part) > 0 && size+len(encoded) > min(partBytes, r.ValueBytes) {
			parts = append(parts, encode(part))
			part, size = nil, 0
		}
		part = append(part, encoded)
		// A comma follows, or a bracket.
		size += len(encoded) + 1
		item.Headers = nil
	}
	parts = append(parts, encode(part))
	for _, part := range parts {
		if len(part) > r.ValueBytes {
			return nil, fmt.Errorf("%w: the headers of an item have %d bytes, at most %d are kept", ErrTooLarge, len(part), r.ValueBytes)
		}
	}
	header.HeaderParts = len(parts)
	return parts, nil
}

// assemble builds a job from its values.
func assemble(job ident.Job, pairs []kv.Pair) (*Job, error) {
	slices.SortFunc(pairs, func(first, second kv.Pair) int { return strings.Compare(first.Key, second.Key) })
	loaded := &Job{}
	var bodies [][]byte
	var itemHeaders []kv.Pair
	for _, pair := range pairs {
		switch kind := strings.TrimPrefix(pair.Key, prefixData+string(job)); {
		case kind == suffixHeader:
			if err := decode(pair, &loaded.Header); err != nil {
				return nil, err
			}
		case strings.HasPrefix(kind, infixItemHeaders):
			itemHeaders = append(itemHeaders, pair)
		default:
			bodies = append(bodies, pair.Value)
		}
	}
	header := &loaded.Header
	if header.ID != job || len(bodies) != header.Parts || len(itemHeaders) != header.HeaderParts {
		return nil, fmt.Errorf("%w: %s", ErrNoSuchJob, job)
	}
	if err := header.unpackItemHeaders(itemHeaders); err != nil {
		return nil, err
	}
	for index := range header.Items {
		item := &header.Items[index]
		body, err := item.bodyIn(bodies[item.Part])
		if err != nil {
			return nil, err
		}
		loaded.Bodies = append(loaded.Bodies, body)
	}
	return loaded, nil
}

// unpackItemHeaders restores the headers of the items from the values that packItemHeaders made, if there are any.
func (h *Header) unpackItemHeaders(parts []kv.Pair) error {
	if len(parts) == 0 {
		return nil
	}
	var all []map[string]string
	for _, part := range parts {
		var some []map[string]string
		if err := decode(part, &some); err != nil {
			return err
		}
		all = append(all, some...)
	}
	if len(all) != len(h.Items) {
		return fmt.Errorf("%w: headers of %d of %d items of job %s", ErrDamaged, len(all), len(h.Items), h.ID)
	}
	for index, headers := range all {
		h.Items[index].Headers = headers
	}
	return nil
}
