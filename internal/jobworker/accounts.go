package jobworker

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Accounts calls the workers that hold the accounts of waiting tokens.
type Accounts interface {
	// ReportQueueUse sends the worker at an address the jobs that this one stores and runs.
	ReportQueueUse(ctx context.Context, address string, report *queuecapacity.Report) error
}

const (
	// accountReportEvery is the time between two reports of what this worker stores and runs.
	accountReportEvery = 300 * time.Millisecond
	// accountReportTimeout bounds one report.
	accountReportTimeout = 250 * time.Millisecond
	// accountSettlePeriod is how long a worker that has become an account holder cannot vouch for its account: by then,
	// capacity that was reserved at another holder before is listed in the store, or reported by the workers with the jobs
	// on disk.
	accountSettlePeriod = 2500 * time.Millisecond
	// accountSilentPeriod is how long a restarted worker answers nothing at all: by then every worker has reported the
	// jobs on its disk, even if one report is lost.
	accountSilentPeriod = 800 * time.Millisecond
	// leftReportFraction is the fraction of a route's bound from which on workers report the remaining tokens of their
	// jobs. Below it, jobs fit even if finished items are counted.
	leftReportFraction = 0.5
)

// account is this worker's part in the accounts of waiting tokens. The worker's mutex guards it.
type account struct {
	ledger queuecapacity.Ledger
	roster queuecapacity.Roster
	// revision is that of the open jobs listed in the ledger; zero until they are read.
	revision int64
	// holderSince is when the worker became an account holder, by route; zero if there was nothing to find out before.
	holderSince map[string]time.Time
}

// ReserveQueueCapacity reserves capacity in the queue for a job of another node, and returns the tokens that wait beside it, or nil while
// this worker knows too little to answer.
func (w *Worker) ReserveQueueCapacity(question *queuecapacity.CapacityRequest) *queuecapacity.Answer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	if w.Restarted && now.Sub(w.started) < accountSilentPeriod {
		return nil
	}
	w.recordOwnJobs(now)
	holderSince, isHolder := w.account.holderSince[question.Route]
	sure := isHolder && w.account.revision > 0 && now.Sub(holderSince) >= accountSettlePeriod
	return w.account.ledger.Reserve(question, sure, w.account.revision, now)
}

// canCountWaiting reports whether this worker can count the waiting tokens by itself: it follows the open jobs, and has
// received the reports of what was in progress when it was restarted. The caller must hold the mutex.
func (w *Worker) canCountWaiting() bool {
	settled := !w.Restarted || w.Now().Sub(w.started) >= accountSettlePeriod
	return w.Accounts == nil || (settled && w.account.revision > 0)
}

// ReleaseQueueCapacity releases the capacity reserved by an attempt.
func (w *Worker) ReleaseQueueCapacity(release *queuecapacity.Release) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.account.ledger.Release(release)
}

// RecordAccountReport stores a report of what another worker stores and runs.
func (w *Worker) RecordAccountReport(update *queuecapacity.Report) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.account.ledger.Apply(update, w.Now())
}

// recordOwnJobs stores what this worker runs itself. The caller must hold the mutex.
func (w *Worker) recordOwnJobs(now time.Time) {
	update := &queuecapacity.Report{}
	for id, job := range w.jobs {
		update.Left = append(update.Left, queuecapacity.UnfinishedJob{Job: id, Tokens: job.unfinishedTokens()})
	}
	w.account.ledger.Apply(update, now)
}

// handoffJobs returns the jobs on this worker's disk. It may wait for the disk and must not be called under the mutex.
func (w *Worker) handoffJobs() []queuecapacity.DiskJob {
	if w.Handoff == nil {
		return nil
	}
	var stored []queuecapacity.DiskJob
	for _, entry := range w.Handoff.Entries() {
		stored = append(stored, handoffJob(entry.Job, entry.Queue(), entry.Tokens))
	}
	return stored
}

func handoffJob(job ident.Job, queue jobrecord.Queue, tokens int) queuecapacity.DiskJob {
	return queuecapacity.DiskJob{Route: queue.Route, Tenant: queue.Tenant, ReservedJob: queuecapacity.ReservedJob{Job: job, Tokens: tokens}}
}

// queuedTokens returns the tokens that wait in a queue, in the view of this worker alone. The caller must hold the mutex.
func (w *Worker) queuedTokens(queue jobrecord.Queue) int {
	now := w.Now()
	w.recordOwnJobs(now)
	return w.account.ledger.QueuedTokens(queue.Route, queue.Tenant, now)
}

