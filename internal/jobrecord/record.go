// Package jobrecord stores batch jobs, their claims and their results, and the entries of the workers that run them, in a key-value
// service that loses nothing it has acknowledged. It also defines the queue that a job counts for and the owner of a runner.
//
// Invariants, each enforced by the compares of one transaction:
//   - a job is written completely or not at all: Accept writes its data and its open entry together, if the job does not exist;
//   - only the holder of the newest claim adds results: each Append compares the claim's revision, and a claim is deleted when the lease
//     of its holder ends;
//   - a result at a position never changes: Append compares that the position is empty, and the holder sends one Append at a time
//     and repeats an unanswered one unchanged until it knows the outcome;
//   - a job that has ended gets no more results: End deletes the claim in the same transaction.
package jobrecord

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Failures of job records.
const (
	// ErrNoSuchJob means that no job with the id was accepted, or that its retention period has ended.
	ErrNoSuchJob = failure.Kind("job record: no such job")
	// ErrNoSuchItem means that the job has no such item, or that its body was deleted.
	ErrNoSuchItem = failure.Kind("job record: no such item")
	// ErrClaimLost means that the claim is no longer the newest one: another node runs the job, or the job has ended.
	ErrClaimLost = failure.Kind("job record: claim lost")
	// ErrNotRegistered means that a worker's entry changed during each attempt to write it.
	ErrNotRegistered = failure.Kind("job record: worker not registered")
	// ErrTooLarge means that an item or the job is too large to be stored.
	ErrTooLarge = failure.Kind("job record: too large")
	// ErrOtherTenant means that a job with the id exists and belongs to another tenant.
	ErrOtherTenant = failure.Kind("job record: job of another tenant")
	// ErrDamaged means that a stored value cannot be decoded.
	ErrDamaged = failure.Kind("job record: damaged value")
)

// Keys of the key-value service. The header and the bodies of a job have one prefix, so that one list call reads them all.
const (
	// prefixLive is the prefix of the entries that every worker follows: open jobs, claims and workers.
	prefixLive   = "job/live/"
	prefixOpen   = prefixLive + "open/"
	prefixClaim  = prefixLive + "claim/"
	prefixWorker = prefixLive + "worker/"
	prefixData   = "job/data/"
	// prefixRemaining is the prefix of the remaining tokens of jobs in progress.
	prefixRemaining = "job/left/"
	prefixResult    = "job/result/"
	prefixDone      = "job/done/"
	// prefixAdmission is the prefix of one key for each route, which is written with each job that is accepted
	// under an admission, as is done while its queue is nearly full.
	prefixAdmission = "job/admission/"

	suffixHeader = "/header"
	// infixItemHeaders and infixBody stand between a job and the number of a value of its items' headers or bodies.
	infixItemHeaders = "/headers-"
	infixBody        = "/part-"
)

func keyOpen(job ident.Job) string      { return prefixOpen + string(job) }
func keyWorker(node ident.Node) string  { return prefixWorker + string(node) }
func keyHeader(job ident.Job) string    { return prefixData + string(job) + suffixHeader }
func keyClaim(job ident.Job) string     { return prefixClaim + string(job) }
func keyRemaining(job ident.Job) string { return prefixRemaining + string(job) }
func keyAdmission(route string) string  { return prefixAdmission + route }
func keyDone(job ident.Job) string      { return prefixDone + string(job) }
func resultsOf(job ident.Job) string    { return prefixResult + string(job) + "/" }
func keyPart(job ident.Job, part int) string {
	return fmt.Sprintf("%s%s%s%04d", prefixData, job, infixBody, part)
}

func keyItemHeaders(job ident.Job, part int) string {
	return fmt.Sprintf("%s%s%s%04d", prefixData, job, infixItemHeaders, part)
}

// keyResult returns the key of a result. Keys of results sort by position.
func keyResult(job ident.Job, position int) string {
	return fmt.Sprintf("%s%06d", resultsOf(job), position)
}

