package shardlog

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// TestCloseWaitsForReadings closes a store while a reading of a shard is open, as a host does that ends while a caller reads. The reading
// goes on to its end; one that would begin later, or bytes of a state that arrive later, are refused.
func TestCloseWaitsForReadings(t *testing.T) {
	store, err := Open("/data", Options{FS: vfs.NewMem()})
	assert.NilError(t, err)
	log, err := store.Log(1)
	assert.NilError(t, err)
	_, err = log.Apply(putMachine{}, []shard.Entry{{Index: 1, Command: []byte("a")}})
	assert.NilError(t, err)
	staged := log.Stage()
	view, err := log.View()
	assert.NilError(t, err)
	closed := make(chan error, 1)
	go func() { closed <- store.Close() }()
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		later, err := log.View()
		if begun = err != nil; begun {
			assert.ErrorIs(t, err, ErrClosed)
			continue
		}
		assert.NilError(t, later.Close())
	}
	assert.ErrorIs(t, staged.Add([]Pair{{Key: []byte("b"), Value: []byte("b")}}), ErrClosed)
	assert.ErrorIs(t, staged.Discard(), ErrClosed)
	_, err = log.Bytes()
	assert.ErrorIs(t, err, ErrClosed)
	select {
	case err := <-closed:
		t.Fatalf("the store closed under an open reading: %v", err)
	default:
	}
	found := 0
	assert.NilError(t, view.Reader().Scan(nil, nil, func(_, _ []byte) bool { found++; return true }))
	assert.Equal(t, found, 1)
	assert.NilError(t, view.Close())
	assert.NilError(t, <-closed)
}
