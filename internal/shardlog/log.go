package shardlog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Log is the disk of one replica: its hard state, its log and the state machine's state. Only Read, Export and the
// methods of staging may be called concurrently with others.
type Log struct {
	store   *Store
	id      ident.Shard
	hard    shard.HardState
	meta    meta
	last    uint64
	applied uint64
	// marks remember how many bytes the log had up to an index, for retention by size.
	marks   []mark
	written uint64
	// generation is that of the state that counts; staging is the last number given to a received state.
	generation atomic.Uint64
	staging    atomic.Uint64
	// receiving keeps a state from being received while the replica is removed; removed says that it was.
	receiving sync.RWMutex
	removed   bool
}

type mark struct{ index, written uint64 }

// markEvery is the number of log bytes between two marks.
const markEvery = 1 << 20

// Log opens the replica of a shard, or creates an empty one.
func (s *Store) Log(id ident.Shard) (*Log, error) {
	log := &Log{store: s, id: id}
	if err := log.load(); err != nil {
		return nil, fmt.Errorf("shard %d: %w", id, err)
	}
	return log, nil
}

func (l *Log) load() error {
	// The hard state of a removed replica stays: it still refuses older epochs when it is added again.
	if err := l.loadHardState(); err != nil {
		return err
	}
	stored, err := l.store.get(shardKey(spaceMeta, l.id))
	if err != nil {
		return err
	}
	if stored == nil {
		return l.create()
	}
	if l.meta, err = decodeMeta(stored); err != nil {
		return err
	}
	if err := l.loadLast(); err != nil {
		return err
	}
	if err := l.loadApplied(); err != nil {
		return err
	}
	l.generation.Store(l.meta.generation)
	l.staging.Store(l.meta.generation)
	return l.dropStaged()
}

func (l *Log) create() error {
	l.meta = meta{generation: 1}
	l.generation.Store(1)
	l.staging.Store(1)
	batch := l.store.db.NewBatch()
	// A state may have been on its way when an earlier replica was removed.
	if err := l.clear(batch); err != nil {
		return err
	}
	if err := batch.Set(shardKey(spaceMeta, l.id), l.meta.encode(), nil); err != nil {
		return fmt.Errorf("creating: %w: %w", ErrDisk, err)
	}
	return l.commit(batch, pebble.Sync)
}

func (l *Log) loadHardState() error {
	stored, err := l.store.get(shardKey(spaceHard, l.id))
	if err != nil || stored == nil {
		return err
	}
	if err := json.Unmarshal(stored, &l.hard); err != nil {
		return fmt.Errorf("hard state: %w: %w", ErrCorrupt, err)
	}
	return nil
}

func (l *Log) loadLast() error {
	l.last = l.meta.base
	prefix := shardKey(spaceLog, l.id)
	iterator, err := l.store.db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: after(prefix)})
	if err != nil {
		return fmt.Errorf("finding the end of the log: %w: %w", ErrDisk, err)
	}
	if iterator.Last() {
		l.last = max(l.last, indexOfKey(iterator.Key()))
	}
	if err := iterator.Close(); err != nil {
		return fmt.Errorf("finding the end of the log: %w: %w", ErrDisk, err)
	}
	return nil
}

func (l *Log) loadApplied() error {
	stored, err := l.store.get(l.appliedKey(l.meta.generation))
	if err != nil || stored == nil {
		return err
	}
	l.applied, err = decodeNumber(stored)
	return err
}

// dropStaged removes what an interrupted snapshot or installation left behind.
func (l *Log) dropStaged() error {
	batch := l.store.db.NewBatch()
	for _, space := range []byte{spaceState, spaceApplied} {
		all := shardKey(space, l.id)
		current := numberedKey(space, l.id, l.meta.generation)
		if err := batch.DeleteRange(all, current, nil); err != nil {
			return fmt.Errorf("dropping staged state: %w: %w", ErrDisk, err)
		}
		if err := batch.DeleteRange(after(current), after(all), nil); err != nil {
			return fmt.Errorf("dropping staged state: %w: %w", ErrDisk, err)
		}
	}
	return l.commit(batch, pebble.NoSync)
}

func (l *Log) commit(batch *pebble.Batch, options *pebble.WriteOptions) error {
	if err := batch.Commit(options); err != nil {
		return fmt.Errorf("shard %d: writing: %w: %w", l.id, ErrDisk, err)
	}
	return nil
}

func (l *Log) appliedKey(generation uint64) []byte {
	return numberedKey(spaceApplied, l.id, generation)
}

func shardOfKey(key []byte) ident.Shard { return ident.Shard(binary.BigEndian.Uint32(key[1:])) }

func indexOfKey(key []byte) uint64 { return binary.BigEndian.Uint64(key[len(key)-numberBytes:]) }

// HardState returns what was last written.
func (l *Log) HardState() shard.HardState { return l.hard }

// Applied returns the index up to which the state is applied.
func (l *Log) Applied() uint64 { return l.applied }

// FirstIndex implements shard.LogReader.
func (l *Log) FirstIndex() uint64 { return l.meta.base + 1 }

// LastIndex implements shard.LogReader.
func (l *Log) LastIndex() uint64 { return l.last }

