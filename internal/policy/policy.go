// Package policy compiles and evaluates operators' policies: short CEL programs that say which batch work goes first,
// which online requests may wait, and what a site does while it is cut off. Programs are checked when they are applied
// (types, cost, every case answered) and compiled once. Evaluation is pure; a program that fails at run time yields the
// documented default together with an error for the log.
package policy

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ErrEvaluation means that a program failed at run time and its default stood in for it.
const ErrEvaluation = failure.Kind("policy: evaluation failed, the default was used")

// NoDeadline stands for the time left to a request that has no deadline.
const NoDeadline = 24 * time.Hour

// Work describes batch work that waits: what the program "priority" sees of it.
type Work struct {
	Tenant  ident.Tenant
	Service string
	// Age is the time since the job was submitted.
	Age time.Duration
	// UntilDeadline is the time left; it is negative once the deadline has passed.
	UntilDeadline time.Duration
	// WaitingItems is the number of items of the job that nobody has leased.
	WaitingItems int
	// TenantShare is the tenant's part of running batch work divided by its fair part by weight: 1 is exactly fair.
	TenantShare float64
}

// Request describes an online request that cannot start at once: what the program "may_wait" sees of it.
type Request struct {
	Tenant  ident.Tenant
	Service string
	// UntilDeadline is the time left to the caller's deadline, or NoDeadline.
	UntilDeadline time.Duration
	// EstimatedWait is the expected time in the queue.
	EstimatedWait time.Duration
	// QueueLength is the number of online requests of the service that wait on this node.
	QueueLength int
	// Repeatable says that the request may run more than once.
	Repeatable bool
}

// Site describes a zone that cannot reach some others: what the program "when_cut_off" sees of it.
type Site struct {
	Zone    ident.Zone
	Region  ident.Region
	Service string
	// CutOff is the time since the zone lost the others.
	CutOff time.Duration
	// ReachableZones counts the zones that answer, this one included.
	ReachableZones int
	TotalZones     int
}

// CutOffAction is what a site that is cut off does with a service.
type CutOffAction string

// The actions of a site that is cut off.
const (
	// Serve goes on with online requests and batch work.
	Serve CutOffAction = "serve"
	// RefuseBatch goes on with online requests and starts no batch work.
	RefuseBatch CutOffAction = "refuse_batch"
	// RefuseAll refuses new work of both kinds.
	RefuseAll CutOffAction = "refuse_all"
)

// The documented defaults, in the language of the programs. They stand in for an empty program and for one that fails.
const (
	// DefaultPriorityProgram puts the earliest deadline first; a tenant that already runs its fair share is treated as
	// if its deadline were an hour later.
	DefaultPriorityProgram = "-deadline_seconds - 3600.0 * tenant_share"
	// DefaultMayWaitProgram queues a request only if its answer can still start in time.
	DefaultMayWaitProgram = "estimated_wait_seconds < deadline_seconds"
	// DefaultWhenCutOffProgram keeps callers of a cut-off site served.
	DefaultWhenCutOffProgram = `"serve"`
)

const secondsOfFairShare = 3600

// DefaultPriority is DefaultPriorityProgram in Go: it cannot fail.
func DefaultPriority(work Work) float64 {
	return -work.UntilDeadline.Seconds() - secondsOfFairShare*work.TenantShare
}

// DefaultMayWait is DefaultMayWaitProgram in Go.
func DefaultMayWait(request Request) bool { return request.EstimatedWait < request.UntilDeadline }

// DefaultCutOffAction is DefaultWhenCutOffProgram in Go.
const DefaultCutOffAction = Serve
