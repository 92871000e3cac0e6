package jobworker

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Accounts reaches the workers that keep the accounts of waiting tokens.
type Accounts interface {
	// TellRoom tells the worker at an address what this one keeps and runs.
	TellRoom(ctx context.Context, address string, news *queueroom.News) error
}

const (
	// tellRoomEvery is the time between two tellings of what this worker keeps and runs.
	tellRoomEvery = 300 * time.Millisecond
	// tellRoomTimeout bounds one.
	tellRoomTimeout = 250 * time.Millisecond
	// learnsFor is how long a worker that begins to keep an account answers for nothing: room that was asked for at another keeper before is listed,
	// or told of by disks, by then.
	learnsFor = 2500 * time.Millisecond
	// toldWithin is how long a worker that was started again says nothing at all: every disk has told it what is there by then, also when one
	// telling is lost.
	toldWithin = 800 * time.Millisecond
	// tellLeftFrom is the part of a route's bound from which on workers tell how much of their jobs is left: below, jobs fit though their finished
	// items count.
	tellLeftFrom = 0.5
)

// account is what a worker has to do with the accounts of waiting tokens. The worker's mutex guards it.
type account struct {
	ledger queueroom.Ledger
	roster queueroom.Roster
	// revision is that of the open jobs that the ledger lists; zero while none were read.
	revision int64
	// since is when the worker became a keeper of each route that it keeps the account of; zero where there was nothing to know before.
	since map[string]time.Time
}

// Room notes that a node needs room for a job, and answers with what waits beside it; nil while this worker knows too little to say anything.
func (w *Worker) Room(question *queueroom.Question) *queueroom.Answer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	if w.StartsAgain && now.Sub(w.started) < toldWithin {
		return nil
	}
	w.learnOwn(now)
	since, keeps := w.account.since[question.Route]
	sure := keeps && w.account.revision > 0 && now.Sub(since) >= learnsFor
	return w.account.ledger.Place(question, sure, w.account.revision, now)
}

// knowsWaiting says whether this worker can count what waits for itself: it follows the open jobs, and was told of what was on its way as
// it was started. The caller holds the mutex.
func (w *Worker) knowsWaiting() bool {
	learned := !w.StartsAgain || w.Now().Sub(w.started) >= learnsFor
	return w.Accounts == nil || (learned && w.account.revision > 0)
}

// ReleaseRoom ends the need of an attempt for its room.
func (w *Worker) ReleaseRoom(release *queueroom.Release) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.account.ledger.Release(release)
}

// LearnRoom takes over what another worker keeps and runs.
func (w *Worker) LearnRoom(news *queueroom.News) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.account.ledger.Learn(news, w.Now())
}

// learnOwn takes over what this worker runs itself. The caller holds the mutex.
func (w *Worker) learnOwn(now time.Time) {
	news := &queueroom.News{}
	for id, job := range w.jobs {
		news.Left = append(news.Left, queueroom.Left{Job: id, Tokens: job.unfinished()})
	}
	w.account.ledger.Learn(news, now)
}

// keptJobs are the jobs on this worker's disk. It may wait for the disk, and is not called under the mutex.
func (w *Worker) keptJobs() []queueroom.Kept {
	if w.Handoff == nil {
		return nil
	}
	var kept []queueroom.Kept
	for _, entry := range w.Handoff.Entries() {
		kept = append(kept, keptJob(entry.Job, entry.Queue(), entry.Tokens))
	}
	return kept
}

func keptJob(job ident.Job, queue jobrecord.Queue, tokens int) queueroom.Kept {
	return queueroom.Kept{Route: queue.Route, Tenant: queue.Tenant, Held: queueroom.Held{Job: job, Tokens: tokens}}
}

// waitsFor returns the tokens that wait in a queue, as far as this worker alone knows. The caller holds the mutex.
func (w *Worker) waitsFor(queue jobrecord.Queue) int {
	now := w.Now()
	w.learnOwn(now)
	return w.account.ledger.Waits(queue.Route, queue.Tenant, now)
}

