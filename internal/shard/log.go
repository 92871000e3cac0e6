package shard

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// errCorrupt means that the durable log contradicts itself or the protocol; the replica must stop.
const errCorrupt = failure.Kind("shard: log is inconsistent")

// tailBytes is how much of the durable end of the log stays in memory for sending.
const tailBytes = 1 << 20

// entryOverhead is about what an entry takes in memory besides its command, in bytes.
const entryOverhead = 64

func (e Entry) size() int { return len(e.Command) + entryOverhead }

// replicaLog is the durable log plus its newest entries in memory, some of which may not be durable yet.
type replicaLog struct {
	store LogReader
	// tail holds the entries from tailFirst to the end of the log.
	tail      []Entry
	tailFirst uint64
	bytes     int
	// persisted is the last durable index that still belongs to the log.
	persisted uint64
	// taken is the last index handed out to be made durable.
	taken   uint64
	commit  uint64
	applied uint64
	// baseIndex and baseTerm describe the last installed snapshot while the store does not know it yet.
	baseIndex uint64
	baseTerm  Term
}

func newLog(store LogReader, applied uint64) *replicaLog {
	last := store.LastIndex()
	return &replicaLog{store: store, tailFirst: last + 1, persisted: last, taken: last, commit: applied, applied: applied}
}

func (l *replicaLog) lastIndex() uint64 { return l.tailFirst + uint64(len(l.tail)) - 1 }

func (l *replicaLog) firstIndex() uint64 { return max(l.store.FirstIndex(), l.baseIndex+1) }

func (l *replicaLog) lastTerm() (Term, error) { return l.term(l.lastIndex()) }

func (l *replicaLog) term(index uint64) (Term, error) {
	if index >= l.tailFirst && index <= l.lastIndex() {
		return l.tail[index-l.tailFirst].Term, nil
	}
	if index == l.baseIndex {
		return l.baseTerm, nil
	}
	if index+1 < l.firstIndex() || index > l.lastIndex() {
		return Term{}, fmt.Errorf("term of entry %d outside the log: %w", index, errCorrupt)
	}
	return l.store.Term(index)
}

// entries returns entries from low to high, at least one if there is one, and at most about maximumBytes.
func (l *replicaLog) entries(low, high uint64, maximumBytes int) ([]Entry, error) {
	high = min(high, l.lastIndex())
	if low > high {
		return nil, nil
	}
	if low < l.tailFirst {
		return l.store.Entries(low, min(high, l.tailFirst-1), maximumBytes)
	}
	first := int(low - l.tailFirst)
	last := first
	size := 0
	for last < len(l.tail) && l.tail[last].Index <= high {
		size += l.tail[last].size()
		if last > first && size > maximumBytes {
			break
		}
		last++
	}
	return l.tail[first:last:last], nil
}

// append adds entries at the end. Entries that contradict them are dropped; a committed entry never may be.
func (l *replicaLog) append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= l.commit || first > l.lastIndex()+1 {
		return fmt.Errorf("append at %d with commit %d and last %d: %w", first, l.commit, l.lastIndex(), errCorrupt)
	}
	if first < l.tailFirst {
		l.tail = nil
		l.bytes = 0
		l.tailFirst = first
	}
	if first <= l.lastIndex() {
		l.cut(first)
	}
	l.tail = append(l.tail, entries...)
	for _, added := range entries {
		l.bytes += added.size()
	}
	l.persisted = min(l.persisted, first-1)
	l.taken = min(l.taken, first-1)
	return nil
}

// cut drops the entries from first on. The slice is capped, as messages on their way may still refer to the dropped ones.
func (l *replicaLog) cut(first uint64) {
	kept := first - l.tailFirst
	for _, dropped := range l.tail[kept:] {
		l.bytes -= dropped.size()
	}
	l.tail = l.tail[:kept:kept]
}

// take returns the entries that are not durable yet and were not handed out before.
func (l *replicaLog) take() []Entry {
	last := l.lastIndex()
	if l.taken >= last {
		return nil
	}
	taken := l.tail[l.taken+1-l.tailFirst:]
	l.taken = last
	return taken[:len(taken):len(taken)]
}

// markPersisted records that the log up to the entry is durable, unless the entry was replaced meanwhile.
func (l *replicaLog) markPersisted(index uint64, term Term) {
	current, err := l.term(index)
	if err != nil || current != term || index <= l.persisted {
		return
	}
	l.persisted = index
}

// shrink drops entries from memory that are durable and applied once they take twice the bytes meant to stay.
func (l *replicaLog) shrink() {
	if l.bytes <= 2*tailBytes {
		return
	}
	durable := min(l.persisted, l.applied)
	drop := 0
	for drop < len(l.tail) && l.tail[drop].Index <= durable && l.bytes > tailBytes {
		l.bytes -= l.tail[drop].size()
		drop++
	}
	if drop == 0 {
		return
	}
	l.tailFirst += uint64(drop)
	l.tail = append([]Entry(nil), l.tail[drop:]...)
}

// install replaces the whole log by a snapshot.
func (l *replicaLog) install(index uint64, term Term) {
	l.tail = nil
	l.bytes = 0
	l.tailFirst = index + 1
	l.baseIndex = index
	l.baseTerm = term
	l.persisted = index
	l.taken = index
	l.commit = index
	l.applied = index
}
