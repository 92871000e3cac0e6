package jobstore

import (
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// The items with a result are kept as a bitmap in blocks, so that a leader learns them without reading results and a
// command touches few keys.
const (
	doneBlockItems = 4096
	doneBlockBytes = doneBlockItems / 8
)

// doneSet reads and changes the bitmap of a job's items that have a result.
type doneSet struct {
	reader shard.Reader
	job    string
	blocks map[uint32][]byte
	dirty  map[uint32]bool
}

func newDoneSet(reader shard.Reader, job string) *doneSet {
	return &doneSet{reader: reader, job: job, blocks: map[uint32][]byte{}, dirty: map[uint32]bool{}}
}

func (d *doneSet) block(number uint32) ([]byte, error) {
	if block, loaded := d.blocks[number]; loaded {
		return block, nil
	}
	block, err := d.reader.Get(numberKey(spaceDone, d.job, number))
	if err != nil {
		return nil, err
	}
	if block == nil {
		block = make([]byte, doneBlockBytes)
	}
	d.blocks[number] = block
	return block, nil
}

// has reports whether the item has a result.
func (d *doneSet) has(index uint32) (bool, error) {
	block, err := d.block(index / doneBlockItems)
	if err != nil {
		return false, err
	}
	bit := index % doneBlockItems
	return block[bit/8]&(1<<(bit%8)) != 0, nil
}

// add marks an item; its block must have been read by has.
func (d *doneSet) add(index uint32) {
	number := index / doneBlockItems
	bit := index % doneBlockItems
	d.blocks[number][bit/8] |= 1 << (bit % 8)
	d.dirty[number] = true
}

func (d *doneSet) saveTo(writes *writer) {
	for number := range d.dirty {
		writes.set(numberKey(spaceDone, d.job, number), d.blocks[number])
	}
}

// resultSpace returns the key space of output or error lines.
func resultSpace(errors bool) byte {
	if errors {
		return spaceError
	}
	return spaceOutput
}

// recordResults records the results of items that have none yet and ends the job with its last one. The job's record
// is written in the same command, so counts and results agree.
func (w *writer) recordResults(now int64, job *pb.JobRecord, complete *pb.CompleteItems) (*pb.Reply, error) {
	done := newDoneSet(w.transaction, job.GetId())
	reply := &pb.Reply{Job: job}
	for _, result := range complete.GetResults() {
		first, err := recordable(w.transaction, done, job, complete, result.GetIndex())
		if err != nil {
			return nil, err
		}
		if !first {
			continue
		}
		w.recordResult(job, result)
		done.add(result.GetIndex())
		reply.Accepted++
	}
	done.saveTo(w)
	if job.GetCompleted()+job.GetFailed() == job.GetTotal() {
		w.endJob(now, job)
	}
	w.save(idKey(spaceJob, job.GetId()), job)
	return reply, w.err
}

// recordable reports whether a result is the first of its item, from the lease that started the item if one did.
func recordable(reader shard.Reader, done *doneSet, job *pb.JobRecord, complete *pb.CompleteItems, index uint32) (bool, error) {
	if index >= job.GetTotal() {
		return false, nil
	}
	finished, err := done.has(index)
	if err != nil || finished {
		return false, err
	}
	if !job.GetHasStarted() {
		return !complete.GetStartedOnly(), nil
	}
	holder, err := startedBy(reader, job.GetId(), index)
	if holder == "" {
		return !complete.GetStartedOnly(), err
	}
	return holder == complete.GetLease(), err
}

func (w *writer) recordResult(job *pb.JobRecord, result *pb.ItemResult) {
	w.set(numberKey(resultSpace(result.GetFailed()), job.GetId(), result.GetIndex()), result.GetLine())
	size := int64(len(result.GetLine())) + 1
	if result.GetFailed() {
		job.Failed++
		job.ErrorBytes += size
	} else {
		job.Completed++
		job.OutputBytes += size
	}
	if job.GetHasStarted() {
		w.delete(numberKey(spaceStart, job.GetId(), result.GetIndex()))
	}
}
