package handoff

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
)

const (
	// deliverInterval is the time between two delivery rounds.
	deliverInterval = 250 * time.Millisecond
	// deliverTimeout bounds the store calls for one entry.
	deliverTimeout = time.Second
	// maxBackoff bounds the extra delay after failures, which doubles with each failure: calls to an unavailable store
	// are expensive.
	maxBackoff = time.Second
	// maxSkipSteps bounds how often the rounds double for which an entry is skipped after failures of its own.
	maxSkipSteps = 3
)

// Store is the job store that entries are delivered to; see jobrecord.Records.
type Store interface {
	Exists(ctx context.Context, job ident.Job) (bool, error)
	Accept(ctx context.Context, submission *jobrecord.Submission) error
}

// Deliverer delivers the entries of a log to the store.
type Deliverer struct {
	Log   *Log
	Store Store
	// Lifetime is how long after its acceptance a job may still be delivered. The store forgets a job later than that,
	// and must not accept a job again that it has forgotten.
	Lifetime time.Duration
	// KnownAccepted reports whether a job is known to be in the store without calling it; nil means that no job is known to be.
	KnownAccepted func(job ident.Job) bool
	Logger        zerolog.Logger
	Now           func() time.Time
	// MemoryBudget accounts for the memory of the entry being delivered; nil accounts for nothing. It does not refuse an entry: a
	// job that was accepted must reach the store.
	MemoryBudget *memorybudget.NodeBudget

	mutex        sync.Mutex
	pending      map[ident.Job]*pendingEntry
	backoffDelay time.Duration
}

// pendingEntry is the state of an entry between rounds.
type pendingEntry struct {
	// rounds counts the rounds since the entry was added or since the store last failed to answer, whichever was later: an entry is
	// skipped for the number of rounds given by its turn.
	rounds int
	// failures counts the failed deliveries that concern the entry, and skips the rounds for which it is skipped because of them.
	failures, skips int
}

// cause is what the failure of a delivery concerns.
type cause uint8

const (
	// storeSilent means that the store did not answer: no entry can be delivered now.
	storeSilent cause = iota
	// writeFailed means that the store answered a reading and not the write. The entry is as likely to be the reason as the store.
	writeFailed
	// entryUndeliverable means that only this entry cannot be delivered.
	entryUndeliverable
)

// undelivered is the failure of a delivery.
type undelivered struct {
	cause cause
	err   error
}

// Error implements error.
func (u *undelivered) Error() string { return u.err.Error() }

// Unwrap returns the cause.
func (u *undelivered) Unwrap() error { return u.err }

// Start runs the deliverer until the tomb dies.
func (d *Deliverer) Start(parent *tomb.Tomb) {
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		for {
			timer := time.NewTimer(deliverInterval + d.backoff())
			select {
			case <-parent.Dying():
				timer.Stop()
				return nil
			case <-timer.C:
				d.Round(ctx)
			}
		}
	})
}

func (d *Deliverer) backoff() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.backoffDelay
}

// Round delivers the entries whose turn has come. A failure that concerns a single entry does not keep the others back: it ends the round
// only if the store may be the reason, and the entry is skipped in the next rounds.
func (d *Deliverer) Round(ctx context.Context) {
	entries := d.Log.Entries()
	var last *undelivered
	for _, entry := range d.due(entries) {
		failed := d.deliver(ctx, entry)
		if failed == nil {
			continue
		}
		event.HandoffFailed.Log(d.Logger).Str("job", string(entry.Job)).Int("kept", len(entries)).Err(failed).Send()
		d.recordFailure(entry.Job, failed.cause)
		if failed.cause != entryUndeliverable {
			last = failed
			break
		}
	}
	d.setBackoff(last != nil)
}

// due counts the round for each entry and returns the entries whose turn has come.
func (d *Deliverer) due(entries []Summary) []Summary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pending := make(map[ident.Job]*pendingEntry, len(entries))
	var due []Summary
	for _, entry := range entries {
		state := d.pending[entry.Job]
		if state == nil {
			state = &pendingEntry{}
		}
		pending[entry.Job] = state
		state.rounds++
		switch {
		case state.skips > 0:
			state.skips--
		case state.rounds > entry.Turn:
			due = append(due, entry)
		}
	}
	d.pending = pending
	return due
}

// recordFailure records a failed delivery. If the store did not answer, the rounds of all entries are counted from zero.
func (d *Deliverer) recordFailure(job ident.Job, cause cause) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if cause == storeSilent {
		d.pending = nil
		return
	}
	state := d.pending[job]
	state.skips = 1<<min(state.failures, maxSkipSteps) - 1
	state.failures++
}

// setBackoff sets the extra delay before the next round, given whether the store may have failed in this one.
func (d *Deliverer) setBackoff(failed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !failed {
		d.backoffDelay = 0
		return
	}
	d.backoffDelay = min(max(2*d.backoffDelay, deliverInterval), maxBackoff)
}

// deliver delivers one job. An entry that may be given up is removed.
func (d *Deliverer) deliver(ctx context.Context, summary Summary) *undelivered {
	job := summary.Job
	if d.KnownAccepted != nil && d.KnownAccepted(job) {
		d.drop(summary, "the store is known to have it")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	exists, err := d.Store.Exists(ctx, job)
	if err != nil {
		return &undelivered{cause: causeOf(err, storeSilent), err: err}
	}
	if exists {
		d.drop(summary, "the store has it")
		return nil
	}
	counted := d.MemoryBudget.Open(memorybudget.Submission, memorybudget.Whose{Tenant: summary.Tenant})
	counted.Set(summary.bytes)
	defer counted.Release()
	entry, err := d.Log.Load(job)
	if errors.Is(err, ErrDamaged) {
		d.drop(summary, "its file is damaged")
		return nil
	}
	if err != nil {
		return &undelivered{cause: entryUndeliverable, err: err}
	}
	submission := entry.Submission()
	if d.Now().Sub(submission.Accepted) > d.Lifetime {
		d.drop(summary, "its time is over")
		return nil
	}
	if err := d.Store.Accept(ctx, submission); err != nil {
		return &undelivered{cause: causeOf(err, writeFailed), err: err}
	}
	d.drop(summary, "handed over")
	return nil
}

// causeOf returns what a failed call concerns: the entry if the store refuses it for good, otherwise the given cause.
func causeOf(err error, otherwise cause) cause {
	if errors.Is(err, kv.ErrRefused) || errors.Is(err, jobrecord.ErrTooLarge) {
		return entryUndeliverable
	}
	return otherwise
}

func (d *Deliverer) drop(entry Summary, why string) {
	d.Log.Remove(entry.Job)
	event.HandoffEnded.Log(d.Logger).Str("job", string(entry.Job)).Int("tokens", entry.Tokens).Str("why", why).Send()
}
