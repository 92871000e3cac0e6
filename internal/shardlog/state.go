package shardlog

import (
	"fmt"

	"github.com/cockroachdb/pebble"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// transaction gives a state machine its part of the store: the keys of one shard and generation.
type transaction struct {
	reader pebble.Reader
	batch  *pebble.Batch
	prefix []byte
}

var _ shard.Transaction = (*transaction)(nil)

// Get implements shard.Reader.
func (t *transaction) Get(key []byte) ([]byte, error) { return get(t.reader, stateKey(t.prefix, key)) }

// Scan implements shard.Reader.
func (t *transaction) Scan(start, end []byte, visit func(key, value []byte) bool) error {
	return scan(t.reader, stateKey(t.prefix, start), t.end(end), func(key, value []byte) bool {
		return visit(key[len(t.prefix):], value)
	})
}

// end bounds a range of the state machine; nil means all that follows.
func (t *transaction) end(key []byte) []byte {
	if key == nil {
		return after(t.prefix)
	}
	return stateKey(t.prefix, key)
}

// Set implements shard.Transaction.
func (t *transaction) Set(key, value []byte) error {
	if err := t.batch.Set(stateKey(t.prefix, key), value, nil); err != nil {
		return fmt.Errorf("setting: %w: %w", ErrDisk, err)
	}
	return nil
}

// Delete implements shard.Transaction.
func (t *transaction) Delete(key []byte) error {
	if err := t.batch.Delete(stateKey(t.prefix, key), nil); err != nil {
		return fmt.Errorf("deleting: %w: %w", ErrDisk, err)
	}
	return nil
}

// DeleteRange implements shard.Transaction.
func (t *transaction) DeleteRange(start, end []byte) error {
	if err := t.batch.DeleteRange(stateKey(t.prefix, start), t.end(end), nil); err != nil {
		return fmt.Errorf("deleting a range: %w: %w", ErrDisk, err)
	}
	return nil
}

// Apply applies committed entries and returns the replies, one per entry. The writes are not synced: the log is, and
// after a crash the entries behind the stored applied index are applied again. State and applied index change in one
// batch, so none is applied twice.
func (l *Log) Apply(machine shard.Machine, entries []shard.Entry) ([][]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	batch := l.store.db.NewIndexedBatch()
	defer func() { _ = batch.Close() }()
	state := &transaction{reader: batch, batch: batch, prefix: numberedKey(spaceState, l.id, l.meta.generation)}
	replies := make([][]byte, len(entries))
	for position, entry := range entries {
		if len(entry.Command) == 0 {
			continue
		}
		reply, err := machine.Apply(state, entry.Index, entry.Command)
		if err != nil {
			return nil, fmt.Errorf("shard %d: applying entry %d: %w", l.id, entry.Index, err)
		}
		replies[position] = reply
	}
	last := entries[len(entries)-1].Index
	if err := batch.Set(l.appliedKey(l.meta.generation), encodeNumber(last), nil); err != nil {
		return nil, fmt.Errorf("applied index: %w: %w", ErrDisk, err)
	}
	if err := l.commit(batch, pebble.NoSync); err != nil {
		return nil, err
	}
	l.applied = last
	return replies, nil
}

// View is a consistent reading of the applied state. It must be closed.
type View struct {
	snapshot *pebble.Snapshot
	log      *Log
	prefix   []byte
	applied  []byte
}

// View opens a reading of the state as it is now. The store closes after it.
func (l *Log) View() (*View, error) {
	if err := l.store.uses.begin(); err != nil {
		return nil, fmt.Errorf("shard %d: reading: %w", l.id, err)
	}
	generation := l.generation.Load()
	return &View{
		snapshot: l.store.db.NewSnapshot(), log: l,
		prefix: numberedKey(spaceState, l.id, generation), applied: l.appliedKey(generation),
	}, nil
}

// Reader returns the state.
func (v *View) Reader() shard.Reader { return &transaction{reader: v.snapshot, prefix: v.prefix} }

// Close releases the reading.
func (v *View) Close() error {
	defer v.log.store.uses.end()
	if err := v.snapshot.Close(); err != nil {
		return fmt.Errorf("closing a view: %w: %w", ErrDisk, err)
	}
	return nil
}

// Position returns the index and term of the last entry in the state of the view.
func (v *View) Position() (index uint64, term shard.Term, err error) {
	stored, err := get(v.snapshot, v.applied)
	if err != nil || stored == nil {
		return 0, shard.Term{}, err
	}
	if index, err = decodeNumber(stored); err != nil {
		return 0, shard.Term{}, err
	}
	entry, err := get(v.snapshot, numberedKey(spaceLog, v.log.id, index))
	if err != nil {
		return 0, shard.Term{}, err
	}
	if entry != nil {
		term, err = decodeTerm(entry)
		return index, term, err
	}
	encoded, err := get(v.snapshot, shardKey(spaceMeta, v.log.id))
	if err != nil {
		return 0, shard.Term{}, err
	}
	base, err := decodeMeta(encoded)
	if err == nil && base.base != index {
		err = fmt.Errorf("entry %d at the end of the state: %w", index, ErrCorrupt)
	}
	return index, base.baseTerm, err
}
