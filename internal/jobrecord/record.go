// Package jobrecord keeps batch jobs in a key-value service that loses nothing it has acknowledged. It is the only
// place where a job is durable: the nodes that accept, run and read jobs keep copies in memory and no files.
//
// Invariants, each kept by the compares of one transaction:
//   - a job exists wholly or not at all: Accept writes its data and its open entry together, if neither exists;
//   - only the holder of the newest claim adds results: each Append compares the claim's revision, and claims go with
//     the lease of their holder;
//   - a position never changes: Append compares that the position is empty, and the holder writes one Append at a time
//     and repeats an unanswered one unchanged until it knows the outcome;
//   - an ended job gets no more results: End removes the claim in the same transaction.
package jobrecord

import (
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
	// ErrNoSuchJob means that no job with the id was ever accepted, or that its retention is over.
	ErrNoSuchJob = failure.Kind("job record: no such job")
	// ErrNoSuchItem means that the job has no such item, or that its body is not kept any more.
	ErrNoSuchItem = failure.Kind("job record: no such item")
	// ErrClaimLost means that the claim is not the newest any more: another node runs the job, or it is ended.
	ErrClaimLost = failure.Kind("job record: claim lost")
	// ErrNotRegistered means that a worker's entry changed with each try to write it.
	ErrNotRegistered = failure.Kind("job record: worker not registered")
	// ErrTooLarge means that an item or the job cannot be kept.
	ErrTooLarge = failure.Kind("job record: too large")
	// ErrOthersJob means that another tenant has a job of that id.
	ErrOthersJob = failure.Kind("job record: job of another tenant")
	// ErrDamaged means that a stored value cannot be read.
	ErrDamaged = failure.Kind("job record: damaged value")
)

// Keys of the key-value service. A job's data lies under one prefix, so that one list reads it whole.
const (
	// prefixLive holds what every worker follows: open jobs, claims and workers.
	prefixLive   = "job/live/"
	prefixOpen   = prefixLive + "open/"
	prefixClaim  = prefixLive + "claim/"
	prefixWorker = prefixLive + "worker/"
	prefixData   = "job/data/"
	prefixLeft   = "job/left/"
	prefixResult = "job/result/"
	prefixDone   = "job/done/"
	// prefixAdmission holds one key for each route, written with each job that is taken while its queue is nearly full.
	prefixAdmission = "job/admission/"

	suffixHeader = "/header"
	suffixBody   = "/part-"
)

func keyOpen(job ident.Job) string     { return prefixOpen + string(job) }
func keyWorker(node ident.Node) string { return prefixWorker + string(node) }
func keyHeader(job ident.Job) string   { return prefixData + string(job) + suffixHeader }
func keyClaim(job ident.Job) string    { return prefixClaim + string(job) }
func keyLeft(job ident.Job) string     { return prefixLeft + string(job) }
func keyAdmission(route string) string { return prefixAdmission + route }
func keyDone(job ident.Job) string     { return prefixDone + string(job) }
func resultsOf(job ident.Job) string   { return prefixResult + string(job) + "/" }
func keyPart(job ident.Job, part int) string {
	return fmt.Sprintf("%s%s%s%04d", prefixData, job, suffixBody, part)
}

// keyResult sorts by position.
func keyResult(job ident.Job, position int) string {
	return fmt.Sprintf("%s%06d", resultsOf(job), position)
}

// Header describes a job without the bodies of its items.
type Header struct {
	ID ident.Job `json:"id"`
	// Route is the name of the batch route, Host the host it was submitted to.
	Route string `json:"route"`
	Host  string `json:"host"`
	// Zone is where the job was accepted.
	Zone ident.Zone `json:"zone"`
	// Tenant is whose job it is; empty where it is nobody's, or was accepted by a build that did not know of tenants.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// SubmittedMs is when the job was accepted, in milliseconds of Unix time.
	SubmittedMs int64 `json:"submitted_ms"`
	// Tokens are those of all items.
	Tokens int `json:"tokens"`
	// Parts is the number of values the bodies lie in.
	Parts int          `json:"parts"`
	Items []ItemHeader `json:"items"`
}

// BelongsTo says whether a tenant may read and end the job. One without a tenant is open to all.
func (h *Header) BelongsTo(tenant ident.Tenant) bool { return belongsTo(h.Tenant, tenant) }

func belongsTo(owner, tenant ident.Tenant) bool { return owner == "" || owner == tenant }

// Submitted is when the job was accepted.
func (h *Header) Submitted() time.Time { return time.UnixMilli(h.SubmittedMs) }

// ItemHeader describes an item and where its body lies.
type ItemHeader struct {
	work.Item
	Part   int `json:"part"`
	Offset int `json:"offset"`
	Length int `json:"length"`
}

// StoredResult is the entry of a result. Beside it stands what readers need of the job's header, so that they need not read that.
type StoredResult struct {
	work.Result
	// Total is the number of the job's items; zero where an earlier build recorded the result.
	Total int `json:"total,omitempty"`
	// Tenant is the header's.
	Tenant ident.Tenant `json:"tenant,omitempty"`
}

// Open is the entry of a job that is not finished. It is small, because every worker reads it.
type Open struct {
	ID    ident.Job  `json:"-"`
	Route string     `json:"route"`
	Zone  ident.Zone `json:"zone"`
	// Tenant is the header's.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// Tokens are those of all items at acceptance.
	Tokens int `json:"tokens"`
	// Bytes is the size of the header and the bodies; zero in an entry of a build that did not tell it.
	Bytes int64 `json:"bytes,omitempty"`
	// Revision is that of the entry.
	Revision int64 `json:"-"`
}

// Size is how much memory the job takes that is about to be read: an unknown one is thought to be as large as a job may be.
func (o Open) Size() int64 {
	if o.Bytes <= 0 {
		return maximumParts * partBytes
	}
	return o.Bytes
}

// Job is a job with its bodies.
type Job struct {
	Header Header
	// Bodies are those of the items, in their order.
	Bodies [][]byte
}

// Claim is the right of one node to add results to a job.
type Claim struct {
	Job ident.Job
	// Revision tells this claim from others of the same job.
	Revision int64
}

// Records reads and writes jobs.
type Records struct {
	Store kv.Paged
	// ValueBytes is the largest value the service takes.
	ValueBytes int
	// Retention is how long an ended job stays readable, counted from its submission.
	Retention time.Duration
	Now       func() time.Time
	// Refused is told of an entry that cannot be read, once for each writing; nil is told nothing.
	Refused func(key string, err error)
}

func decode(pair kv.Pair, into any) error {
	if err := json.Unmarshal(pair.Value, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, pair.Key, err)
	}
	return nil
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
