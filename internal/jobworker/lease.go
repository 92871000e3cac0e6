package jobworker

import (
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// keepLease holds a lease of the node. When it lapsed, the claims went with it and are taken anew.
func (w *Worker) keepLease() error {
	for {
		pause := w.Options.LeaseTTL / 3
		err := w.renewLease()
		w.noteOutage(err != nil)
		if err != nil {
			w.logStore("renewing the lease", err)
			pause = w.Options.RetryAfter
		}
		if !w.pause(pause) {
			return nil
		}
	}
}

func (w *Worker) noteOutage(failed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.outage.note(failed, w.Options.OutageAfter, w.Now())
}

func (w *Worker) renewLease() error {
	w.mutex.Lock()
	lease, draining := w.lease, w.draining
	w.mutex.Unlock()
	if lease == 0 && draining {
		return nil
	}
	ctx, cancel := w.call()
	defer cancel()
	sent := w.Now()
	if lease != 0 {
		ttl, err := w.Store.KeepAlive(ctx, lease)
		if err == nil {
			w.holdLease(lease, sent.Add(ttl))
			return w.registerAgain(ctx, lease)
		}
		if !errors.Is(err, kv.ErrLeaseNotFound) {
			return err
		}
		event.LeaseLapsed.Log(w.Logger).Int64("lease", int64(lease)).Send()
	}
	granted, err := w.Store.Grant(ctx, w.Options.LeaseTTL)
	if err == nil {
		err = w.register(ctx, granted)
	}
	if err != nil {
		w.holdLease(0, time.Time{})
		return err
	}
	w.holdLease(granted, sent.Add(w.Options.LeaseTTL))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held := w.heldJobs()
	w.tomb.Go(func() error { w.reclaimAll(held); return nil })
	return nil
}

// register writes this node's entry among the workers.
func (w *Worker) register(ctx context.Context, lease kv.LeaseID) error {
	revision, err := w.Records.Register(ctx, w.self(), lease)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.registered, w.unlisted = revision, false
	return nil
}

// registerAgain writes the entry anew where it is gone though the lease lives. A worker without one owns no runner in the eyes
// of all, its own too, and takes itself for registered as long as it renews its lease.
func (w *Worker) registerAgain(ctx context.Context, lease kv.LeaseID) error {
	w.mutex.Lock()
	gone := w.unlisted && !w.draining
	w.mutex.Unlock()
	if !gone {
		return nil
	}
	event.RegistrationGone.Log(w.Logger).Int64("lease", int64(lease)).Send()
	return w.register(ctx, lease)
}

// self is this node's entry among the workers.
func (w *Worker) self() jobrecord.Worker {
	return jobrecord.Worker{Node: w.Node, Zone: w.Zone, Address: w.Address}
}

func (w *Worker) holdLease(lease kv.LeaseID, until time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lease, w.leaseUntil = lease, until
}

func (w *Worker) reclaimAll(held []*jobRun) {
	for _, job := range held {
		w.reclaim(job)
	}
}

func (w *Worker) heldJobs() []*jobRun {
	held := make([]*jobRun, 0, len(w.jobs))
	for _, job := range w.jobs {
		held = append(held, job)
	}
	return held
}