// followRoom takes over which jobs are open and which workers there are. The caller holds the mutex.
func (w *Worker) followRoom(now time.Time) {
	registered := make([]queueroom.Worker, 0, len(w.live.Workers))
	for _, worker := range w.live.Workers {
		registered = append(registered, queueroom.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	w.account.roster.Note(registered, now)
	for _, open := range w.live.Open {
		w.account.ledger.List(keptJob(open.ID, jobrecord.Queue{Route: open.Route, Tenant: open.Tenant}, open.Tokens), now)
	}
	w.account.revision = w.live.Revision
	w.noteKept(now)
}

// noteKept notes of which routes this worker keeps the account. The caller holds the mutex.
func (w *Worker) noteKept(now time.Time) {
	kept := map[string]time.Time{}
	for _, route := range w.boundRoutes() {
		keepers := w.account.roster.Keepers(route.Name, w.Tolerance, now)
		if !slices.ContainsFunc(keepers, func(keeper queueroom.Worker) bool { return keeper.Node == w.Node }) {
			continue
		}
		since, known := w.account.since[route.Name]
		if !known && (w.StartsAgain || now.Sub(w.started) >= learnsFor) {
			since = now
			event.AccountBegun.Log(w.Logger).Str("route", route.Name).Int("keepers", len(keepers)).Send()
		}
		kept[route.Name] = since
	}
	w.account.since = kept
}

// boundRoutes are the batch routes with a bound on what waits.
func (w *Worker) boundRoutes() []*work.Route {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return nil
	}
	var routes []*work.Route
	for index := range catalog.Routes {
		if route := &catalog.Routes[index]; route.Kind == work.Batch && route.MaximumQueuedTokens > 0 {
			routes = append(routes, route)
		}
	}
	return routes
}

// roomLoop tells the keepers of accounts what this worker keeps and runs. Of a keeper that can't be told the log has a line until it can.
func (w *Worker) roomLoop() error {
	silent := map[string]bool{}
	for w.pause(tellRoomEvery) {
		kept := w.keptJobs()
		w.LearnRoom(&queueroom.News{Kept: kept})
		for address, news := range w.roomNews(kept) {
			ctx, cancel := context.WithTimeout(w.ctx, tellRoomTimeout)
			err := w.Accounts.TellRoom(ctx, address, news)
			cancel()
			if err != nil && !silent[address] {
				event.AccountNotTold.Log(w.Logger).Str("address", address).Err(err).Send()
			}
			silent[address] = err != nil
		}
	}
	return nil
}

// roomNews is what there is to tell, by the address of the keeper.
func (w *Worker) roomNews(kept []queueroom.Kept) map[string]*queueroom.News {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	if len(kept) == 0 && len(w.jobs) == 0 {
		return nil
	}
	told := map[string]*queueroom.News{}
	for _, route := range w.boundRoutes() {
		news := w.newsOf(route, kept)
		if len(news.Kept) == 0 && len(news.Left) == 0 {
			continue
		}
		for _, keeper := range w.account.roster.Keepers(route.Name, w.Tolerance, now) {
			if keeper.Node == w.Node {
				continue
			}
			if told[keeper.Address] == nil {
				told[keeper.Address] = &queueroom.News{}
			}
			all := told[keeper.Address]
			all.Kept, all.Left = append(all.Kept, news.Kept...), append(all.Left, news.Left...)
		}
	}
	return told
}

// newsOf is what there is to tell of a route: the jobs on this disk, and what is left of those that run here while much waits. The caller
// holds the mutex.
func (w *Worker) newsOf(route *work.Route, kept []queueroom.Kept) queueroom.News {
	var news queueroom.News
	for _, job := range kept {
		if job.Route == route.Name {
			news.Kept = append(news.Kept, job)
		}
	}
	if float64(w.account.ledger.Waits(route.Name, "", w.Now())) < tellLeftFrom*float64(route.MaximumQueuedTokens) {
		return news
	}
	for id, job := range w.jobs {
		if left := job.unfinished(); job.header.Route == route.Name && left < job.header.Tokens {
			news.Left = append(news.Left, queueroom.Left{Job: id, Tokens: left})
		}
	}
	return news
}
