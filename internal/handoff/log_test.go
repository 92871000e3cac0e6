package handoff_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

const logCapacity = 1 << 20

var accepted = time.UnixMilli(1_000_000)

func entry(job string, turn int) *handoff.Entry {
	submission := &jobrecord.Submission{ID: ident.Job(job), Route: "r", Host: "h", Zone: "z", Items: []work.Item{
		{ID: ident.Request(job + "-0"), Path: "/p/x", Tokens: 10, Body: []byte("first body")},
		{ID: ident.Request(job + "-1"), Path: "/p/y", Headers: map[string]string{"A": "b"}, Tokens: 20, Body: []byte{0, 255}},
	}}
	return handoff.NewEntry(submission, accepted, turn)
}

func openLog(t *testing.T, folder string) *handoff.Log {
	t.Helper()
	log, err := handoff.Open(folder, logCapacity)
	assert.NilError(t, err)
	return log
}

// TestEntriesOutliveTheProcess opens the folder again after entries were put, and expects them unchanged.
func TestEntriesOutliveTheProcess(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "handoff")
	log := openLog(t, folder)
	assert.NilError(t, log.Put(entry("a", 1)))
	assert.NilError(t, log.Put(entry("b", 0)))
	assert.NilError(t, log.Put(entry("a", 0)), "an entry may come again")
	log.Remove("b")

	again := openLog(t, folder)
	assert.Assert(t, again.Has("a") && !again.Has("b"))
	assert.Equal(t, again.Tokens(jobrecord.Queue{Route: "r"}), 30)
	loaded, err := again.Load("a")
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, entry("a", 1))
	assert.DeepEqual(t, loaded.Submission().Items[1].Body, []byte{0, 255})
}

// TestTornFilesAreNoEntries truncates a file, and leaves one that was never renamed: neither was acknowledged.
func TestTornFilesAreNoEntries(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, openLog(t, folder).Put(entry("a", 0)))
	files, err := os.ReadDir(folder)
	assert.NilError(t, err)
	path := filepath.Join(folder, files[0].Name())
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for length := range whole {
		assert.NilError(t, os.WriteFile(path, whole[:length], 0o600))
		assert.Assert(t, !openLog(t, folder).Has("a"), "%d of %d bytes", length, len(whole))
	}
	assert.NilError(t, os.WriteFile(path+".partial", whole, 0o600))
	assert.Equal(t, len(openLog(t, folder).Entries()), 0)
}

func TestFullFolderRefuses(t *testing.T) {
	log, err := handoff.Open(t.TempDir(), 400)
	assert.NilError(t, err)
	assert.NilError(t, log.Put(entry("a", 0)))
	assert.ErrorIs(t, log.Put(entry("b", 0)), handoff.ErrFull)
	assert.Assert(t, !log.Has("b"))
	log.Remove("a")
	assert.NilError(t, log.Put(entry("b", 0)))
}

// delivery is a deliverer with a store that can fail.
type delivery struct {
	*handoff.Deliverer
	store   *kvtest.Paged
	records *jobrecord.Records
	now     time.Time
}

func newDelivery(t *testing.T, data *kvtest.Data) *delivery {
	store := kvtest.NewPaged(data)
	d := &delivery{store: store, now: accepted.Add(time.Second)}
	d.records = &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: func() time.Time { return d.now }}
	d.Deliverer = &handoff.Deliverer{
		Log: openLog(t, t.TempDir()), Store: d.records, Lifetime: time.Minute, Logger: zerolog.Nop(), Now: func() time.Time { return d.now },
	}
	return d
}

// TestJobIsHandedOverOnceTheStoreIsBack has an entry retained through an outage and through a write whose answer was
// lost.
func TestJobIsHandedOverOnceTheStoreIsBack(t *testing.T) {
	ctx := context.Background()
	d := newDelivery(t, kvtest.NewData(time.Now))
	assert.NilError(t, d.Log.Put(entry("a", 0)))
	d.store.SetFaults(kvtest.PagedFaults{Down: true})
	for range 5 {
		d.Round(ctx)
	}
	assert.Assert(t, d.Log.Has("a"))
	d.store.SetFaults(kvtest.PagedFaults{LoseNext: 1})
	d.Round(ctx)
	assert.Assert(t, d.Log.Has("a"), "the store did not say that it has the job")
	d.Round(ctx)
	assert.Assert(t, !d.Log.Has("a"))
	header, err := d.records.Header(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, header.SubmittedMs, accepted.UnixMilli(), "the job is due by its acceptance, not by its delivery")
}

