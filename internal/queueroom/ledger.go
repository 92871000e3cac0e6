package queueroom

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// reservedFor is how long room is held for a job of which nothing more is heard: longer than its taking lasts, and than a write that
	// was not answered may take to be done.
	reservedFor = 10 * time.Second
	// keptFor is how long a job counts as being on a disk after it was last told of: several tellings may be lost.
	keptFor = 5 * time.Second
	// latelyFor is how long a job counts as listed a moment ago: longer than keepers that are not cut off follow the list at different
	// ages, and than a disk may tell of a job that the store has.
	latelyFor = 10 * time.Second
	// knownFor is how long a job that is open no more counts as taken: as long as callers may hand it in again and read it.
	knownFor = 2 * time.Minute
)

// queue is a tenant's part of a route.
type queue struct {
	route  string
	tenant ident.Tenant
}

// has says whether a job of another queue's name waits in this one. One without a tenant is in each queue of its route: whose it is is
// not known.
func (q queue) has(other queue) bool {
	return q.route == other.route && (q.tenant == "" || other.tenant == "" || q.tenant == other.tenant)
}

// hold is the room of one job.
type hold struct {
	Held
	queue queue
	// attempts are the tries that need the room, reserved until when they do.
	attempts map[string]bool
	reserved time.Time
	// kept is until when the job counts as being on a disk.
	kept time.Time
	// placed orders the holds as they were noted.
	placed int64
}

func (h *hold) over(now time.Time) bool {
	return !now.Before(h.kept) && (len(h.attempts) == 0 || !now.Before(h.reserved))
}

// listedJob is a job that the store lists as open, or did not long ago.
type listedJob struct {
	queue queue
	// left are the tokens that are not finished; zero once the job is open no more.
	left int
	open bool
	// changed is when the job was listed, or ceased to be open.
	changed time.Time
}

// Ledger is a keeper's account. The zero Ledger is empty. It is not safe for concurrent use.
//
// Invariant: a job that is listed, or was not long ago, has no hold.
type Ledger struct {
	holds  map[ident.Job]*hold
	placed int64
	listed map[ident.Job]*listedJob
	// freed is how fast tokens are finished, by queue.
	freed map[queue]*flow
}

// Place notes that an attempt needs room for a job. One that is or was listed needs none: it counts there. sure and revision are those of
// the list that the keeper follows.
func (l *Ledger) Place(question *Question, sure bool, revision int64, now time.Time) *Answer {
	l.forget(now)
	if l.listed[question.Job] != nil {
		answer := l.answer(question, now)
		answer.Taken, answer.Sure, answer.Revision = true, sure, revision
		return answer
	}
	of := l.hold(question.Held, queue{question.Route, question.Tenant})
	of.attempts[question.Attempt] = true
	taken, asked := now.Before(of.kept), len(of.attempts) > 1
	of.reserved = now.Add(reservedFor)
	answer := l.answer(question, now)
	answer.Taken, answer.Asked, answer.Sure, answer.Revision = taken, asked, sure, revision
	return answer
}

// hold returns the room of a job, and notes it where it is new.
func (l *Ledger) hold(held Held, in queue) *hold {
	if of := l.holds[held.Job]; of != nil {
		return of
	}
	if l.holds == nil {
		l.holds = map[ident.Job]*hold{}
	}
	l.placed++
	of := &hold{Held: held, queue: in, attempts: map[string]bool{}, placed: l.placed}
	l.holds[held.Job] = of
	return of
}

// Release ends the need of an attempt for its room.
func (l *Ledger) Release(release *Release) {
	if of := l.holds[release.Job]; of != nil {
		delete(of.attempts, release.Attempt)
	}
}

// Learn takes over what a worker told. Of jobs that are listed, or were not long ago, it says nothing new that they are on disks.
func (l *Ledger) Learn(news *News, now time.Time) {
	for _, kept := range news.Kept {
		if l.listed[kept.Job] == nil {
			l.hold(kept.Held, queue{kept.Route, kept.Tenant}).kept = now.Add(keptFor)
		}
	}
	for _, left := range news.Left {
		if job := l.listed[left.Job]; job != nil && job.open && left.Tokens < job.left {
			l.free(job, job.left-left.Tokens, now)
		}
	}
}

// List notes that a job is listed as open: it is counted there from now on.
func (l *Ledger) List(job Kept, now time.Time) {
	if l.listed == nil {
		l.listed = map[ident.Job]*listedJob{}
	}
	if l.listed[job.Job] != nil {
		return
	}
	l.listed[job.Job] = &listedJob{queue: queue{job.Route, job.Tenant}, left: job.Tokens, open: true, changed: now}
	delete(l.holds, job.Job)
}

// Unlist notes that a job is open no more.
func (l *Ledger) Unlist(job ident.Job, now time.Time) {
	if known := l.listed[job]; known != nil && known.open {
		l.free(known, known.left, now)
		known.open, known.changed = false, now
	}
}

// free notes that some tokens of a job were finished.
func (l *Ledger) free(job *listedJob, tokens int, now time.Time) {
	job.left -= tokens
	if l.freed == nil {
		l.freed = map[queue]*flow{}
	}
	if l.freed[job.queue] == nil {
		l.freed[job.queue] = &flow{}
	}
	l.freed[job.queue].add(tokens, now)
}

// answer says what waits beside the job of a question.
func (l *Ledger) answer(question *Question, now time.Time) *Answer {
	asked := queue{question.Route, question.Tenant}
	answer := &Answer{Unlisted: l.unlisted(question, asked)}
	for id, job := range l.listed {
		if now.Sub(job.changed) < latelyFor {
			answer.Lately = append(answer.Lately, id)
		}
		if job.open && id != question.Job && asked.has(job.queue) {
			answer.Open += job.left
		}
	}
	for of, freed := range l.freed {
		if asked.has(of) {
			answer.Freed += freed.perSecond(now)
		}
	}
	return answer
}

// unlisted returns what holds room in a queue and was noted before the job that is asked for, in that order.
func (l *Ledger) unlisted(question *Question, asked queue) []Held {
	before := l.placed + 1
	if own := l.holds[question.Job]; own != nil {
		before = own.placed
	}
	var holds []*hold
	for _, of := range l.holds {
		if of.placed < before && of.Job != question.Job && asked.has(of.queue) {
			holds = append(holds, of)
		}
	}
	slices.SortFunc(holds, func(first, second *hold) int { return cmp.Compare(first.placed, second.placed) })
	unlisted := make([]Held, 0, len(holds))
	for _, of := range holds {
		unlisted = append(unlisted, of.Held)
	}
	return unlisted
}

// Waits returns the tokens that wait in a queue as far as this keeper alone knows.
func (l *Ledger) Waits(route string, tenant ident.Tenant, now time.Time) int {
	l.forget(now)
	return Sum([]*Answer{l.answer(&Question{Route: route, Tenant: tenant}, now)}).Waiting
}

// forget drops what is over.
func (l *Ledger) forget(now time.Time) {
	for job, of := range l.holds {
		if of.over(now) {
			delete(l.holds, job)
		}
	}
	for id, job := range l.listed {
		if !job.open && now.Sub(job.changed) >= knownFor {
			delete(l.listed, id)
		}
	}
}