// Term implements shard.LogReader.
func (l *Log) Term(index uint64) (shard.Term, error) {
	if index == l.meta.base {
		return l.meta.baseTerm, nil
	}
	value, err := l.store.get(numberedKey(spaceLog, l.id, index))
	if err != nil {
		return shard.Term{}, err
	}
	if value == nil {
		return shard.Term{}, fmt.Errorf("shard %d: entry %d: %w", l.id, index, ErrCompacted)
	}
	return decodeTerm(value)
}

// Entries implements shard.LogReader.
func (l *Log) Entries(low, high uint64, maximumBytes int) ([]shard.Entry, error) {
	if low <= l.meta.base {
		return nil, fmt.Errorf("shard %d: entry %d: %w", l.id, low, ErrCompacted)
	}
	var entries []shard.Entry
	var failed error
	size := 0
	start, end := numberedKey(spaceLog, l.id, low), numberedKey(spaceLog, l.id, high+1)
	err := scan(l.store.db, start, end, func(key, value []byte) bool {
		size += len(value)
		if len(entries) > 0 && size > maximumBytes {
			return false
		}
		term, err := decodeTerm(value)
		if err != nil {
			failed = err
			return false
		}
		entry := shard.Entry{Index: indexOfKey(key), Term: term}
		if len(value) > termBytes {
			entry.Command = append([]byte(nil), value[termBytes:]...)
		}
		entries = append(entries, entry)
		return true
	})
	if err != nil {
		return nil, err
	}
	return entries, failed
}

// Write makes the durable part of an output durable, in one atomic synced batch. Concurrent writes of several replicas
// share a sync.
func (l *Log) Write(output shard.Output) error {
	if !output.NeedsSync() {
		return nil
	}
	batch := l.store.db.NewBatch()
	hard, changed, last := l.hard, l.meta, l.last
	if output.HardState != nil {
		hard = *output.HardState
		if err := l.setHardState(batch, hard); err != nil {
			return err
		}
	}
	if output.Install != nil {
		changed = meta{generation: output.Install.Staging, base: output.Install.Index, baseTerm: output.Install.Term}
		last = changed.base
		if err := l.setInstalled(batch, changed); err != nil {
			return err
		}
	}
	if len(output.Append) > 0 {
		if err := l.setEntries(batch, output.Append, last); err != nil {
			return err
		}
		last = output.Append[len(output.Append)-1].Index
	}
	// Until this sync returns nothing of the output may be told to anybody: a promise or an entry that a crash can
	// undo would be counted by others.
	if err := l.commit(batch, pebble.Sync); err != nil {
		return err
	}
	l.hard, l.meta, l.last = hard, changed, last
	if output.Install != nil {
		l.applied = output.Install.Index
		l.generation.Store(changed.generation)
		l.marks = nil
	}
	return nil
}

func (l *Log) setHardState(batch *pebble.Batch, hard shard.HardState) error {
	encoded, err := json.Marshal(hard)
	if err != nil {
		return fmt.Errorf("hard state: %w", err)
	}
	if err := batch.Set(shardKey(spaceHard, l.id), encoded, nil); err != nil {
		return fmt.Errorf("hard state: %w: %w", ErrDisk, err)
	}
	return nil
}

func (l *Log) setEntries(batch *pebble.Batch, entries []shard.Entry, last uint64) error {
	first := entries[0].Index
	if first <= last {
		start, end := numberedKey(spaceLog, l.id, first), numberedKey(spaceLog, l.id, last+1)
		if err := batch.DeleteRange(start, end, nil); err != nil {
			return fmt.Errorf("truncating: %w: %w", ErrDisk, err)
		}
	}
	for _, entry := range entries {
		encoded := encodeEntry(entry)
		if err := batch.Set(numberedKey(spaceLog, l.id, entry.Index), encoded, nil); err != nil {
			return fmt.Errorf("appending: %w: %w", ErrDisk, err)
		}
		l.written += uint64(len(encoded))
	}
	if len(l.marks) == 0 || l.written-l.marks[len(l.marks)-1].written >= markEvery {
		l.marks = append(l.marks, mark{index: entries[len(entries)-1].Index, written: l.written})
	}
	return nil
}

// Retained returns the first index such that the log from there on takes about the given number of bytes, as far as
// was written since the start.
func (l *Log) Retained(bytes uint64) uint64 {
	retained := uint64(0)
	for _, passed := range l.marks {
		if passed.written+bytes >= l.written {
			break
		}
		retained = passed.index
	}
	return retained
}

// Compact drops entries up to index, which must be applied. The write need not be synced: it stands in the write-ahead
// log behind the state that replaces the entries, so no crash can keep the one and lose the other.
func (l *Log) Compact(index uint64) error {
	index = min(index, l.applied)
	if index <= l.meta.base {
		return nil
	}
	term, err := l.Term(index)
	if err != nil {
		return err
	}
	changed := meta{generation: l.meta.generation, base: index, baseTerm: term}
	batch := l.store.db.NewBatch()
	if err := batch.DeleteRange(shardKey(spaceLog, l.id), numberedKey(spaceLog, l.id, index+1), nil); err != nil {
		return fmt.Errorf("compacting: %w: %w", ErrDisk, err)
	}
	if err := batch.Set(shardKey(spaceMeta, l.id), changed.encode(), nil); err != nil {
		return fmt.Errorf("compacting: %w: %w", ErrDisk, err)
	}
	if err := l.commit(batch, pebble.NoSync); err != nil {
		return err
	}
	l.meta = changed
	for len(l.marks) > 0 && l.marks[0].index <= index {
		l.marks = l.marks[1:]
	}
	return nil
}
