package handoff

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

const (
	// deliverEvery is the time between two rounds of handing over.
	deliverEvery = 250 * time.Millisecond
	// deliverTimeout bounds one call of the store.
	deliverTimeout = time.Second
	// longestPause bounds the pause after failures, which doubles with each: calls of a store that is away have their price.
	longestPause = time.Second
)

// Store is where the jobs are to be; see jobrecord.Records.
type Store interface {
	Exists(ctx context.Context, job ident.Job) (bool, error)
	Accept(ctx context.Context, submission *jobrecord.Submission) error
}

// Deliverer hands the entries of a log over to the store.
type Deliverer struct {
	Log   *Log
	Store Store
	// Lifetime is how long after its acceptance a job is handed over at most. The store forgets jobs later than that, and
	// must not take one again that it has forgotten.
	Lifetime time.Duration
	// Taken says whether a job is known to be in the store without a call of it; nil knows none.
	Taken  func(job ident.Job) bool
	Logger zerolog.Logger
	Now    func() time.Time
	// Held counts the entry that is being handed over; nil counts nothing. It refuses none: a job that was accepted is to reach the store.
	Held *heldbytes.OfNode

	mutex sync.Mutex
	// seen counts the rounds since an entry came or a call failed, whichever was later: an entry waits for as many as its
	// turn says.
	seen  map[ident.Job]int
	pause time.Duration
}

// Start runs the deliverer until the tomb dies.
func (d *Deliverer) Start(parent *tomb.Tomb) {
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		for {
			timer := time.NewTimer(deliverEvery + d.backoff())
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
	return d.pause
}

// Round hands over the entries whose turn it is. After a failure the rounds are counted anew.
func (d *Deliverer) Round(ctx context.Context) {
	entries := d.Log.Entries()
	var failed error
	for _, entry := range d.due(entries) {
		if failed = d.deliver(ctx, entry); failed != nil {
			event.HandoffFailed.Log(d.Logger).Str("job", string(entry.Job)).Int("kept", len(entries)).Err(failed).Send()
			break
		}
	}
	d.note(failed)
}

// due counts the round for each entry and returns those whose turn it is.
func (d *Deliverer) due(entries []Summary) []Summary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	seen := make(map[ident.Job]int, len(entries))
	var due []Summary
	for _, entry := range entries {
		seen[entry.Job] = d.seen[entry.Job] + 1
		if seen[entry.Job] > entry.Turn {
			due = append(due, entry)
		}
	}
	d.seen = seen
	return due
}

// note sets the pause before the next round.
func (d *Deliverer) note(failed error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if failed == nil {
		d.pause = 0
		return
	}
	d.seen = nil
	d.pause = min(max(2*d.pause, deliverEvery), longestPause)
}

// deliver hands one job over. An entry that cannot be handed over any more is dropped, so that it does not hold up others.
func (d *Deliverer) deliver(ctx context.Context, summary Summary) error {
	job := summary.Job
	if d.Taken != nil && d.Taken(job) {
		d.drop(summary, "the store is known to have it")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	held, err := d.Store.Exists(ctx, job)
	if err != nil {
		return err
	}
	if held {
		d.drop(summary, "the store has it")
		return nil
	}
	counted := d.Held.Open(heldbytes.Submission, heldbytes.Whose{Tenant: summary.Tenant})
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
