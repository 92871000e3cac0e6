// Package handoff stores accepted batch jobs on the disks of workers while the job store does not answer, and delivers
// them as soon as it does (hinted handoff). A job is acknowledged once enough workers have it on disk, so that losing as
// many disks as the deployment tolerates loses no job.
//
// Invariants:
//   - an entry is synced, file and folder, before it is acknowledged;
//   - an entry is removed only once the store is seen to have the job, or once the job may be given up anyway;
//   - delivery is idempotent: the store accepts a job once, however many workers deliver it and however often.
package handoff

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Errors of the log.
const (
	// ErrFull means that the entry does not fit within the folder's size limit. It was not stored.
	ErrFull = failure.Kind("handoff: size limit of the folder reached")
	// ErrDisk means that the disk failed. The entry may have been stored.
	ErrDisk = failure.Kind("handoff: disk failed")
	// ErrDamaged means that a file is not a complete entry. It was never acknowledged.
	ErrDamaged = failure.Kind("handoff: damaged entry")
	// ErrNoAnswer means that none of the workers that were asked to store a job answered within the time limit.
	ErrNoAnswer = failure.Kind("handoff: no worker answers")
)

// Entry is an accepted job that has yet to be delivered to the store.
type Entry struct {
	Job   ident.Job  `json:"job"`
	Route string     `json:"route"`
	Host  string     `json:"host"`
	Zone  ident.Zone `json:"zone"`
	// Tenant is the tenant of the job, empty if it has none.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// SubmittedMs is when the job was accepted, in milliseconds of Unix time.
	SubmittedMs int64 `json:"submitted_ms"`
	// Turn is the position among the workers that store the job: later ones leave the delivery to the earlier ones for
	// some rounds.
	Turn  int    `json:"turn"`
	Items []Item `json:"items"`
}

// Item is an item of a job with its body.
type Item struct {
	work.Item
	Bytes []byte `json:"bytes"`
}

// NewEntry returns the entry of a submission.
func NewEntry(submission *jobrecord.Submission, accepted time.Time, turn int) *Entry {
	entry := &Entry{
		Job: submission.ID, Route: submission.Route, Host: submission.Host, Zone: submission.Zone, Tenant: submission.Tenant,
		SubmittedMs: accepted.UnixMilli(), Turn: turn, Items: make([]Item, 0, len(submission.Items)),
	}
	for _, item := range submission.Items {
		kept := Item{Item: item, Bytes: item.Body}
		kept.Body = nil
		entry.Items = append(entry.Items, kept)
	}
	return entry
}

// Submission returns the submission that is written to the store.
func (e *Entry) Submission() *jobrecord.Submission {
	submission := &jobrecord.Submission{
		ID: e.Job, Route: e.Route, Host: e.Host, Zone: e.Zone, Tenant: e.Tenant, Accepted: time.UnixMilli(e.SubmittedMs),
		Items: make([]work.Item, 0, len(e.Items)),
	}
	for _, item := range e.Items {
		item.Item.Body = item.Bytes
		submission.Items = append(submission.Items, item.Item)
	}
	return submission
}

// Queue returns the queue in which the job waits.
func (e *Entry) Queue() jobrecord.Queue { return jobrecord.Queue{Route: e.Route, Tenant: e.Tenant} }

// Bytes returns the total size of the bodies.
func (e *Entry) Bytes() int64 {
	bytes := int64(0)
	for index := range e.Items {
		bytes += int64(len(e.Items[index].Bytes))
	}
	return bytes
}

// Tokens returns the total tokens of all items.
func (e *Entry) Tokens() int {
	tokens := 0
	for _, item := range e.Items {
		tokens += item.Tokens
	}
	return tokens
}
