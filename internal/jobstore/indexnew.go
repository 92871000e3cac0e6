package jobstore

import (
	"cmp"
	"context"
)

const (
	// indexSlice bounds the chunks that one Tick indexes, about 4 MB of input, so that leases lapse and deadlines pass
	// in time beside a large job.
	indexSlice = 16
	// maxIndexers bounds the jobs whose custom ids are kept at a time. A job that is taken up again without them is read
	// again from its start.
	maxIndexers = 4
)

// indexNew indexes a slice of the jobs whose input is not read to its end, chunk by chunk. The smallest job goes first,
// so that a small job does not wait for a large one; one chunk of each slice is the oldest job's, so that a large one
// does not wait for ever.
func (s *Server) indexNew(ctx context.Context) error {
	s.forgetIndexers()
	for turn := range indexSlice {
		order := smallestFirst
		if turn == indexSlice-1 {
			order = oldestFirst
		}
		job, indexed := s.nextToIndex(order)
		if job == nil {
			return nil
		}
		if err := s.indexNext(ctx, job, indexed); err != nil {
			delete(s.indexers, job.id)
			return err
		}
	}
	s.kick()
	return nil
}

func smallestFirst(a, b *activeJob) int {
	return cmp.Or(cmp.Compare(a.total, b.total), oldestFirst(a, b))
}

func oldestFirst(a, b *activeJob) int {
	return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.id, b.id))
}

// nextToIndex returns the first job by an order that is not indexed to its end, and how many of its chunks are.
func (s *Server) nextToIndex(order func(a, b *activeJob) int) (*activeJob, uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var next *activeJob
	for _, job := range s.jobs {
		if !job.indexing() {
			continue
		}
		if next == nil || order(job, next) < 0 {
			next = job
		}
	}
	if next == nil {
		return nil, 0
	}
	return next, next.record.GetIndexed()
}

// indexing reports whether a part of the job's input is still to be indexed.
func (j *activeJob) indexing() bool {
	return !j.stopped() && j.record.GetIndexed() < j.record.GetChunks()
}

// indexNext reads a job's next chunk and, unless it is indexed, commits its index. Its items may be leased from then
// on. A new leader reads the indexed chunks once more for their custom ids.
func (s *Server) indexNext(ctx context.Context, job *activeJob, indexed uint32) error {
	index, err := s.indexChunk(ctx, job, s.indexer(job))
	if err != nil || index.GetChunk() < indexed {
		return err
	}
	return s.commitIndex(ctx, job, index)
}

// indexer returns the indexer of a job. A failed commit drops it, so one that is kept has read at most the chunks that
// are indexed.
func (s *Server) indexer(job *activeJob) *indexer {
	if kept := s.indexers[job.id]; kept != nil {
		return kept
	}
	for id := range s.indexers {
		if len(s.indexers) < maxIndexers {
			break
		}
		delete(s.indexers, id)
	}
	made := &indexer{seen: map[customIdentity]struct{}{}}
	s.indexers[job.id] = made
	return made
}

// forgetIndexers drops the indexers of jobs that are indexed, stopped or no longer led here.
func (s *Server) forgetIndexers() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.indexers {
		if job := s.jobs[id]; job == nil || !job.indexing() {
			delete(s.indexers, id)
		}
	}
}