// updateAccount stores the open jobs and the registered workers. The caller must hold the mutex.
func (w *Worker) updateAccount(now time.Time) {
	registered := make([]queuecapacity.Worker, 0, len(w.live.Workers))
	for _, worker := range w.live.Workers {
		registered = append(registered, queuecapacity.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	w.account.roster.Update(registered, now)
	for _, open := range w.live.Open {
		w.account.ledger.List(handoffJob(open.ID, jobrecord.Queue{Route: open.Route, Tenant: open.Tenant}, open.Tokens), now)
	}
	w.account.revision = w.live.Revision
	w.updateHeldRoutes(now)
}

// updateHeldRoutes updates the routes whose account this worker holds. The caller must hold the mutex.
func (w *Worker) updateHeldRoutes(now time.Time) {
	sinceByRoute := map[string]time.Time{}
	for _, route := range w.boundedRoutes() {
		holders := w.account.roster.AccountHolders(route.Name, w.Tolerance, now)
		if !slices.ContainsFunc(holders, func(holder queuecapacity.Worker) bool { return holder.Node == w.Node }) {
			continue
		}
		holderSince, known := w.account.holderSince[route.Name]
		if !known && (w.Restarted || now.Sub(w.started) >= accountSettlePeriod) {
			holderSince = now
			event.AccountBegun.Log(w.Logger).Str("route", route.Name).Int("keepers", len(holders)).Send()
		}
		sinceByRoute[route.Name] = holderSince
	}
	w.account.holderSince = sinceByRoute
}

// boundedRoutes returns the batch routes with a bound on waiting tokens.
func (w *Worker) boundedRoutes() []*work.Route {
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

// accountLoop sends the account holders what this worker stores and runs. A holder that becomes unreachable is logged
// once, until it can be reached again.
func (w *Worker) accountLoop() error {
	unresponsive := map[string]bool{}
	for w.pause(accountReportEvery) {
		stored := w.handoffJobs()
		w.RecordAccountReport(&queuecapacity.Report{Kept: stored})
		for address, update := range w.accountUpdates(stored) {
			ctx, cancel := context.WithTimeout(w.ctx, accountReportTimeout)
			err := w.Accounts.ReportQueueUse(ctx, address, update)
			cancel()
			if err != nil && !unresponsive[address] {
				event.AccountUpdateFailed.Log(w.Logger).Str("address", address).Err(err).Send()
			}
			unresponsive[address] = err != nil
		}
	}
	return nil
}

// accountUpdates returns the reports to send, by the address of the account holder.
func (w *Worker) accountUpdates(stored []queuecapacity.DiskJob) map[string]*queuecapacity.Report {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	if len(stored) == 0 && len(w.jobs) == 0 {
		return nil
	}
	updates := map[string]*queuecapacity.Report{}
	for _, route := range w.boundedRoutes() {
		update := w.accountUpdate(route, stored)
		if len(update.Kept) == 0 && len(update.Left) == 0 {
			continue
		}
		for _, holder := range w.account.roster.AccountHolders(route.Name, w.Tolerance, now) {
			if holder.Node == w.Node {
				continue
			}
			if updates[holder.Address] == nil {
				updates[holder.Address] = &queuecapacity.Report{}
			}
			all := updates[holder.Address]
			all.Kept, all.Left = append(all.Kept, update.Kept...), append(all.Left, update.Left...)
		}
	}
	return updates
}

// accountUpdate returns the report for a route: the jobs on this worker's disk, and, if much is waiting, the remaining
// tokens of those that run here. The caller must hold the mutex.
func (w *Worker) accountUpdate(route *work.Route, stored []queuecapacity.DiskJob) queuecapacity.Report {
	var update queuecapacity.Report
	for _, job := range stored {
		if job.Route == route.Name {
			update.Kept = append(update.Kept, job)
		}
	}
	if float64(w.account.ledger.QueuedTokens(route.Name, "", w.Now())) < leftReportFraction*float64(route.MaximumQueuedTokens) {
		return update
	}
	for id, job := range w.jobs {
		if left := job.unfinishedTokens(); job.header.Route == route.Name && left < job.header.Tokens {
			update.Left = append(update.Left, queuecapacity.UnfinishedJob{Job: id, Tokens: left})
		}
	}
	return update
}
