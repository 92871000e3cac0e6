// Package policy compiles and evaluates operators' policies: short CEL programs that set the priority of batch work,
// decide which online requests may be queued, and select what a site does while it is partitioned. Programs are checked
// when they are applied (types, cost, and for the partition program that every branch is a valid action) and compiled once
// per text by Cache. Evaluation is pure; if a program fails at run time, the documented default is returned together with
// an error for the log. Order sorts waiting work by priority.
package policy

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ErrEvaluation means that a program failed at run time and the default was used.
const ErrEvaluation = failure.Kind("policy: evaluation failed, the default was used")

// NoDeadline is the time left that is assumed for a request without a deadline.
const NoDeadline = 24 * time.Hour

// Work describes waiting batch work. It is the input of the program "priority".
type Work struct {
	Tenant  ident.Tenant
	Service string
	// Age is the time since the job was submitted.
	Age time.Duration
	// UntilDeadline is the time left; it is negative once the deadline has passed.
	UntilDeadline time.Duration
	// WaitingItems is the number of items of the job that are not leased.
	WaitingItems int
	// TenantShare is the tenant's share of running batch work divided by its fair share by weight; 1 is exactly fair.
	TenantShare float64
}

// Request describes an online request that cannot start immediately. It is the input of the program "may_wait".
type Request struct {
	Tenant  ident.Tenant
	Service string
	// UntilDeadline is the time left to the caller's deadline, or NoDeadline.
	UntilDeadline time.Duration
	// EstimatedWait is the expected time in the queue.
	EstimatedWait time.Duration
	// QueueLength is the number of online requests of the service queued on this node.
	QueueLength int
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
}

// Site describes a zone that cannot reach some other zones. It is the input of the program "when_cut_off".
type Site struct {
	Zone    ident.Zone
	Region  ident.Region
	Service string
	// CutOff is the time since the zone lost contact with the others.
	CutOff time.Duration
	// ReachableZones is the number of reachable zones, including this one.
	ReachableZones int
	TotalZones     int
}

// CutOffAction is the action of a partitioned site for a service.
type CutOffAction string

// The actions of a partitioned site.
const (
	// Serve continues to serve online requests and batch work.
	Serve CutOffAction = "serve"
	// RefuseBatch continues to serve online requests but starts no batch work.
	RefuseBatch CutOffAction = "refuse_batch"
	// RefuseAll refuses new online requests and new batch work.
	RefuseAll CutOffAction = "refuse_all"
)

// The documented defaults, written as programs. They are used where a program is empty or fails.
const (
	// DefaultPriorityProgram puts the earliest deadline first; a tenant that already runs its fair share is treated as
	// if its deadline were an hour later.
	DefaultPriorityProgram = "-deadline_seconds - 3600.0 * tenant_share"
	// DefaultMayWaitProgram queues a request only if its estimated wait ends before its deadline.
	DefaultMayWaitProgram = "estimated_wait_seconds < deadline_seconds"
	// DefaultWhenCutOffProgram continues to serve online requests and batch work at a partitioned site.
	DefaultWhenCutOffProgram = `"serve"`
)

// fairSharePenaltySeconds is the deadline penalty of a tenant that runs exactly its fair share.
const fairSharePenaltySeconds = 3600

// DefaultPriority is DefaultPriorityProgram implemented in Go; it cannot fail.
func DefaultPriority(work Work) float64 {
	return -work.UntilDeadline.Seconds() - fairSharePenaltySeconds*work.TenantShare
}

// DefaultMayWait is DefaultMayWaitProgram implemented in Go.
func DefaultMayWait(request Request) bool { return request.EstimatedWait < request.UntilDeadline }

// DefaultCutOffAction is the result of DefaultWhenCutOffProgram.
const DefaultCutOffAction = Serve
