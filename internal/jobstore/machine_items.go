package jobstore

import (
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// applyIndex records the services of a chunk's items and the errors of its malformed lines. Chunks are indexed in
// order; a chunk that is indexed already is left as it is.
func applyIndex(transaction shard.Transaction, now int64, index *pb.IndexItems) (*pb.Reply, error) {
	job, err := loadJob(transaction, "", index.GetJob())
	if err != nil {
		return nil, err
	}
	if job == nil || job.GetDone() || job.GetIndexed() != index.GetChunk() {
		return &pb.Reply{Job: job, Resent: true}, nil
	}
	writes := &writer{transaction: transaction}
	writes.save(numberKey(spaceIndex, job.GetId(), index.GetChunk()), &pb.IndexRecord{Runs: index.GetRuns()})
	job.Indexed++
	if job.GetIndexed() == job.GetChunks() {
		job.Started = now
	}
	return writes.recordResults(now, job, &pb.CompleteItems{Results: index.GetErrors()})
}

// applyStart marks items as started under a lease. It grants only items without a result that no other lease has
// started; it grants the same lease the same items again, so that it may be proposed twice.
func applyStart(transaction shard.Transaction, now int64, start *pb.StartItems) (*pb.Reply, error) {
	job, err := loadJob(transaction, "", start.GetJob())
	if err != nil {
		return nil, err
	}
	if job == nil || job.GetDone() || job.GetStop() != pb.StopReason_STOP_NONE {
		return &pb.Reply{Job: job}, nil
	}
	done := newDoneSet(transaction, job.GetId())
	writes := &writer{transaction: transaction}
	reply := &pb.Reply{Job: job}
	for _, index := range start.GetIndexes() {
		free, err := startable(transaction, done, job.GetId(), index, start.GetLease())
		if err != nil {
			return nil, err
		}
		if !free {
			continue
		}
		writes.save(numberKey(spaceStart, job.GetId(), index), &pb.StartRecord{Lease: start.GetLease(), Started: now})
		reply.Granted = append(reply.Granted, index)
	}
	if !job.GetHasStarted() {
		job.HasStarted = true
		writes.save(idKey(spaceJob, job.GetId()), job)
	}
	return reply, writes.err
}

// startable reports whether a lease may start an item: it has no result and no other lease has started it.
func startable(reader shard.Reader, done *doneSet, job string, index uint32, lease string) (bool, error) {
	finished, err := done.has(index)
	if err != nil || finished {
		return false, err
	}
	holder, err := startedBy(reader, job, index)
	return holder == "" || holder == lease, err
}

// startedBy returns the lease that started an item, or "".
func startedBy(reader shard.Reader, job string, index uint32) (string, error) {
	record := &pb.StartRecord{}
	_, err := load(reader, numberKey(spaceStart, job, index), record)
	return record.GetLease(), err
}

// applyRelease unmarks items that the lease started and that definitely did not run. It grants the items that no lease
// has started now, also those that an earlier proposal of the same release unmarked.
func applyRelease(transaction shard.Transaction, release *pb.ReleaseItems) (*pb.Reply, error) {
	writes := &writer{transaction: transaction}
	reply := &pb.Reply{}
	for _, index := range release.GetIndexes() {
		holder, err := startedBy(transaction, release.GetJob(), index)
		if err != nil {
			return nil, err
		}
		if holder != "" && holder != release.GetLease() {
			continue
		}
		writes.delete(numberKey(spaceStart, release.GetJob(), index))
		reply.Granted = append(reply.Granted, index)
	}
	return reply, writes.err
}

// applyComplete records results; those of a job that is gone or done change nothing.
func applyComplete(transaction shard.Transaction, now int64, complete *pb.CompleteItems) (*pb.Reply, error) {
	job, err := loadJob(transaction, "", complete.GetJob())
	if err != nil {
		return nil, err
	}
	if job == nil || job.GetDone() {
		return &pb.Reply{Job: job, Resent: true}, nil
	}
	writes := &writer{transaction: transaction}
	return writes.recordResults(now, job, complete)
}
