package progress_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/progress"
)

func open(t *testing.T, folder string, maxBytes int64) *progress.Journal {
	t.Helper()
	journal, err := progress.OpenJournal(folder, maxBytes, start)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = journal.Close() })
	return journal
}

func keep(t *testing.T, journal *progress.Journal, updates ...*progress.Update) []ident.Request {
	t.Helper()
	var all []progress.Update
	for _, one := range updates {
		all = append(all, *one)
	}
	gaps, err := journal.Store(all, start)
	assert.NilError(t, err)
	return gaps
}

// TestOutputOutlivesTheProcess opens the journal several times without closing it, as after the process was killed.
func TestOutputOutlivesTheProcess(t *testing.T) {
	folder := t.TempDir()
	journal := open(t, folder, 1<<20)
	keep(t, journal, update("a", 0, 1, "one"), update("b", 0, 1, "first"))
	keep(t, journal, update("a", 3, 2, "\ntwo"))
	for range 3 {
		journal = open(t, folder, 1<<20)
		assert.Equal(t, len(journal.Outputs("j")), 2)
	}
	assert.DeepEqual(t, keep(t, journal, update("a", 1, 3, "?")), []ident.Request{"a"})
	assert.Equal(t, len(keep(t, journal, update("a", 7, 3, "\nthree"))), 0)
	found := map[ident.Request]string{}
	for _, stored := range open(t, folder, 1<<20).Outputs("j") {
		found[stored.Item] = fmt.Sprint(stored.LastEvent, " ", string(stored.Text))
	}
	assert.DeepEqual(t, found, map[ident.Request]string{"a": "3 one\ntwo\nthree", "b": "1 first"})
}

// TestReadingStopsAtACorruptLine truncates the file and flips a bit at each byte. The output that is read back must
// always be a valid prefix.
func TestReadingStopsAtACorruptLine(t *testing.T) {
	folder := t.TempDir()
	journal := open(t, folder, 1<<20)
	keep(t, journal, update("a", 0, 1, "one"))
	keep(t, journal, update("a", 3, 2, "\ntwo"))
	content, err := os.ReadFile(filepath.Join(folder, "outputs"))
	assert.NilError(t, err)
	for position := range content {
		flipped := append([]byte(nil), content...)
		flipped[position] ^= 0x01
		for _, corrupt := range [][]byte{content[:position], flipped} {
			damaged := t.TempDir()
			assert.NilError(t, os.WriteFile(filepath.Join(damaged, "outputs"), corrupt, 0o600))
			for _, stored := range open(t, damaged, 1<<20).Outputs("j") {
				texts := map[int64]string{0: "", 1: "one", 2: "one\ntwo"}
				assert.Equal(t, string(stored.Text), texts[stored.LastEvent])
			}
		}
	}
}

// TestFileStaysWithinItsBound writes many times the maximum size of the file.
func TestFileStaysWithinItsBound(t *testing.T) {
	folder := t.TempDir()
	const maxBytes = 8 << 10
	journal := open(t, folder, maxBytes)
	for job := range 100 {
		one := update("a", 0, 1, string(make([]byte, 500)))
		one.Job = ident.Job(fmt.Sprint(job))
		keep(t, journal, one)
		info, err := os.Stat(filepath.Join(folder, "outputs"))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() <= maxBytes, "%d bytes", info.Size())
	}
}
