package jobworker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Readers calls the workers that read the open jobs on behalf of the others.
type Readers interface {
	// Live returns the changes of the open jobs after a revision that the worker at an address knows, or the whole state
	// for revision zero. The call may wait for changes up to the given time.
	Live(ctx context.Context, address string, after int64, wait time.Duration) (changefeed.Update, error)
}

const (
	// MaxReaders is how many workers are asked for the open jobs before a worker reads the store itself: the first by
	// name, then the next one if the first does not answer. With a single reader, all others would read the store until
	// the lease of a dead reader expires.
	MaxReaders = 2
	// readerBackoff is how long a worker that did not answer, or answered with outdated data, is skipped.
	readerBackoff = 1500 * time.Millisecond
	// readerCallMargin is the time a call to a reader may take beyond its wait.
	readerCallMargin = 350 * time.Millisecond
	// readerRetryPause is the pause after a failed call to a reader.
	readerRetryPause = 60 * time.Millisecond
	// startPeriod is how long after its start a worker that reads for others pauses only for startWatchPause between two
	// reads. Workers that start together register one after the other in that time, and a job can be accepted in an outage
	// only by workers that are known.
	startPeriod     = time.Second
	startWatchPause = 50 * time.Millisecond
)

// errStale means that a reader returned data that may have been out of date for too long.
const errStale = failure.Kind("job worker: data of the reader is out of date")

// followLive follows the open jobs, the claims and the workers, through another worker or by reading the store.
func (w *Worker) followLive() error {
	for {
		address, other := w.Reader(w.avoidsReader)
		var err error
		if other {
			err = w.fetchLive(address)
		} else {
			err = w.readLive()
		}
		pause := w.pauseAfterLive(other, err)
		switch {
		case err != nil && !other:
			w.logStore("following the open jobs", err)
			if errors.Is(err, kv.ErrCompacted) {
				w.live.Revision = 0
			}
			if !w.waitForStore() {
				return nil
			}
		case !w.pause(pause):
			return nil
		}
	}
}

// pauseAfterLive returns how long to wait before the next call or read. Another worker sends changes as they come, and is
// asked soon after a read of this node's own. A worker that reads for others polls often; workers that all read for
// themselves poll more rarely the more of them there are.
func (w *Worker) pauseAfterLive(other bool, err error) time.Duration {
	if other && err == nil {
		return 0
	}
	_, asksNext := w.Reader(w.avoidsReader)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case other || asksNext:
		return readerRetryPause
	case len(w.workers) > 0 && !w.readsForAll():
		return w.scaledByWorkers(w.Options.WatchPause)
	case w.Now().Sub(w.started) < startPeriod:
		return startWatchPause
	}
	return w.Options.WatchPause
}

// readsForAll reports whether this worker is one of the readers that others ask. The caller must hold the mutex.
func (w *Worker) readsForAll() bool { return w.rosterNow().reader }

// IsReader reports whether this worker is one of the readers that others ask.
func (w *Worker) IsReader() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.readsForAll()
}

// IsRelay reports whether others ask this worker for what the store says: workers of its zone, or relays and readers.
func (w *Worker) IsRelay() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	roster := w.rosterNow()
	return roster.reader || roster.relay
}

// fetchLive applies what another worker knows.
func (w *Worker) fetchLive(address string) error {
	wait := w.Options.WatchWait
	ctx, cancel := w.callContextFor(wait + readerCallMargin)
	defer cancel()
	update, err := w.Readers.Live(ctx, address, w.live.Revision, wait)
	if err == nil && w.Now().Sub(update.AsOf) > w.maxLiveAge() {
		err = fmt.Errorf("%w: %v old", errStale, w.Now().Sub(update.AsOf))
	}
	if err == nil {
		err = w.applyLive(update)
	}
	w.recordReaderResult(address, err)
	return err
}

// maxLiveAge is the age from which on data about open jobs from another worker is rejected: the reader's own waiting call,
// the pause before the next call and its wait, and the time a slow store takes. A worker that reads for itself may be as
// late.
func (w *Worker) maxLiveAge() time.Duration {
	return 2*w.Options.WatchWait + w.Options.WatchPause + w.Options.CallTimeout
}

// readLive reads the open jobs, or waits for their next changes.
func (w *Worker) readLive() error {
	if w.live.Revision == 0 {
		ctx, cancel := w.callContext()
		defer cancel()
		update, err := w.Records.ReadLiveUpdate(ctx)
		if err != nil {
			return err
		}
		return w.applyLive(update)
	}
	ctx, cancel := w.callContextFor(w.Options.WatchWait + w.Options.CallTimeout)
	defer cancel()
	update, err := w.Records.LiveChanges(ctx, w.live.Revision, w.Options.WatchWait)
	if err != nil {
		return err
	}
	return w.applyLive(update)
}

// applyLive applies an update and publishes it. Only followLive calls it, so that the live state has a single writer; what
// other loops need of it is copied under the mutex. An update older than the known state is rejected.
func (w *Worker) applyLive(update changefeed.Update) error {
	if !w.liveFeed.Take(update) {
		return fmt.Errorf("%w: revision %d", changefeed.ErrBehind, update.Revision)
	}
	w.Records.Apply(w.live, update)
	w.reconcile()
	if w.OnLiveChanged != nil {
		w.OnLiveChanged()
	}
	return nil
}

// LiveAfter returns to another worker the changes of the open jobs after a revision.
func (w *Worker) LiveAfter(ctx context.Context, after int64, wait time.Duration) (changefeed.Update, error) {
	return w.liveFeed.Next(ctx, after, min(wait, w.Options.WatchWait))
}

// Reader returns the address of the worker to ask for what the store says: the relay of this zone, the first registered worker
// by name, or the next one, whichever is not avoided. It returns false if this node reads the store itself or if all are
// avoided. A worker that does not know any other yet asks the seeds in its settings for a limited time, unless it is one of them.
func (w *Worker) Reader(avoided func(address string) bool) (string, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.Readers == nil {
		return "", false
	}
	if len(w.workers) == 0 {
		return w.nextSeed()
	}
	for _, source := range w.rosterNow().sources {
		if source.Node == w.Node {
			return "", false
		}
		if !avoided(source.Address) {
			return source.Address, true
		}
	}
	return "", false
}

// nextSeed returns the seeds in the settings in rotation. The caller must hold the mutex.
func (w *Worker) nextSeed() (string, bool) {
	if len(w.Seeds) == 0 || slices.Contains(w.Seeds, w.Address) || w.Now().Sub(w.started) > w.SeedPeriod {
		return "", false
	}
	w.seedCalls++
	return w.Seeds[w.seedCalls%len(w.Seeds)], true
}

func (w *Worker) avoidsReader(address string) bool {
	return w.Now().Before(w.avoidedReaders[address])
}

// recordReaderResult records the outcome of a call to a reader. A reader that failed is skipped for a while. Seeds are not
// skipped during start-up, because they start at the same moment.
func (w *Worker) recordReaderResult(address string, err error) {
	if err == nil {
		delete(w.avoidedReaders, address)
		return
	}
	w.mutex.Lock()
	known := len(w.workers) > 0
	w.mutex.Unlock()
	if !known {
		return
	}
	w.avoidedReaders[address] = w.Now().Add(readerBackoff)
	event.ReaderSkipped.Log(w.Logger).Str("address", address).Err(err).Send()
}
