package jobstore

import (
	"context"
	"slices"
	"time"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// renew extends leases and returns those that are no longer held. It reads the committed state first, so that a lease
// of a cancelled job is reported lost by every renewal that is asked for after Cancel has returned, and so that a
// replica that no longer leads extends nothing.
func (s *Server) renew(ctx context.Context, request *pb.RenewRequest) ([]string, error) {
	if err := s.lockLeading(ctx); err != nil {
		return nil, err
	}
	s.mutex.Unlock()
	running, err := s.running(ctx, request.GetLeases())
	if err != nil {
		return nil, err
	}
	if err := s.lockLeading(ctx); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	now := s.settings.Now()
	var lost []string
	for _, held := range request.GetLeases() {
		if !running[held.GetJob()] || !s.extend(held, request.GetWorker(), now) {
			lost = append(lost, held.GetLease())
		}
	}
	return lost, nil
}

// running returns the jobs of the leases that are neither ended nor stopped.
func (s *Server) running(ctx context.Context, leases []*pb.HeldLease) (map[string]bool, error) {
	running := map[string]bool{}
	err := s.view(ctx, func(reader shard.Reader) error {
		for _, held := range leases {
			if _, known := running[held.GetJob()]; known {
				continue
			}
			record, err := loadJob(reader, "", held.GetJob())
			if err != nil {
				return err
			}
			running[held.GetJob()] = record != nil && !record.GetDone() && record.GetStop() == pb.StopReason_STOP_NONE
		}
		return nil
	})
	return running, err
}

// extend renews a lease the leader holds, or adopts one an earlier leader granted. It reports whether it is held.
func (s *Server) extend(held *pb.HeldLease, worker string, now time.Time) bool {
	lease := s.leases[held.GetLease()]
	if lease == nil || lease.inherited {
		return s.adopt(lease, held, worker, now)
	}
	if lease.granting || lease.withdrawn || lease.lapsed || lease.worker != worker || !now.Before(lease.expires) {
		return false
	}
	lease.expires = now.Add(s.settings.leaderTTL())
	return true
}

// adopt takes over a lease of an earlier leader while none of its items can have been leased again. Its non-repeatable
// items must be marked as started under it.
func (s *Server) adopt(marked *heldLease, held *pb.HeldLease, worker string, now time.Time) bool {
	job := s.jobs[held.GetJob()]
	if job == nil || !job.inherited || !now.Before(s.inheritedUntil) {
		return false
	}
	var started []uint32
	if marked != nil {
		started = marked.indexes
	}
	unmarked := without(held.GetIndexes(), started)
	if s.overlaps(job, unmarked) {
		return false
	}
	// What is busy without a lease has a result, whose commit the worker was not told of.
	unmarked = slices.DeleteFunc(slices.Clone(unmarked), job.busy.has)
	if slices.ContainsFunc(unmarked, job.notRepeatable) {
		return false
	}
	if marked == nil {
		marked = &heldLease{id: held.GetLease(), name: held.GetLease(), job: job}
		s.leases[marked.id] = marked
		job.leases++
	}
	marked.worker = worker
	marked.inherited = false
	marked.expires = now.Add(s.settings.leaderTTL())
	job.take(unmarked)
	marked.indexes = append(slices.Clone(started), unmarked...)
	slices.Sort(marked.indexes)
	return true
}

// overlaps reports whether an item is outside the job or leased to another worker.
func (s *Server) overlaps(job *activeJob, indexes []uint32) bool {
	for _, lease := range s.leases {
		if lease.job == job && len(without(indexes, lease.indexes)) < len(indexes) {
			return true
		}
	}
	return slices.ContainsFunc(indexes, func(index uint32) bool { return index >= job.total })
}
