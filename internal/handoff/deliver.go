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

	mutex sync.Mutex
	// rounds counts for each entry the rounds since it was added or since the last failed call, whichever was later: an
	// entry is skipped for the number of rounds given by its turn.
	rounds       map[ident.Job]int
	backoffDelay time.Duration
}

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

// Round delivers the entries whose turn has come. After a failure the rounds are counted from zero.
func (d *Deliverer) Round(ctx context.Context) {
	entries := d.Log.Entries()
	var failed error
	for _, entry := range d.due(entries) {
		if failed = d.deliver(ctx, entry); failed != nil {
			event.HandoffFailed.Log(d.Logger).Str("job", string(entry.Job)).Int("kept", len(entries)).Err(failed).Send()
			break
		}
	}
	d.setBackoff(failed)
}

// due counts the round for each entry and returns the entries whose turn has come.
func (d *Deliverer) due(entries []Summary) []Summary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rounds := make(map[ident.Job]int, len(entries))
	var due []Summary
	for _, entry := range entries {
		rounds[entry.Job] = d.rounds[entry.Job] + 1
		if rounds[entry.Job] > entry.Turn {
			due = append(due, entry)
		}
	}
	d.rounds = rounds
	return due
}

// setBackoff sets the extra delay before the next round.
func (d *Deliverer) setBackoff(failed error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if failed == nil {
		d.backoffDelay = 0
		return
	}
	d.rounds = nil
	d.backoffDelay = min(max(2*d.backoffDelay, deliverInterval), maxBackoff)
}

// deliver delivers one job. An entry that can no longer be delivered is removed, so that it does not block others.
func (d *Deliverer) deliver(ctx context.Context, summary Summary) error {
	job := summary.Job
	if d.KnownAccepted != nil && d.KnownAccepted(job) {
		d.drop(summary, "the store is known to have it")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	exists, err := d.Store.Exists(ctx, job)
	if err != nil {
		return err
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
		return err
	}
	submission := entry.Submission()
	if d.Now().Sub(submission.Accepted) > d.Lifetime {
		d.drop(summary, "its time is over")
		return nil
	}
	err = d.Store.Accept(ctx, submission)
	if errors.Is(err, jobrecord.ErrTooLarge) {
		d.drop(summary, "it is too large for the store")
		return nil
	}
	if err == nil {
		d.drop(summary, "handed over")
	}
	return err
}

func (d *Deliverer) drop(entry Summary, why string) {
	d.Log.Remove(entry.Job)
	event.HandoffEnded.Log(d.Logger).Str("job", string(entry.Job)).Int("tokens", entry.Tokens).Str("why", why).Send()
}
