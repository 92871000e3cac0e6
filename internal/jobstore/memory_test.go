package jobstore

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard/shardtest"
)

// storedJob writes what a leader loads of a job of one service whose input has 350 lines a chunk.
func storedJob(t *testing.T, items uint32) *shardtest.State {
	const linesOfChunk = 350
	state := shardtest.NewState()
	chunks := (items + linesOfChunk - 1) / linesOfChunk
	record := &pb.JobRecord{Id: "batch_1", Tenant: "petrovi", InputFile: "file-1", Total: items, Chunks: chunks, Indexed: chunks}
	assert.NilError(t, save(state, idKey(spaceJob, record.GetId()), record))
	for number := range chunks {
		first := number * linesOfChunk
		lines := min(linesOfChunk, items-first)
		assert.NilError(t, save(state, numberKey(spaceChunkRecord, "file-1", number), &pb.ChunkRecord{Lines: lines}))
		runs := []*pb.ItemRun{{First: first, Count: lines, Service: "stock"}}
		assert.NilError(t, save(state, numberKey(spaceIndex, "batch_1", number), &pb.IndexRecord{Runs: runs}))
	}
	return state
}

// TestLeaderMemoryOfAJob measures what a leader keeps of an unfinished job and bounds it.
func TestLeaderMemoryOfAJob(t *testing.T) {
	const copies = 32
	for _, items := range []uint32{1_000, 10_000, 40_000, 130_000} {
		state := storedJob(t, items)
		kept := make([]*activeJob, copies)
		before := heapBytes()
		for number := range kept {
			job, err := loadActiveJob(state, "batch_1")
			assert.NilError(t, err)
			kept[number] = job
		}
		each := (heapBytes() - before) / copies
		t.Logf("items=%d bytes/job=%d bytes/item=%.3f", items, each, float64(each)/float64(items))
		const fixed, perItem = 4096, 0.5
		assert.Assert(t, float64(each) < fixed+perItem*float64(items), "%d bytes", each)
		assert.Equal(t, kept[0].services[0].waiting, int(items))
		runtime.KeepAlive(kept)
		runtime.KeepAlive(state)
	}
}

// TestIndexingMemory measures what a leader holds while it indexes one job.
func TestIndexingMemory(t *testing.T) {
	const items = 130_000
	before := heapBytes()
	x := &indexer{seen: map[customIdentity]struct{}{}}
	for number := range items {
		assert.Assert(t, !x.duplicate(fmt.Sprint("item-", number)))
	}
	held := heapBytes() - before
	t.Logf("items=%d bytes=%d", items, held)
	const bound = 8 << 20
	assert.Assert(t, held < bound, "%d bytes", held)
	assert.Assert(t, x.duplicate("item-7"))
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
