// Package kvtest holds an in-memory key-value service: Data, a multi-version store with leases and compaction that the
// lab's stand-in serves over HTTP, and Store, a kv.Store over Data with seeded faults for tests.
package kvtest

import (
	"sort"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
)

// Op is one change of a transaction: a put, or a delete of one key or of a range.
type Op struct {
	Key   string
	Value []byte
	Lease kv.LeaseID
	// Delete removes Key, or every key in [Key, End) if End is set.
	Delete bool
	End    string
}

// Event is one change in the history of the store.
type Event struct {
	Pair    kv.Pair
	Version int64
	Deleted bool
}

type entry struct {
	pair    kv.Pair
	version int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Data is a multi-version key-value store in memory. Every method is safe for concurrent use.
type Data struct {
	now func() time.Time

	mutex     sync.Mutex
	revision  int64
	compacted int64
	entries   map[string]entry
	leases    map[kv.LeaseID]*lease
	lastLease kv.LeaseID
	// history holds the events after revision compacted, in revision order.
	history []Event
	changed chan struct{}
}

// NewData returns an empty store at revision 1 whose leases run by now.
func NewData(now func() time.Time) *Data {
	return &Data{
		now:      now,
		revision: 1,
		entries:  map[string]entry{},
		leases:   map[kv.LeaseID]*lease{},
		changed:  make(chan struct{}),
	}
}

// Get returns the pair, its version (writes since creation) and whether it exists.
func (d *Data) Get(key string) (kv.Pair, int64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	found, exists := d.entries[key]
	return found.pair, found.version, exists
}

// Range returns the events that last wrote the keys in [start, end), in key order, and the current revision. An empty
// end means the one key start.
func (d *Data) Range(start, end string) ([]Event, int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	return d.rangeLocked(start, end), d.revision
}

// Revision returns the current revision.
func (d *Data) Revision() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// Transact runs decide on the current state and applies the ops it returns as one revision. It returns the revision
// after the transaction. Ops that name a lapsed lease are refused with kv.ErrLeaseNotFound and nothing is applied.
func (d *Data) Transact(decide func(get func(key string) (kv.Pair, int64, bool)) []Op) (int64, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	ops := decide(func(key string) (kv.Pair, int64, bool) {
		found, exists := d.entries[key]
		return found.pair, found.version, exists
	})
	for _, op := range ops {
		if op.Lease != 0 && d.leases[op.Lease] == nil {
			return d.revision, kv.ErrLeaseNotFound
		}
	}
	d.applyLocked(ops)
	return d.revision, nil
}

// EventsAfter returns the events of keys in [start, end) with a revision after the given one, and the current
// revision. It returns kv.ErrCompacted if some of them are no longer kept.
func (d *Data) EventsAfter(start, end string, revision int64) ([]Event, int64, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	if revision < d.compacted {
		return nil, d.revision, kv.ErrCompacted
	}
	first := sort.Search(len(d.history), func(i int) bool { return d.history[i].Pair.ModRevision > revision })
	var events []Event
	for _, event := range d.history[first:] {
		if inRange(event.Pair.Key, start, end) {
			events = append(events, event)
		}
	}
	return events, d.revision, nil
}

// Changed returns a channel that is closed at the next change.
func (d *Data) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// Compact forgets the history up to and including the revision.
func (d *Data) Compact(revision int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if revision > d.revision {
		revision = d.revision
	}
	if revision <= d.compacted {
		return
	}
	d.compacted = revision
	first := sort.Search(len(d.history), func(i int) bool { return d.history[i].Pair.ModRevision > revision })
	d.history = append([]Event(nil), d.history[first:]...)
}

// CompactedRevision returns the last revision that was forgotten.
func (d *Data) CompactedRevision() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.compacted
}

// Grant creates a lease.
func (d *Data) Grant(ttl time.Duration) kv.LeaseID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	d.lastLease++
	d.leases[d.lastLease] = &lease{ttl: ttl, expires: d.now().Add(ttl), keys: map[string]struct{}{}}
	return d.lastLease
}

