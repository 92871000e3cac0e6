// Package handoff keeps accepted batch jobs on the disks of workers while the store that is to hold them does not answer,
// and hands them over as soon as it does (hinted handoff). A job is acknowledged once enough workers have it on disk, so
// that losing as many disks as the deployment tolerates loses no job.
//
// Invariants:
//   - an entry is synced, file and folder, before it is acknowledged;
//   - an entry is removed only after the store was seen to hold the job, or once the job may be given up anyway;
//   - handing over is idempotent: the store takes a job once, however many workers bring it and however often.
package handoff

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Failures of the log.
const (
	// ErrFull means that the entry does not fit within the folder's bound. It was not kept.
	ErrFull = failure.Kind("handoff: no room on the disk")
	// ErrDisk means that the disk failed. The entry may have been kept.
	ErrDisk = failure.Kind("handoff: disk failed")
	// ErrDamaged means that a file is not a whole entry. It was never acknowledged.
	ErrDamaged = failure.Kind("handoff: damaged entry")
	// ErrNobodyAnswers means that none of the workers that were asked to keep a job said anything, for as long as one may take.
	ErrNobodyAnswers = failure.Kind("handoff: no worker answers")
)

// Entry is an accepted job on its way to the store.
type Entry struct {
	Job   ident.Job  `json:"job"`
	Route string     `json:"route"`
	Host  string     `json:"host"`
	Zone  ident.Zone `json:"zone"`
	// Tenant is whose job it is, if anybody's.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	// SubmittedMs is when the job was accepted, in milliseconds of Unix time.
	SubmittedMs int64 `json:"submitted_ms"`
	// Turn is the position among the workers that keep the job: later ones leave it to the earlier ones for a while.
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

// Submission is what the store is to take.
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

// Queue is where the job waits.
func (e *Entry) Queue() jobrecord.Queue { return jobrecord.Queue{Route: e.Route, Tenant: e.Tenant} }

// Bytes is the size of the bodies.
func (e *Entry) Bytes() int64 {
	bytes := int64(0)
	for index := range e.Items {
		bytes += int64(len(e.Items[index].Bytes))
	}
	return bytes
}

// Tokens are those of all items.
func (e *Entry) Tokens() int {
	tokens := 0
	for _, item := range e.Items {
		tokens += item.Tokens
	}
	return tokens
}
