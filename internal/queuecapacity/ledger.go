package queuecapacity

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// reservationTTL is how long capacity stays reserved without further reports of the job: longer than accepting a job takes,
	// and longer than an unanswered write may take to be applied.
	reservationTTL = 10 * time.Second
	// diskReportTTL is how long a job counts as being on a disk after the last report: several reports may be lost.
	diskReportTTL = 5 * time.Second
	// recentlyListedPeriod is how long a job counts as recently listed: longer than the difference in age between the lists that
	// connected account holders follow, and longer than a worker may report a job on disk that the store already has.
	recentlyListedPeriod = 10 * time.Second
	// closedJobRetention is how long a job counts as accepted after it is no longer open: as long as callers may submit it again and
	// read it.
	closedJobRetention = 2 * time.Minute
)

// queue is a tenant's queue on a route.
type queue struct {
	route  string
	tenant ident.Tenant
}

// includes reports whether a job of the other queue counts in this one. A job without a tenant counts in each queue of its route,
// because its tenant is unknown.
func (q queue) includes(other queue) bool {
	return q.route == other.route && (q.tenant == "" || other.tenant == "" || q.tenant == other.tenant)
}

// entry is the capacity taken by one job.
type entry struct {
	ReservedJob
	queue queue
	// attempts are the attempts that need the capacity; reservedUntil is when their reservation expires.
	attempts      map[string]bool
	reservedUntil time.Time
	// onDisk is the time until which the job counts as being on a disk.
	onDisk time.Time
	// sequence is the order in which the entries were recorded.
	sequence int64
}

func (e *entry) expired(now time.Time) bool {
	return !now.Before(e.onDisk) && (len(e.attempts) == 0 || !now.Before(e.reservedUntil))
}

// listedJob is a job that the store lists as open, or listed as open recently.
type listedJob struct {
	queue queue
	// left is the number of unfinished tokens; zero once the job is no longer open.
	left int
	open bool
	// changed is when the job was listed, or when it stopped being open.
	changed time.Time
}

// Ledger is the account of one account holder. The zero value is empty. It is not safe for concurrent use.
//
// Invariant: a job in listed has no entry in entries.
type Ledger struct {
	entries  map[ident.Job]*entry
	sequence int64
	listed   map[ident.Job]*listedJob
	// freed is the rate at which tokens are finished, by queue.
	freed map[queue]*tokenRate
}

// Reserve reserves capacity for an attempt to submit a job. A job that is or was listed needs no reservation because it is
// counted there. sure and revision are those of the list that the account holder follows.
func (l *Ledger) Reserve(question *CapacityRequest, sure bool, revision int64, now time.Time) *Answer {
	l.removeExpired(now)
	if l.listed[question.Job] != nil {
		answer := l.answer(question, now)
		answer.Taken, answer.Sure, answer.Revision = true, sure, revision
		return answer
	}
	e := l.entry(question.ReservedJob, queue{question.Route, question.Tenant})
	e.attempts[question.Attempt] = true
	taken, asked := now.Before(e.onDisk), len(e.attempts) > 1
	e.reservedUntil = now.Add(reservationTTL)
	answer := l.answer(question, now)
	answer.Taken, answer.Asked, answer.Sure, answer.Revision = taken, asked, sure, revision
	return answer
}

// entry returns the entry of a job and creates it if there is none.
func (l *Ledger) entry(held ReservedJob, in queue) *entry {
	if e := l.entries[held.Job]; e != nil {
		return e
	}
	if l.entries == nil {
		l.entries = map[ident.Job]*entry{}
	}
	l.sequence++
	e := &entry{ReservedJob: held, queue: in, attempts: map[string]bool{}, sequence: l.sequence}
	l.entries[held.Job] = e
	return e
}

// Release releases the reservation of an attempt.
func (l *Ledger) Release(release *Release) {
	if e := l.entries[release.Job]; e != nil {
		delete(e.attempts, release.Attempt)
	}
}

