package kvtest

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
)

// PagedFaults are the faults of a Paged store. The zero value has none.
type PagedFaults struct {
	// Down refuses every call as not done.
	Down bool
	// LoseNext loses the answers of that many changes that come next; they are applied.
	LoseNext int
	// DelayNext keeps that many changes that come next unanswered and unapplied until ApplyDelayed: a change may take
	// effect after its caller gave up, if its condition still holds then.
	DelayNext int
	// MaxValueBytes and MaxKeyBytes, unless zero, bound the values and the keys of a change. Others are refused for good.
	MaxValueBytes, MaxKeyBytes int
}

// refuses reports whether a change exceeds the bounds.
func (f *PagedFaults) refuses(writes []kv.Write) bool {
	for _, write := range writes {
		if f.MaxValueBytes > 0 && len(write.Value) > f.MaxValueBytes || f.MaxKeyBytes > 0 && len(write.Key) > f.MaxKeyBytes {
			return true
		}
	}
	return false
}

// Paged is a kv.Paged in memory. Each client of one Data may have a Paged of its own, and so its own faults.
type Paged struct {
	data     *Data
	pageSize int

	mutex   sync.Mutex
	faults  PagedFaults
	delayed []func()
	calls   int
}

var _ kv.Paged = (*Paged)(nil)

// defaultPageSize is small, so that tests meet more than one page.
const defaultPageSize = 3

// NewPaged returns a client of shared data.
func NewPaged(data *Data) *Paged { return &Paged{data: data, pageSize: defaultPageSize} }

// SetFaults replaces the faults.
func (p *Paged) SetFaults(faults PagedFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// Calls returns how many calls were made.
func (p *Paged) Calls() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// ApplyDelayed applies the delayed changes whose conditions still hold, in their order.
func (p *Paged) ApplyDelayed() {
	p.mutex.Lock()
	delayed := p.delayed
	p.delayed = nil
	p.mutex.Unlock()
	for _, apply := range delayed {
		apply()
	}
}

func (p *Paged) admit() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.faults.Down {
		return kv.ErrUnavailable
	}
	return nil
}

// Get implements kv.Paged.
func (p *Paged) Get(_ context.Context, key string) (kv.Pair, int64, error) {
	if err := p.admit(); err != nil {
		return kv.Pair{}, 0, err
	}
	pair, _, exists := p.data.Get(key)
	if !exists {
		return kv.Pair{}, p.data.Revision(), kv.ErrNotFound
	}
	return pair, p.data.Revision(), nil
}

// ListPage implements kv.Paged.
func (p *Paged) ListPage(_ context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	if err := p.admit(); err != nil {
		return kv.Page{}, err
	}
	events, revision := p.data.Range(prefix, PrefixEnd(prefix))
	page := kv.Page{Revision: revision}
	for _, event := range events {
		if event.Pair.Key <= options.After {
			continue
		}
		if len(page.Pairs) == p.pageSize {
			page.More = true
			break
		}
		page.Pairs = append(page.Pairs, event.Pair)
	}
	return page, nil
}

// Changes implements kv.Paged.
func (p *Paged) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchResponse, error) {
	if err := p.admit(); err != nil {
		return kv.WatchResponse{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := p.data.Changed()
		events, revision, err := p.data.EventsAfter(prefix, PrefixEnd(prefix), after)
		if err != nil {
			return kv.WatchResponse{}, err
		}
		response := kv.WatchResponse{Revision: revision}
		for _, event := range events {
			response.Events = append(response.Events, kv.WatchEvent{Pair: event.Pair, Deleted: event.Deleted})
		}
		if len(response.Events) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return kv.WatchResponse{}, kv.ErrOutcomeUnknown
		}
	}
}

// Commit implements kv.Paged.
func (p *Paged) Commit(_ context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	if err := p.admit(); err != nil {
		return kv.TransactionResult{}, err
	}
	p.mutex.Lock()
	if p.faults.refuses(writes) {
		p.mutex.Unlock()
		return kv.TransactionResult{}, kv.ErrRefused
	}
	delay := p.faults.DelayNext > 0
	lose := !delay && p.faults.LoseNext > 0
	if delay {
		p.faults.DelayNext--
		p.delayed = append(p.delayed, func() { _, _ = p.apply(compares, writes) })
	}
	if lose {
		p.faults.LoseNext--
	}
	p.mutex.Unlock()
	if delay {
		return kv.TransactionResult{}, kv.ErrOutcomeUnknown
	}
	result, err := p.apply(compares, writes)
	if lose {
		return kv.TransactionResult{}, kv.ErrOutcomeUnknown
	}
	return result, err
}

func (p *Paged) apply(compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	result := kv.TransactionResult{Succeeded: true}
	revision, err := p.data.Transact(func(get func(string) (kv.Pair, int64, bool)) []Op {
		for _, compare := range compares {
			pair, _, exists := get(compare.Key)
			if exists {
				result.Conflicts = append(result.Conflicts, pair)
			}
			if pair.ModRevision != compare.ModRevision {
				result.Succeeded = false
			}
		}
		if !result.Succeeded {
			return nil
		}
		return opsOf(writes)
	})
	if result.Succeeded {
		result.Conflicts = nil
	}
	result.Revision = revision
	return result, err
}

// Grant implements kv.Paged.
func (p *Paged) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := p.admit(); err != nil {
		return 0, err
	}
	return p.data.Grant(ttl), nil
}

// KeepAlive implements kv.Paged.
func (p *Paged) KeepAlive(_ context.Context, lease kv.LeaseID) (time.Duration, error) {
	if err := p.admit(); err != nil {
		return 0, err
	}
	return p.data.KeepAlive(lease)
}

// Revoke implements kv.Paged.
func (p *Paged) Revoke(_ context.Context, lease kv.LeaseID) error {
	if err := p.admit(); err != nil {
		return err
	}
	return p.data.Revoke(lease)
}
