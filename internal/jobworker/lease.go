package jobworker

import (
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// keepLease keeps a lease of the node alive. When the lease expired, the claims expired with it and are taken again.
func (w *Worker) keepLease() error {
	for {
		pause := w.Options.LeaseTTL / 3
		err := w.renewLease()
		w.recordRenewal(err != nil)
		if err != nil {
			w.logStore("renewing the lease", err)
			pause = w.Options.RetryAfter
		}
		if !w.pause(pause) {
			return nil
		}
	}
}

func (w *Worker) recordRenewal(failed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.outage.record(failed, w.Options.OutageAfter, w.Now())
}

func (w *Worker) renewLease() error {
	w.mutex.Lock()
	lease, draining := w.lease, w.draining
	w.mutex.Unlock()
	if lease == 0 && draining {
		return nil
	}
	ctx, cancel := w.callContext()
	defer cancel()
	sent := w.Now()
	if lease != 0 {
		ttl, err := w.Store.KeepAlive(ctx, lease)
		if err == nil {
			w.setLease(lease, sent.Add(ttl))
			return w.reregister(ctx, lease)
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
		w.setLease(0, time.Time{})
		return err
	}
	w.setLease(granted, sent.Add(w.Options.LeaseTTL))
	return nil
}

// register writes this node's entry among the workers.
func (w *Worker) register(ctx context.Context, lease kv.LeaseID) error {
	revision, err := w.Records.Register(ctx, w.registration(), lease)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.registered, w.registrationGone = revision, false
	return nil
}

// reregister writes the entry again if it is gone although the lease is alive. A worker without an entry owns no runner in
// the view of all workers, including its own, and would consider itself registered as long as it renews its lease.
func (w *Worker) reregister(ctx context.Context, lease kv.LeaseID) error {
	w.mutex.Lock()
	missing := w.registrationGone && !w.draining
	w.mutex.Unlock()
	if !missing {
		return nil
	}
	event.RegistrationGone.Log(w.Logger).Int64("lease", int64(lease)).Send()
	return w.register(ctx, lease)
}

// registration returns this node's entry among the workers.
func (w *Worker) registration() jobrecord.Worker {
	return jobrecord.Worker{Node: w.Node, Zone: w.Zone, Address: w.Address}
}

// setLease records the lease and when it may expire. The holders of the jobs claim these again if the lease is another one.
func (w *Worker) setLease(lease kv.LeaseID, until time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	replaced := lease != w.lease
	w.lease, w.leaseUntil = lease, until
	if !replaced {
		return
	}
	for _, job := range w.jobs {
		job.signal()
	}
}