// Apply applies a worker's report. It ignores reports of jobs on disk that are listed or were listed recently.
func (l *Ledger) Apply(news *Report, now time.Time) {
	for _, onDisk := range news.Kept {
		if l.listed[onDisk.Job] == nil {
			l.entry(onDisk.ReservedJob, queue{onDisk.Route, onDisk.Tenant}).onDisk = now.Add(diskReportTTL)
		}
	}
	for _, left := range news.Left {
		if job := l.listed[left.Job]; job != nil && job.open && left.Tokens < job.left {
			l.recordFinished(job, job.left-left.Tokens, now)
		}
	}
}

// List records that a job is listed as open. It is counted as a listed job from now on.
func (l *Ledger) List(job DiskJob, now time.Time) {
	if l.listed == nil {
		l.listed = map[ident.Job]*listedJob{}
	}
	if l.listed[job.Job] != nil {
		return
	}
	l.listed[job.Job] = &listedJob{queue: queue{job.Route, job.Tenant}, left: job.Tokens, open: true, changed: now}
	delete(l.entries, job.Job)
}

// Unlist records that a job is no longer open.
func (l *Ledger) Unlist(job ident.Job, now time.Time) {
	if known := l.listed[job]; known != nil && known.open {
		l.recordFinished(known, known.left, now)
		known.open, known.changed = false, now
	}
}

// recordFinished records that some tokens of a job were finished.
func (l *Ledger) recordFinished(job *listedJob, tokens int, now time.Time) {
	job.left -= tokens
	if l.freed == nil {
		l.freed = map[queue]*tokenRate{}
	}
	if l.freed[job.queue] == nil {
		l.freed[job.queue] = &tokenRate{}
	}
	l.freed[job.queue].add(tokens, now)
}

// answer returns what is queued besides the job of a question.
func (l *Ledger) answer(question *CapacityRequest, now time.Time) *Answer {
	asked := queue{question.Route, question.Tenant}
	answer := &Answer{Unlisted: l.unlisted(question, asked)}
	for id, job := range l.listed {
		if now.Sub(job.changed) < recentlyListedPeriod {
			answer.RecentlyListed = append(answer.RecentlyListed, id)
		}
		if job.open && id != question.Job && asked.includes(job.queue) {
			answer.Open += job.left
		}
	}
	for other, freed := range l.freed {
		if asked.includes(other) {
			answer.Freed += freed.perSecond(now)
		}
	}
	return answer
}

// unlisted returns the jobs that take capacity in a queue and were recorded before the job of the question, in that order.
func (l *Ledger) unlisted(question *CapacityRequest, asked queue) []ReservedJob {
	limit := l.sequence + 1
	if own := l.entries[question.Job]; own != nil {
		limit = own.sequence
	}
	var entries []*entry
	for _, e := range l.entries {
		if e.sequence < limit && e.Job != question.Job && asked.includes(e.queue) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(first, second *entry) int { return cmp.Compare(first.sequence, second.sequence) })
	unlisted := make([]ReservedJob, 0, len(entries))
	for _, e := range entries {
		unlisted = append(unlisted, e.ReservedJob)
	}
	return unlisted
}

// QueuedTokens returns the tokens queued according to this account holder alone.
func (l *Ledger) QueuedTokens(route string, tenant ident.Tenant, now time.Time) int {
	l.removeExpired(now)
	return Combine([]*Answer{l.answer(&CapacityRequest{Route: route, Tenant: tenant}, now)}).Waiting
}

// removeExpired removes expired entries.
func (l *Ledger) removeExpired(now time.Time) {
	for job, e := range l.entries {
		if e.expired(now) {
			delete(l.entries, job)
		}
	}
	for id, job := range l.listed {
		if !job.open && now.Sub(job.changed) >= closedJobRetention {
			delete(l.listed, id)
		}
	}
}
