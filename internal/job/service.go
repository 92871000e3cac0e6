// Package job defines batch jobs, files and their items as the caller API and the batch workers see them. The job
// store (package jobstore) implements the interfaces here over replicated shards.
package job

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Status is the state of a job, in the words of the OpenAI batch API.
type Status string

// The states of a job.
const (
	Validating Status = "validating"
	InProgress Status = "in_progress"
	Finalizing Status = "finalizing"
	Completed  Status = "completed"
	Failed     Status = "failed"
	Expired    Status = "expired"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
)

// Counts reports progress; no count ever goes back.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Spec is a submission.
type Spec struct {
	Tenant ident.Tenant
	// IdempotencyKey names the submission across resends. Empty means the content digest of the input file together
	// with the endpoint names it.
	IdempotencyKey string
	InputFile      ident.File
	Endpoint       inference.Endpoint
	// Window is the time from submission to deadline.
	Window   time.Duration
	Metadata map[string]string
}

// Job is a batch job as its tenant sees it.
type Job struct {
	ID                                                                 ident.Job
	Spec                                                               Spec
	Status                                                             Status
	Counts                                                             Counts
	OutputFile, ErrorFile                                              ident.File
	Created, Deadline, Started, Finalized, Ended, CancelledAt, Expires time.Time
}

// File describes an uploaded or generated file.
type File struct {
	ID      ident.File
	Tenant  ident.Tenant
	Name    string
	Purpose string
	Bytes   int64
	Lines   int
	Digest  string
	Created time.Time
	Expires time.Time
}

// FileSpec describes an upload.
type FileSpec struct {
	Tenant  ident.Tenant
	Name    string
	Purpose string
}

// Service is what the caller API needs of the job store. Errors are *failure.Error.
type Service interface {
	// CreateFile streams an upload into the store and returns once it is durable.
	CreateFile(ctx context.Context, spec FileSpec, content io.Reader) (File, error)
	File(ctx context.Context, tenant ident.Tenant, id ident.File) (File, error)
	Files(ctx context.Context, tenant ident.Tenant, after ident.File, limit int) ([]File, bool, error)
	DeleteFile(ctx context.Context, tenant ident.Tenant, id ident.File) error
	// Content streams a file with bounded memory.
	Content(ctx context.Context, tenant ident.Tenant, id ident.File) (io.ReadCloser, error)
	// Submit accepts a job durably. A resend returns the first job and true.
	Submit(ctx context.Context, spec Spec) (Job, bool, error)
	Job(ctx context.Context, tenant ident.Tenant, id ident.Job) (Job, error)
	Jobs(ctx context.Context, tenant ident.Tenant, after ident.Job, limit int) ([]Job, bool, error)
	// Cancel commits the cancellation; no item starts later than one lease period after it returns.
	Cancel(ctx context.Context, tenant ident.Tenant, id ident.Job) (Job, error)
}

// Item is one line of a job.
type Item struct {
	Job   ident.Job
	Index uint32
	// CustomID is the caller's own name of the line.
	CustomID   string
	Tenant     ident.Tenant
	Endpoint   inference.Endpoint
	Body       json.RawMessage
	Repeatable bool
	Deadline   time.Time
}

// Result is the final answer to an item.
type Result struct {
	Index uint32
	// Status is the HTTP status of the answer.
	Status int
	// Body is the JSON answer or error object.
	Body json.RawMessage
	// Failed says that the item ended with an error.
	Failed bool
}

// LeaseRequest asks for items to run.
type LeaseRequest struct {
	Worker ident.Node
	// Services lists the services ("model" fields) the worker can serve.
	Services []string
	// Max bounds the number of items.
	Max int
}

// Lease is a set of items one worker may run until it expires. Items of a lease belong to one job.
type Lease struct {
	ID    string
	Shard ident.Shard
	Job   ident.Job
	Items []Item
	// TTL runs from when the worker sent the request, by the worker's own monotonic clock: a worker that cannot renew
	// in time must start nothing more and abort what runs.
	TTL time.Duration
}

// Priority describes waiting work so that workers can order jobs between shards by policy.
type Priority struct {
	Shard    ident.Shard
	Job      ident.Job
	Tenant   ident.Tenant
	Service  string
	Waiting  int
	Deadline time.Time
	Created  time.Time
}

// Work is what batch workers need of the job store.
type Work interface {
	// Waiting lists the jobs with items to lease, most urgent first, at most limit from each shard.
	Waiting(ctx context.Context, limit int) ([]Priority, error)
	// Lease leases items of one waiting job; an empty Items means none were left.
	Lease(ctx context.Context, shard ident.Shard, job ident.Job, request LeaseRequest) (Lease, error)
	// Renew extends leases of the shard and returns those that are no longer held (expired or cancelled).
	Renew(ctx context.Context, shard ident.Shard, worker ident.Node, leases []string) (lost []string, err error)
	// Complete commits results; the first committed result of an item wins and later ones are ignored.
	Complete(ctx context.Context, lease Lease, results []Result) error
	// Release gives items back that were definitely not run.
	Release(ctx context.Context, lease Lease, indexes []uint32) error
}
