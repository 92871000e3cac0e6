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
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Readers reaches the workers that read the open jobs for the others.
type Readers interface {
	// Live returns what a worker at an address knows of the open jobs beyond a revision, zero for all. It may be held for the wait.
	Live(ctx context.Context, address string, after int64, wait time.Duration) (changefeed.Update, error)
}

const (
	// ReadersInLine is how many workers are asked for what they read before a worker reads for itself: the first by name, and the
	// next one while the first does not answer. While the lease of a dead one lasts, all others would read for themselves.
	ReadersInLine = 2
	// avoidReaderFor is how long a worker that did not answer, or told what is too old, is passed over.
	avoidReaderFor = 1500 * time.Millisecond
	// askSlack bounds a question to a reader beyond its wait.
	askSlack = 350 * time.Millisecond
	// startPause is the time between two questions of a worker that was told nothing yet.
	startPause = 60 * time.Millisecond
)

// errTooOld means that a reader told what may have changed long ago.
const errTooOld = failure.Kind("job worker: told too late")

// followLive follows the open jobs, the claims and the workers: through another worker, or by reading them.
func (w *Worker) followLive() error {
	for {
		address, other := w.Reader(w.avoidsReader)
		var err error
		if other {
			err = w.askLive(address)
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
			if !w.pauseForStore() {
				return nil
			}
		case !w.pause(pause):
			return nil
		}
	}
}

// pauseAfterLive is how long to wait before the next question or reading. What another worker reads is told as it comes; what
// this one reads for all is looked at often, and what each reads for itself more rarely the more they are.
func (w *Worker) pauseAfterLive(other bool, err error) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case other && err != nil:
		return startPause
	case other:
		return 0
	case w.readsForAll():
		return w.Options.WatchPause
	}
	return w.crowded(w.Options.WatchPause)
}

// readsForAll says whether this worker is one of those that others ask. The caller holds the mutex.
func (w *Worker) readsForAll() bool {
	return slices.Contains(firstByName(w.workers, ReadersInLine), w.Node)
}

// ReadsForAll says whether this worker is one of those that others ask.
func (w *Worker) ReadsForAll() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.readsForAll()
}

// askLive takes over what another worker knows.
func (w *Worker) askLive(address string) error {
	wait := w.Options.WatchWait
	ctx, cancel := w.callWithin(wait + askSlack)
	defer cancel()
	update, err := w.Readers.Live(ctx, address, w.live.Revision, wait)
	if err == nil && w.Now().Sub(update.AsOf) > w.oldestLive() {
		err = fmt.Errorf("%w: as of %v ago", errTooOld, w.Now().Sub(update.AsOf))
	}
	if err == nil {
		err = w.takeLive(update)
	}
	w.noteReader(address, err)
	return err
}

// oldestLive is the age from which on what another worker tells of the open jobs is not used: its own waiting call, the pause
// before the next one and that one's wait, and what a slow store takes. Each worker that waits for itself may be as late.
func (w *Worker) oldestLive() time.Duration {
	return 2*w.Options.WatchWait + w.Options.WatchPause + w.Options.CallTimeout
}

// readLive reads the open jobs, or waits for their next changes.
func (w *Worker) readLive() error {
	if w.live.Revision == 0 {
		ctx, cancel := w.call()
		defer cancel()
		update, err := w.Records.LiveWhole(ctx)
		if err != nil {
			return err
		}
		return w.takeLive(update)
	}
	ctx, cancel := w.callWithin(w.Options.WatchWait + w.Options.CallTimeout)
	defer cancel()
	update, err := w.Records.LiveChanges(ctx, w.live.Revision, w.Options.WatchWait)
	if err != nil {
		return err
	}
	return w.takeLive(update)
}

// takeLive takes over an update and passes it on. Only followLive calls it, so that the live state has one writer; what other
// loops need of it is copied under the mutex. An update of an older state than is known is refused.
func (w *Worker) takeLive(update changefeed.Update) error {
	if !w.liveFeed.Take(update) {
		return fmt.Errorf("%w: revision %d", changefeed.ErrBehind, update.Revision)
	}
	w.Records.Apply(w.live, update)
	w.takeOver()
	if w.Followed != nil {
		w.Followed()
	}
	return nil
}

// LiveAfter tells another worker what this one knows of the open jobs beyond a revision.
func (w *Worker) LiveAfter(ctx context.Context, after int64, wait time.Duration) (changefeed.Update, error) {
	return w.liveFeed.Next(ctx, after, min(wait, w.Options.WatchWait))
}

// Reader returns the address of the worker that reads the store for this one: the first by name of those that are registered, or
// the next one where the first is avoided. It returns false where that is this node itself or none answers. A worker that knows
// no other yet asks those named in its settings for a moment, unless it is one of them.
func (w *Worker) Reader(avoided func(address string) bool) (string, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.Readers == nil {
		return "", false
	}
	if len(w.workers) == 0 {
		return w.seed()
	}
	for _, node := range firstByName(w.workers, ReadersInLine) {
		if node == w.Node {
			return "", false
		}
		if address := w.workers[node].Address; !avoided(address) {
			return address, true
		}
	}
	return "", false
}

// seed returns one of the workers named in the settings, by turns. The caller holds the mutex.
func (w *Worker) seed() (string, bool) {
	if len(w.Seeds) == 0 || slices.Contains(w.Seeds, w.Address) || w.Now().Sub(w.started) > w.SeedsFor {
		return "", false
	}
	w.seedsAsked++
	return w.Seeds[w.seedsAsked%len(w.Seeds)], true
}

// firstByName returns the first nodes by name, at most a number of them.
func firstByName(workers map[ident.Node]jobrecord.Worker, most int) []ident.Node {
	first := make([]ident.Node, 0, most+1)
	for node := range workers {
		position, _ := slices.BinarySearch(first, node)
		if position == most {
			continue
		}
		first = slices.Insert(first, position, node)
		first = first[:min(len(first), most)]
	}
	return first
}

func (w *Worker) avoidsReader(address string) bool {
	return w.Now().Before(w.avoidedReaders[address])
}

// noteReader notes how a question to a reader ended: one in vain passes the reader over for a while. The seeds of a start are not
// passed over, because they start at the same moment.
func (w *Worker) noteReader(address string, err error) {
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
	w.avoidedReaders[address] = w.Now().Add(avoidReaderFor)
	event.ReaderAvoided.Log(w.Logger).Str("address", address).Err(err).Send()
}