// KeepAlive renews a lease.
func (d *Data) KeepAlive(id kv.LeaseID) (time.Duration, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	held := d.leases[id]
	if held == nil {
		return 0, kv.ErrLeaseNotFound
	}
	held.expires = d.now().Add(held.ttl)
	return held.ttl, nil
}

// Revoke ends a lease and deletes its keys.
func (d *Data) Revoke(id kv.LeaseID) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expireLocked()
	if d.leases[id] == nil {
		return kv.ErrLeaseNotFound
	}
	d.endLeaseLocked(id)
	return nil
}

func (d *Data) expireLocked() {
	if len(d.leases) == 0 {
		return
	}
	now := d.now()
	var lapsed []kv.LeaseID
	for id, held := range d.leases {
		if !held.expires.After(now) {
			lapsed = append(lapsed, id)
		}
	}
	sort.Slice(lapsed, func(i, j int) bool { return lapsed[i] < lapsed[j] })
	for _, id := range lapsed {
		d.endLeaseLocked(id)
	}
}

func (d *Data) endLeaseLocked(id kv.LeaseID) {
	ops := make([]Op, 0, len(d.leases[id].keys))
	for key := range d.leases[id].keys {
		ops = append(ops, Op{Key: key, Delete: true})
	}
	sort.Slice(ops, func(i, j int) bool { return ops[i].Key < ops[j].Key })
	delete(d.leases, id)
	d.applyLocked(ops)
}

// applyLocked applies the ops as one revision. A transaction that changes nothing leaves the revision as it is.
func (d *Data) applyLocked(ops []Op) {
	next := d.revision + 1
	before := len(d.history)
	for _, op := range ops {
		if op.Delete {
			for _, found := range d.rangeLocked(op.Key, op.End) {
				d.deleteLocked(found.Pair.Key, next)
			}
			continue
		}
		d.putLocked(op, next)
	}
	if len(d.history) == before {
		return
	}
	d.revision = next
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Data) putLocked(op Op, revision int64) {
	previous, exists := d.entries[op.Key]
	created := revision
	if exists {
		created = previous.pair.CreateRevision
		d.detachLocked(previous.pair)
	}
	pair := kv.Pair{
		Key:            op.Key,
		Value:          append([]byte(nil), op.Value...),
		CreateRevision: created,
		ModRevision:    revision,
		Lease:          op.Lease,
	}
	written := entry{pair: pair, version: previous.version + 1}
	d.entries[op.Key] = written
	if held := d.leases[op.Lease]; held != nil {
		held.keys[op.Key] = struct{}{}
	}
	d.history = append(d.history, Event{Pair: pair, Version: written.version})
}

func (d *Data) deleteLocked(key string, revision int64) {
	previous, exists := d.entries[key]
	if !exists {
		return
	}
	d.detachLocked(previous.pair)
	delete(d.entries, key)
	d.history = append(d.history, Event{Pair: kv.Pair{Key: key, ModRevision: revision}, Deleted: true})
}

func (d *Data) detachLocked(pair kv.Pair) {
	if held := d.leases[pair.Lease]; held != nil {
		delete(held.keys, pair.Key)
	}
}

func (d *Data) rangeLocked(start, end string) []Event {
	if end == "" {
		found, exists := d.entries[start]
		if !exists {
			return nil
		}
		return []Event{{Pair: found.pair, Version: found.version}}
	}
	var events []Event
	for key, found := range d.entries {
		if inRange(key, start, end) {
			events = append(events, Event{Pair: found.pair, Version: found.version})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Pair.Key < events[j].Pair.Key })
	return events
}

// openEnd is the range end that means "to the last key".
const openEnd = "\x00"

func inRange(key, start, end string) bool {
	if end == "" {
		return key == start
	}
	if end == openEnd {
		return key >= start
	}
	return key >= start && key < end
}

// PrefixEnd returns the end of the range of keys with the prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for last := len(end) - 1; last >= 0; last-- {
		if end[last] < 0xff {
			end[last]++
			return string(end[:last+1])
		}
	}
	return openEnd
}
