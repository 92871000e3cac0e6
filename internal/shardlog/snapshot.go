package shardlog

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/pebble"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// Pair is a key of the state machine with its value.
type Pair struct{ Key, Value []byte }

// Export gives the state of the view behind a key (nil for all of it) to send, in chunks of about chunkBytes. The pairs are only valid during the call.
// Memory stays bounded by a chunk.
func (v *View) Export(behind []byte, chunkBytes int, send func(pairs []Pair) error) error {
	var chunk []Pair
	var failed error
	size := 0
	flush := func() bool {
		if len(chunk) > 0 {
			failed = send(chunk)
		}
		chunk, size = chunk[:0], 0
		return failed == nil
	}
	var start []byte
	if behind != nil {
		start = append(bytes.Clone(behind), 0)
	}
	err := v.Reader().Scan(start, nil, func(key, value []byte) bool {
		chunk = append(chunk, Pair{Key: append([]byte(nil), key...), Value: append([]byte(nil), value...)})
		size += len(key) + len(value)
		return size < chunkBytes || flush()
	})
	if err != nil {
		return err
	}
	if failed == nil {
		flush()
	}
	return failed
}

// Staged is a state being received. It replaces the replica's own when an output installs it.
type Staged struct {
	log    *Log
	number uint64
}

// Stage begins to receive a state, beside the present one.
func (l *Log) Stage() *Staged { return &Staged{log: l, number: l.staging.Add(1)} }

// Number is the shard.Snapshot's Staging.
func (s *Staged) Number() uint64 { return s.number }

// Add stores a chunk. It is not synced: the installation is, and it follows in the same write-ahead log.
func (s *Staged) Add(pairs []Pair) error {
	s.log.receiving.RLock()
	defer s.log.receiving.RUnlock()
	if s.log.removed {
		return fmt.Errorf("shard %d: staging for a removed replica: %w", s.log.id, ErrCompacted)
	}
	if err := s.log.store.uses.begin(); err != nil {
		return fmt.Errorf("shard %d: staging: %w", s.log.id, err)
	}
	defer s.log.store.uses.end()
	batch := s.log.store.db.NewBatch()
	prefix := numberedKey(spaceState, s.log.id, s.number)
	for _, pair := range pairs {
		if err := batch.Set(stateKey(prefix, pair.Key), pair.Value, nil); err != nil {
			return fmt.Errorf("staging: %w: %w", ErrDisk, err)
		}
	}
	return s.log.commit(batch, pebble.NoSync)
}

// Discard drops a state that will not be installed.
func (s *Staged) Discard() error {
	s.log.receiving.RLock()
	defer s.log.receiving.RUnlock()
	if s.log.removed {
		return nil
	}
	if err := s.log.store.uses.begin(); err != nil {
		return fmt.Errorf("shard %d: discarding: %w", s.log.id, err)
	}
	defer s.log.store.uses.end()
	batch := s.log.store.db.NewBatch()
	prefix := numberedKey(spaceState, s.log.id, s.number)
	if err := batch.DeleteRange(prefix, after(prefix), nil); err != nil {
		return fmt.Errorf("discarding: %w: %w", ErrDisk, err)
	}
	return s.log.commit(batch, pebble.NoSync)
}

// setInstalled makes a staged state the one that counts and empties the log.
func (l *Log) setInstalled(batch *pebble.Batch, changed meta) error {
	old := numberedKey(spaceState, l.id, l.meta.generation)
	wholeLog := shardKey(spaceLog, l.id)
	steps := []error{
		batch.Set(shardKey(spaceMeta, l.id), changed.encode(), nil),
		batch.Set(l.appliedKey(changed.generation), encodeNumber(changed.base), nil),
		batch.Delete(l.appliedKey(l.meta.generation), nil),
		batch.DeleteRange(wholeLog, after(wholeLog), nil),
		batch.DeleteRange(old, after(old), nil),
	}
	for _, err := range steps {
		if err != nil {
			return fmt.Errorf("installing: %w: %w", ErrDisk, err)
		}
	}
	return nil
}

// Remove deletes the replica's log and state from the disk and leaves the tombstone in their place, in one synced write.
// It is only for a replica that is no member of the newest set, and the last use of this Log.
func (l *Log) Remove(tombstone shard.HardState) error {
	l.receiving.Lock()
	defer l.receiving.Unlock()
	l.removed = true
	batch := l.store.db.NewBatch()
	if err := l.clear(batch); err != nil {
		return err
	}
	if err := l.setHardState(batch, tombstone); err != nil {
		return err
	}
	return l.commit(batch, pebble.Sync)
}

// clear deletes all but the hard state.
func (l *Log) clear(batch *pebble.Batch) error {
	for _, space := range []byte{spaceMeta, spaceApplied, spaceLog, spaceState} {
		prefix := shardKey(space, l.id)
		if err := batch.DeleteRange(prefix, after(prefix), nil); err != nil {
			return fmt.Errorf("removing: %w: %w", ErrDisk, err)
		}
	}
	return nil
}

// Bytes estimates the disk space of the replica's log and state.
func (l *Log) Bytes() (uint64, error) {
	if err := l.store.uses.begin(); err != nil {
		return 0, fmt.Errorf("shard %d: measuring: %w", l.id, err)
	}
	defer l.store.uses.end()
	total := uint64(0)
	for _, space := range []byte{spaceLog, spaceState} {
		prefix := shardKey(space, l.id)
		size, err := l.store.db.EstimateDiskUsage(prefix, after(prefix))
		if err != nil {
			return 0, fmt.Errorf("measuring: %w: %w", ErrDisk, err)
		}
		total += size
	}
	return total, nil
}

func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

var _ shard.LogReader = (*Log)(nil)
