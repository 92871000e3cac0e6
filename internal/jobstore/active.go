package jobstore

import (
	"fmt"
	"slices"
	"sort"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// activeJob is what the leader remembers of an unfinished job: a bit for each item, and runs of items by service. The
// items themselves stay in the store.
type activeJob struct {
	// id to chunkEnds and fragments never change.
	id, tenant, inputFile, endpoint string
	total                           uint32
	created, deadline               int64
	// chunkEnds holds, for each chunk of the input file, the number of lines up to its end.
	chunkEnds []uint32
	fragments map[uint32]bool

	// record is the newest record the leader has seen. It and what follows are guarded by the server's mutex.
	record *pb.JobRecord
	// indexed counts the chunks whose items are in runs.
	indexed  uint32
	runs     []itemRun
	services []*serviceItems
	// busy holds the items that are leased or have a result.
	busy bitmap
	// leases counts the leases of the job that are held.
	leases int
	// inherited says that an earlier leader may have leased items of the job.
	inherited bool
}

// itemRun is a run of indexed items of one service.
type itemRun struct {
	first, end    uint32
	service       uint16
	notRepeatable bool
}

// serviceItems are a job's items of one service.
type serviceItems struct {
	name    string
	waiting int
	// cursor is at most the least item of the service that is not busy.
	cursor uint32
}

// loadActiveJobs loads every unfinished job, with the items that are marked as started by the lease that did.
func loadActiveJobs(reader shard.Reader, visit func(job *activeJob, started map[string][]uint32)) error {
	ids, err := activeJobs(reader)
	if err != nil {
		return err
	}
	for _, id := range ids {
		job, err := loadActiveJob(reader, id)
		if err != nil {
			return err
		}
		started, err := startedItems(reader, id)
		if err != nil {
			return err
		}
		visit(job, started)
	}
	return nil
}

// activeJobs lists the unfinished jobs, oldest first.
func activeJobs(reader shard.Reader) ([]string, error) {
	var ids []string
	start, end := spaceRange(spaceActive)
	err := reader.Scan(start, end, func(key, _ []byte) bool {
		ids = append(ids, string(key[1:]))
		return true
	})
	return ids, err
}

// loadActiveJob loads what the leader remembers of a job.
func loadActiveJob(reader shard.Reader, id string) (*activeJob, error) {
	record, err := loadJob(reader, "", id)
	if err != nil {
		return nil, err
	}
	if record == nil {
		return nil, fmt.Errorf("job %s is active without a record: %w", id, ErrCorrupt)
	}
	job := &activeJob{
		id:        id,
		tenant:    record.GetTenant(),
		inputFile: record.GetInputFile(),
		endpoint:  record.GetEndpoint(),
		total:     record.GetTotal(),
		created:   record.GetCreated(),
		deadline:  record.GetDeadline(),
		fragments: map[uint32]bool{},
		record:    record,
		busy:      newBitmap(record.GetTotal()),
	}
	if err := job.loadChunks(reader); err != nil {
		return nil, err
	}
	if err := job.loadDone(reader); err != nil {
		return nil, err
	}
	return job, job.loadIndex(reader)
}

func (j *activeJob) loadChunks(reader shard.Reader) error {
	start, end := ownerRange(spaceChunkRecord, j.inputFile)
	lines := uint32(0)
	return scanRecords(reader, start, end, func(key []byte, chunk *pb.ChunkRecord) {
		if chunk.GetFragment() {
			j.fragments[uint32(len(j.chunkEnds))] = true
		}
		lines += chunk.GetLines()
		j.chunkEnds = append(j.chunkEnds, lines)
	})
}

func (j *activeJob) loadDone(reader shard.Reader) error {
	start, end := ownerRange(spaceDone, j.id)
	return reader.Scan(start, end, func(key, block []byte) bool {
		j.busy.orBytes(numberOf(key)*doneBlockItems, block)
		return true
	})
}

func (j *activeJob) loadIndex(reader shard.Reader) error {
	chunks, err := indexedChunks(reader, j.id, 0)
	for _, runs := range chunks {
		j.addChunk(runs)
	}
	return err
}

// indexedChunks returns the runs of the indexed chunks of a job from a chunk on.
func indexedChunks(reader shard.Reader, job string, from uint32) ([][]*pb.ItemRun, error) {
	var chunks [][]*pb.ItemRun
	_, end := ownerRange(spaceIndex, job)
	err := scanRecords(reader, numberKey(spaceIndex, job, from), end, func(_ []byte, index *pb.IndexRecord) {
		chunks = append(chunks, index.GetRuns())
	})
	return chunks, err
}

// addChunk adds the items of the next indexed chunk; the busy bits of its malformed lines are set before.
func (j *activeJob) addChunk(runs []*pb.ItemRun) {
	j.addRuns(runs)
	j.indexed++
}

// startedItems returns a job's items that are marked as started, by lease.
func startedItems(reader shard.Reader, job string) (map[string][]uint32, error) {
	started := map[string][]uint32{}
	start, end := ownerRange(spaceStart, job)
	err := scanRecords(reader, start, end, func(key []byte, record *pb.StartRecord) {
		started[record.GetLease()] = append(started[record.GetLease()], numberOf(key))
	})
	return started, err
}

func (j *activeJob) addRuns(runs []*pb.ItemRun) {
	for _, run := range runs {
		service := j.service(run.GetService())
		end := run.GetFirst() + run.GetCount()
		j.services[service].waiting += int(run.GetCount()) - j.busy.count(run.GetFirst(), end)
		last := len(j.runs) - 1
		if last >= 0 && j.runs[last].end == run.GetFirst() && j.runs[last].service == service && j.runs[last].notRepeatable == run.GetNotRepeatable() {
			j.runs[last].end = end
			continue
		}
		j.runs = append(j.runs, itemRun{first: run.GetFirst(), end: end, service: service, notRepeatable: run.GetNotRepeatable()})
	}
}

// service returns the number of a service within the job.
func (j *activeJob) service(name string) uint16 {
	for number, items := range j.services {
		if items.name == name {
			return uint16(number)
		}
	}
	j.services = append(j.services, &serviceItems{name: name})
	return uint16(len(j.services) - 1)
}

// pick returns at most limit items of the services that are neither leased nor finished.
func (j *activeJob) pick(services []string, limit int) []uint32 {
	var picked []uint32
	for number, items := range j.services {
		if items.waiting > 0 && slices.Contains(services, items.name) {
			picked = j.pickService(uint16(number), picked, limit)
		}
	}
	return picked
}

func (j *activeJob) pickService(service uint16, picked []uint32, limit int) []uint32 {
	items := j.services[service]
	for position := j.runAt(items.cursor); position < len(j.runs) && len(picked) < limit; position++ {
		run := j.runs[position]
		if run.service != service {
			continue
		}
		from := max(run.first, items.cursor)
		for len(picked) < limit {
			from = j.busy.nextClear(from, run.end)
			items.cursor = from
			if from == run.end {
				break
			}
			picked = append(picked, from)
			from++
		}
	}
	return picked
}

// runAt returns the position of the first run that ends after an item.
func (j *activeJob) runAt(index uint32) int {
	return sort.Search(len(j.runs), func(position int) bool { return j.runs[position].end > index })
}

// run returns the run of an item, or nil if the item is not indexed or malformed.
func (j *activeJob) run(index uint32) *itemRun {
	position := j.runAt(index)
	if position == len(j.runs) || j.runs[position].first > index {
		return nil
	}
	return &j.runs[position]
}

// take marks items as leased or finished.
func (j *activeJob) take(indexes []uint32) {
	for _, index := range indexes {
		if index >= j.total || j.busy.has(index) {
			continue
		}
		j.busy.add(index)
		if run := j.run(index); run != nil {
			j.services[run.service].waiting--
		}
	}
}

// give marks items as neither leased nor finished.
func (j *activeJob) give(indexes []uint32) {
	for _, index := range indexes {
		if !j.busy.has(index) {
			continue
		}
		j.busy.remove(index)
		if run := j.run(index); run != nil {
			items := j.services[run.service]
			items.waiting++
			items.cursor = min(items.cursor, index)
		}
	}
}

// notRepeatable reports whether an item may run at most once.
func (j *activeJob) notRepeatable(index uint32) bool {
	run := j.run(index)
	return run != nil && run.notRepeatable
}

// split separates items that may run at most once from the others.
func (j *activeJob) split(indexes []uint32) (repeatable, once []uint32) {
	for _, index := range indexes {
		if j.notRepeatable(index) {
			once = append(once, index)
		} else {
			repeatable = append(repeatable, index)
		}
	}
	return repeatable, once
}

// stopped reports whether the job was cancelled or passed its deadline.
func (j *activeJob) stopped() bool {
	return j.record.GetStop() != pb.StopReason_STOP_NONE
}