// TestLaterTurnsLeaveTheJobToEarlierOnes has three workers store a job: only one of them writes it to the store.
func TestLaterTurnsLeaveTheJobToEarlierOnes(t *testing.T) {
	ctx := context.Background()
	data := kvtest.NewData(time.Now)
	var workers []*delivery
	for turn := range 3 {
		worker := newDelivery(t, data)
		assert.NilError(t, worker.Log.Put(entry("a", turn)))
		workers = append(workers, worker)
	}
	for range 3 {
		for _, worker := range workers {
			worker.Round(ctx)
		}
	}
	for turn, worker := range workers {
		assert.Assert(t, !worker.Log.Has("a"))
		calls := 2
		if turn > 0 {
			calls = 1
		}
		assert.Equal(t, worker.store.Calls(), calls, "turn %d", turn)
	}
}

// TestJobThatIsKnownToBeTakenCostsNoCall
//
// The load is one job that four workers store, the number that is asked at once if two disks may be lost. The aim is that
// only the worker that delivers the job calls the store if the others have seen the job among the open ones before their
// turn; a worker that has not seen it still asks.
func TestJobThatIsKnownToBeTakenCostsNoCall(t *testing.T) {
	ctx := context.Background()
	data := kvtest.NewData(time.Now)
	taken := map[ident.Job]bool{}
	for turn, calls := range []int{2, 0, 0, 0} {
		worker := newDelivery(t, data)
		worker.KnownAccepted = func(job ident.Job) bool { return taken[job] }
		assert.NilError(t, worker.Log.Put(entry("a", turn)))
		for range turn + 1 {
			assert.Assert(t, worker.Log.Has("a"))
			worker.Round(ctx)
		}
		assert.Assert(t, !worker.Log.Has("a"))
		assert.Equal(t, worker.store.Calls(), calls, "turn %d", turn)
		taken["a"] = true
	}
	unaware := newDelivery(t, data)
	unaware.KnownAccepted = func(ident.Job) bool { return false }
	assert.NilError(t, unaware.Log.Put(entry("a", 0)))
	unaware.Round(ctx)
	assert.Assert(t, !unaware.Log.Has("a"))
	assert.Equal(t, unaware.store.Calls(), 1)
}

// TestLastCopyIsHandedOverToo has only the worker with the last turn left.
func TestLastCopyIsHandedOverToo(t *testing.T) {
	d := newDelivery(t, kvtest.NewData(time.Now))
	assert.NilError(t, d.Log.Put(entry("a", 2)))
	for range 3 {
		assert.Assert(t, d.Log.Has("a"))
		d.Round(context.Background())
	}
	assert.Assert(t, !d.Log.Has("a"))
}

// TestOldJobIsNotBroughtBack drops a job that the store may have had and since forgotten.
func TestOldJobIsNotBroughtBack(t *testing.T) {
	ctx := context.Background()
	d := newDelivery(t, kvtest.NewData(time.Now))
	assert.NilError(t, d.Log.Put(entry("a", 0)))
	d.now = accepted.Add(time.Minute + time.Second)
	d.Round(ctx)
	assert.Assert(t, !d.Log.Has("a"))
	_, err := d.records.Header(ctx, "a")
	assert.ErrorIs(t, err, jobrecord.ErrNoSuchJob)
}

// TestEndedJobIsNotBroughtBack ends a job that one worker delivered while another one still stores it.
func TestEndedJobIsNotBroughtBack(t *testing.T) {
	ctx := context.Background()
	data := kvtest.NewData(time.Now)
	first, second := newDelivery(t, data), newDelivery(t, data)
	for turn, worker := range []*delivery{first, second} {
		assert.NilError(t, worker.Log.Put(entry("a", turn)))
	}
	first.Round(ctx)
	header, err := first.records.Header(ctx, "a")
	assert.NilError(t, err)
	assert.NilError(t, first.records.End(ctx, header))
	for range 3 {
		second.Round(ctx)
	}
	open, _, err := second.records.ListOpen(ctx)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(open), "[]")
	assert.Assert(t, !second.Log.Has("a"))
}
