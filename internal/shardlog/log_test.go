package shardlog

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/pebble/vfs"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shard/shardtest"
)

type putMachine struct{}

func (putMachine) Apply(transaction shard.Transaction, index uint64, command []byte) ([]byte, error) {
	key := []byte(fmt.Sprintf("k%d", index%7))
	if command[0]%5 == 0 {
		return command, transaction.DeleteRange([]byte("k2"), []byte("k4"))
	}
	return command, transaction.Set(key, command)
}

// openStrict opens a store on a file system that forgets unsynced writes in a crash.
func openStrict(t assert.TestingT, fs *vfs.MemFS) (*Store, *Log) {
	store, err := Open("/data", Options{FS: fs})
	assert.NilError(t, err)
	log, err := store.Log(3)
	assert.NilError(t, err)
	return store, log
}

func entriesOf(first, last uint64, round uint64) []shard.Entry {
	var entries []shard.Entry
	for index := first; index <= last; index++ {
		command := []byte(fmt.Sprintf("%c%d-%d", byte('a'+index%20), round, index))
		entries = append(entries, shard.Entry{Index: index, Term: shard.Term{Epoch: 1, Round: round}, Command: command})
	}
	return entries
}

// TestCrashKeepsWhatWasSynced runs random writes, applications, compactions and crashes against a model. It failed with
// pebble.NoSync in Write, and with the applied index outside the batch of Apply.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := vfs.NewStrictMem()
		store, log := openStrict(t, fs)
		incarnation := store.Incarnation()
		var synced []shard.Entry
		round := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				round++
				first := rapid.Uint64Range(log.Applied()+1, log.LastIndex()+1).Draw(t, "first")
				added := entriesOf(first, first+rapid.Uint64Range(0, 5).Draw(t, "count"), round)
				hard := shard.HardState{Term: shard.Term{Epoch: 1, Round: round}}
				assert.NilError(t, log.Write(shard.Output{HardState: &hard, Append: added}))
				synced = append(synced[:first-1:first-1], added...)
			},
			"apply": func(t *rapid.T) {
				last := rapid.Uint64Range(log.Applied(), log.LastIndex()).Draw(t, "last")
				_, err := log.Apply(putMachine{}, synced[log.Applied():last])
				assert.NilError(t, err)
			},
			"compact": func(t *rapid.T) {
				assert.NilError(t, log.Compact(rapid.Uint64Range(0, log.Applied()).Draw(t, "index")))
			},
			"crash": func(*rapid.T) {
				fs.SetIgnoreSyncs(true)
				assert.NilError(t, store.Close())
				fs.ResetToSyncedState()
				fs.SetIgnoreSyncs(false)
				store, log = openStrict(t, fs)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, store.Incarnation(), incarnation)
				checkAgainst(t, log, synced)
				if len(synced) > 0 {
					assert.Equal(t, log.HardState().Term.Round, round)
				}
			},
		})
		assert.NilError(t, store.Close())
	})
}

func checkAgainst(t *rapid.T, log *Log, synced []shard.Entry) {
	assert.Equal(t, log.LastIndex(), uint64(len(synced)))
	if log.FirstIndex() <= log.LastIndex() {
		entries, err := log.Entries(log.FirstIndex(), log.LastIndex(), 1<<20)
		assert.NilError(t, err)
		assert.DeepEqual(t, entries, synced[log.FirstIndex()-1:])
	}
	assert.Assert(t, log.Applied()+1 >= log.FirstIndex())
	expected := shardtest.NewState()
	for _, entry := range synced[:log.Applied()] {
		_, err := putMachine{}.Apply(expected, entry.Index, entry.Command)
		assert.NilError(t, err)
	}
	assert.Assert(t, stateOf(t, log).Equal(expected), "state at %d", log.Applied())
}

func stateOf(t assert.TestingT, log *Log) *shardtest.State {
	state := shardtest.NewState()
	view, err := log.View()
	assert.NilError(t, err)
	err = view.Reader().Scan(nil, nil, func(key, value []byte) bool { return state.Set(key, value) == nil })
	assert.NilError(t, err)
	assert.NilError(t, view.Close())
	return state
}

func TestSnapshotReplacesState(t *testing.T) {
	_, source := openStrict(t, vfs.NewStrictMem())
	assert.NilError(t, source.Write(shard.Output{Append: entriesOf(1, 50, 2)}))
	_, err := source.Apply(putMachine{}, entriesOf(1, 40, 2))
	assert.NilError(t, err)
	assert.NilError(t, source.Compact(40))

	fs := vfs.NewStrictMem()
	store, target := openStrict(t, fs)
	assert.NilError(t, target.Write(shard.Output{Append: entriesOf(1, 9, 1)}))
	_, err = target.Apply(putMachine{}, entriesOf(1, 5, 1))
	assert.NilError(t, err)

	view, err := source.View()
	assert.NilError(t, err)
	index, term, err := view.Position()
	assert.NilError(t, err)
	assert.Equal(t, index, uint64(40))
	staged := target.Stage()
	assert.NilError(t, view.Export(nil, 8, staged.Add))
	assert.NilError(t, view.Close())
	assert.Equal(t, target.Applied(), uint64(5))

	installed := shard.Snapshot{Index: index, Term: term, Staging: staged.Number()}
	assert.NilError(t, target.Write(shard.Output{Install: &installed, Append: entriesOf(41, 43, 2)}))
	fs.SetIgnoreSyncs(true)
	assert.NilError(t, store.Close())
	fs.ResetToSyncedState()
	fs.SetIgnoreSyncs(false)
	_, target = openStrict(t, fs)
	assert.Equal(t, target.Applied(), uint64(40))
	assert.Equal(t, target.FirstIndex(), uint64(41))
	assert.Equal(t, target.LastIndex(), uint64(43))
	assert.Assert(t, stateOf(t, target).Equal(stateOf(t, source)))
}

func TestWipedFolderHasAnotherIncarnation(t *testing.T) {
	first, _ := openStrict(t, vfs.NewStrictMem())
	second, _ := openStrict(t, vfs.NewStrictMem())
	assert.Assert(t, !bytes.Equal([]byte(first.Incarnation()), []byte(second.Incarnation())))
}