// Header describes a job without the bodies of its items.
type Header struct {
	ID ident.Job `json:"id"`
	// Route is the name of the batch route, Host the host it was submitted to.
	Route string `json:"route"`
	Host  string `json:"host"`
	// Zone is the zone in which the job was accepted.
	Zone ident.Zone `json:"zone"`
	// Tenant is the tenant that the job belongs to; empty if there is none, or if the job was accepted by a build without tenants.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// SubmittedMs is the time at which the job was accepted, in milliseconds of Unix time.
	SubmittedMs int64 `json:"submitted_ms"`
	// Tokens is the sum of the tokens of all items.
	Tokens int `json:"tokens"`
	// Parts is the number of values that the bodies are stored in.
	Parts int `json:"parts"`
	// HeaderParts is the number of values that the headers of the items are stored in. Zero means that they stand in Items: a job whose
	// description fits into one value is stored as builds without such values store it.
	HeaderParts int          `json:"header_parts,omitempty"`
	Items       []ItemHeader `json:"items"`
}

// BelongsTo reports whether a tenant may read and end the job. A job without a tenant is accessible to all.
func (h *Header) BelongsTo(tenant ident.Tenant) bool { return belongsTo(h.Tenant, tenant) }

func belongsTo(owner, tenant ident.Tenant) bool { return owner == "" || owner == tenant }

// Submitted returns the time at which the job was accepted.
func (h *Header) Submitted() time.Time { return time.UnixMilli(h.SubmittedMs) }

// ItemHeader describes an item and the location of its body.
type ItemHeader struct {
	work.Item
	Part   int `json:"part"`
	Offset int `json:"offset"`
	Length int `json:"length"`
}

// StoredResult is the entry of a result. It repeats the parts of the job's header that readers need, so that they need not read the header.
type StoredResult struct {
	work.Result
	// Total is the number of the job's items; zero if an older build recorded the result.
	Total int `json:"total,omitempty"`
	// Tenant is the tenant in the job's header.
	Tenant ident.Tenant `json:"tenant,omitempty"`
}

// Open is the entry of a job that has not ended. It is small, because every worker reads it.
type Open struct {
	ID    ident.Job  `json:"-"`
	Route string     `json:"route"`
	Zone  ident.Zone `json:"zone"`
	// Tenant is the tenant in the job's header.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// Tokens is the sum of the tokens of all items, finished or not.
	Tokens int `json:"tokens"`
	// Bytes is the size of the header and the bodies; zero if an older build wrote the entry without it.
	Bytes int64 `json:"bytes,omitempty"`
	// Revision is the revision of the entry.
	Revision int64 `json:"-"`
}

// Size returns the memory that the job takes when it is read. An unknown size is assumed to be the maximum size of a job.
func (o Open) Size() int64 {
	if o.Bytes <= 0 {
		return maximumParts * partBytes
	}
	return o.Bytes
}

// Job is a job with its bodies.
type Job struct {
	Header Header
	// Bodies are the bodies of the items, in the order of Header.Items.
	Bodies [][]byte
}

// Claim is the right of one node to add results to a job.
type Claim struct {
	Job ident.Job
	// Revision distinguishes this claim from other claims of the same job.
	Revision int64
}

// Records reads and writes jobs.
type Records struct {
	Store kv.Paged
	// ValueBytes is the maximum size of a value of the service.
	ValueBytes int
	// Retention is how long a job that has ended remains readable, counted from its submission.
	Retention time.Duration
	Now       func() time.Time
	// Refused is called for each entry that cannot be decoded, each time it is read. It may be nil.
	Refused func(key string, err error)
}

func decode(pair kv.Pair, into any) error {
	if err := json.Unmarshal(pair.Value, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, pair.Key, err)
	}
	return nil
}

// encode returns a value as JSON. Characters of markup stay as they are: values are not embedded in pages, and each would take six bytes.
func encode(value any) []byte {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
	return bytes.TrimSuffix(encoded.Bytes(), []byte{'\n'})
}
