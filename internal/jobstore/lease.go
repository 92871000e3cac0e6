package jobstore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// heldLease is a lease as the leader remembers it. It is guarded by the server's mutex.
type heldLease struct {
	id string
	// name is the lease's key in the server's memory: its id, or one of its own for late marks of the same lease.
	name   string
	job    *activeJob
	worker string
	// indexes are the leased items without a result, in order.
	indexes []uint32
	expires time.Time
	// granting is set until the lease is handed out.
	granting bool
	// withdrawn says that the lease was never handed out: its items definitely do not run under it.
	withdrawn bool
	// inherited says that an earlier leader handed the lease out and its worker has not renewed it yet.
	inherited bool
	// lapsed says that the lease ran out and only its non-repeatable items are left to settle.
	lapsed bool
}

// waiting lists the jobs with items to lease, one entry for each service, by deadline and age.
func (s *Server) waiting(ctx context.Context, limit int) ([]*pb.WaitingJob, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	if err := s.lockLeading(ctx); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	now := s.settings.Now()
	var waiting []*pb.WaitingJob
	for _, job := range s.jobs {
		if s.leasable(job, now) {
			waiting = append(waiting, job.priorities(s.shard)...)
		}
	}
	slices.SortFunc(waiting, func(a, b *pb.WaitingJob) int {
		return cmp.Or(cmp.Compare(a.GetDeadline(), b.GetDeadline()), cmp.Compare(a.GetCreated(), b.GetCreated()), cmp.Compare(a.GetJob(), b.GetJob()))
	})
	return waiting[:min(limit, len(waiting))], nil
}

func (j *activeJob) priorities(id ident.Shard) []*pb.WaitingJob {
	var priorities []*pb.WaitingJob
	for _, items := range j.services {
		if items.waiting == 0 {
			continue
		}
		priorities = append(priorities, &pb.WaitingJob{
			Shard:    uint32(id),
			Job:      j.id,
			Tenant:   j.tenant,
			Service:  items.name,
			Waiting:  uint32(items.waiting),
			Deadline: j.deadline,
			Created:  j.created,
		})
	}
	return priorities
}

// leasable reports whether items of a job may be leased: it is not stopped, its deadline is ahead, and no lease of an
// earlier leader can be alive.
func (s *Server) leasable(job *activeJob, now time.Time) bool {
	if job.stopped() || job.deadline <= now.UnixNano() {
		return false
	}
	return !job.inherited || !now.Before(s.inheritedUntil)
}

// lease hands out items of a job. The order is: reserve in memory; read the committed state, so that a cancelled job
// gives nothing; commit the start of non-repeatable items; only then hand out.
func (s *Server) lease(ctx context.Context, request *pb.LeaseRequest) (*pb.LeaseReply, error) {
	// Without room for results nothing is worth running.
	if err := s.require(RoomLow); err != nil {
		return nil, err
	}
	lease, err := s.reserve(ctx, request)
	if err != nil {
		return nil, err
	}
	if lease == nil {
		return &pb.LeaseReply{}, s.confirm(ctx)
	}
	reply, err := s.prepare(ctx, lease)
	if err != nil {
		s.withdraw(lease, err)
		return nil, err
	}
	if !s.handOut(lease, reply) {
		return &pb.LeaseReply{}, s.releaseUngranted(ctx, lease, reply)
	}
	s.metrics.add((*Metrics).leasedItems, len(reply.GetItems()))
	return reply, nil
}

// reserve takes items for a lease, or returns nil if there are none to take.
func (s *Server) reserve(ctx context.Context, request *pb.LeaseRequest) (*heldLease, error) {
	if err := s.lockLeading(ctx); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	job := s.jobs[request.GetJob()]
	if job == nil || s.leases[request.GetLease()] != nil || !s.leasable(job, s.settings.Now()) {
		return nil, nil
	}
	indexes := job.pick(request.GetServices(), min(int(request.GetMax()), s.settings.MaxLeaseItems))
	if len(indexes) == 0 {
		return nil, nil
	}
	slices.Sort(indexes)
	job.take(indexes)
	job.leases++
	lease := &heldLease{id: request.GetLease(), name: request.GetLease(), job: job, worker: request.GetWorker(), indexes: indexes, granting: true}
	s.leases[lease.id] = lease
	return lease, nil
}

// prepare reads the reserved items and commits the start of those that may run at most once. Items that cannot be
// handed out are given back.
func (s *Server) prepare(ctx context.Context, lease *heldLease) (*pb.LeaseReply, error) {
	s.mutex.Lock()
	job := lease.job
	indexes := slices.Clone(lease.indexes)
	repeatable, once := job.split(indexes)
	s.mutex.Unlock()
	finished, err := s.finished(ctx, job, indexes)
	if err != nil {
		return nil, err
	}
	repeatable, once = without(repeatable, finished), without(once, finished)
	granted, err := s.start(ctx, lease, once)
	if err != nil {
		return nil, err
	}
	s.narrow(lease, finished)
	if err := s.resolve(ctx, lease, without(once, granted)); err != nil {
		return nil, err
	}
	reply := &pb.LeaseReply{
		Lease:    lease.id,
		Tenant:   job.tenant,
		Endpoint: job.endpoint,
		Deadline: job.deadline,
		Ttl:      int64(s.settings.LeaseTTL),
	}
	leased := append(repeatable, granted...)
	slices.Sort(leased)
	err = s.lines(ctx, job.input(), leased, func(index uint32, text []byte) {
		line, _, _ := parseLine(text, "")
		_, startedOnce := slices.BinarySearch(granted, index)
		reply.Items = append(reply.Items, &pb.LeasedItem{Index: index, CustomId: line.CustomID, Body: line.Body, NotRepeatable: startedOnce})
	})
	return reply, err
}

// finished returns those of the items that have a committed result. It fails if the job may not be leased from any
// more: a lease that is asked for after Cancel has returned sees the cancellation here.
func (s *Server) finished(ctx context.Context, job *activeJob, indexes []uint32) ([]uint32, error) {
	var finished []uint32
	err := s.view(ctx, func(reader shard.Reader) error {
		record, err := loadJob(reader, "", job.id)
		if err != nil {
			return err
		}
		if record == nil || record.GetDone() || record.GetStop() != pb.StopReason_STOP_NONE {
			finished = indexes
			return nil
		}
		done := newDoneSet(reader, job.id)
		for _, index := range indexes {
			has, err := done.has(index)
			if err != nil {
				return err
			}
			if has {
				finished = append(finished, index)
			}
		}
		return nil
	})
	return finished, err
}

// without returns the items that are not among the others. Both are in order.
func without(indexes, others []uint32) []uint32 {
	if len(others) == 0 {
		return indexes
	}
	return slices.DeleteFunc(slices.Clone(indexes), func(index uint32) bool {
		_, among := slices.BinarySearch(others, index)
		return among
	})
}

// start commits that a lease starts non-repeatable items, before anyone learns of the lease.
func (s *Server) start(ctx context.Context, lease *heldLease, once []uint32) ([]uint32, error) {
	if len(once) == 0 {
		return nil, nil
	}
	start := &pb.StartItems{Job: lease.job.id, Lease: lease.id, Indexes: once}
	reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Start{Start: start}}, s.settings.MinimumCopies)
	if err != nil {
		return nil, err
	}
	return reply.GetGranted(), nil
}

// narrow takes finished items out of a lease that is not handed out yet. They stay busy.
func (s *Server) narrow(lease *heldLease, finished []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease.indexes = without(lease.indexes, finished)
}

// resolve takes items out of a lease whose start was refused. One that is marked as started was marked by a command
// that took effect late, since it is not busy under any lease: the items of a lease handed out by an earlier leader were
// loaded as busy with the term, and those of one handed out in this term are busy until they are settled. So no holder
// of a lease runs it, and the next tick releases the mark.
func (s *Server) resolve(ctx context.Context, lease *heldLease, refused []uint32) error {
	if len(refused) == 0 {
		return nil
	}
	holders := map[string][]uint32{}
	err := s.view(ctx, func(reader shard.Reader) error {
		for _, index := range refused {
			holder, err := startedBy(reader, lease.job.id, index)
			if err != nil {
				return err
			}
			holders[holder] = append(holders[holder], index)
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease.indexes = without(lease.indexes, refused)
	if s.leases[lease.name] != lease {
		return nil
	}
	for holder, indexes := range holders {
		s.resolveHolder(lease.job, holder, indexes)
	}
	return nil
}

func (s *Server) resolveHolder(job *activeJob, holder string, indexes []uint32) {
	if holder == "" {
		job.give(indexes)
		return
	}
	late := &heldLease{
		id:        holder,
		name:      fmt.Sprintf("%s late %d", holder, indexes[0]),
		job:       job,
		indexes:   indexes,
		withdrawn: true,
		expires:   s.settings.Now(),
	}
	s.leases[late.name] = late
	job.leases++
}

// handOut makes a prepared lease valid from now, unless leadership changed meanwhile or nothing is in it.
func (s *Server) handOut(lease *heldLease, reply *pb.LeaseReply) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[lease.name] != lease {
		return false
	}
	if len(reply.GetItems()) == 0 {
		s.drop(lease)
		return false
	}
	lease.granting = false
	lease.expires = s.settings.Now().Add(s.settings.leaderTTL())
	return true
}

// releaseUngranted releases the items of a lease that was prepared in an earlier term and so not handed out.
func (s *Server) releaseUngranted(ctx context.Context, lease *heldLease, reply *pb.LeaseReply) error {
	release := &pb.ReleaseItems{Job: lease.job.id, Lease: lease.id}
	for _, item := range reply.GetItems() {
		if item.GetNotRepeatable() {
			release.Indexes = append(release.Indexes, item.GetIndex())
		}
	}
	if len(release.Indexes) == 0 {
		return nil
	}
	_, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Release{Release: release}}, 0)
	return err
}

// withdraw undoes a lease that is not handed out. If the start of its items may have been committed, they stay
// reserved until their release is.
func (s *Server) withdraw(lease *heldLease, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	repeatable, once := lease.job.split(lease.indexes)
	lease.job.give(repeatable)
	if len(once) == 0 || failure.As(cause).Outcome == outcome.NotRun {
		lease.job.give(once)
		s.drop(lease)
		return
	}
	lease.indexes = once
	lease.granting = false
	lease.withdrawn = true
	lease.expires = s.settings.Now()
}

// drop forgets a lease. Its items' busy bits are the caller's concern.
func (s *Server) drop(lease *heldLease) {
	if s.leases[lease.name] == lease {
		delete(s.leases, lease.name)
		lease.job.leases--
	}
}

// release gives back items that definitely did not run under a lease.
func (s *Server) release(ctx context.Context, request *pb.ReleaseRequest) error {
	if err := s.lockLeading(ctx); err != nil {
		return err
	}
	job := s.jobs[request.GetJob()]
	if job == nil {
		s.mutex.Unlock()
		return s.confirm(ctx)
	}
	indexes := request.GetIndexes()
	if lease := s.leases[request.GetLease()]; len(indexes) == 0 && lease != nil && lease.job == job {
		indexes = slices.Clone(lease.indexes)
	}
	repeatable, once := job.split(indexes)
	s.mutex.Unlock()
	if len(once) > 0 {
		release := &pb.ReleaseItems{Job: request.GetJob(), Lease: request.GetLease(), Indexes: once}
		reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Release{Release: release}}, 0)
		if err != nil {
			return err
		}
		once = reply.GetGranted()
	}
	s.giveBack(request.GetLease(), append(repeatable, once...))
	return nil
}

// giveBack returns items that the lease still holds to the waiting ones.
func (s *Server) giveBack(id string, indexes []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease := s.leases[id]; lease != nil {
		s.giveBackFrom(lease, indexes)
	}
}

func (s *Server) giveBackFrom(lease *heldLease, indexes []uint32) {
	slices.Sort(indexes)
	rest := without(lease.indexes, indexes)
	lease.job.give(without(lease.indexes, rest))
	s.shrink(lease, rest)
}

// shrink leaves a lease with the given items, and forgets it if there are none.
func (s *Server) shrink(lease *heldLease, rest []uint32) {
	lease.indexes = rest
	if len(rest) == 0 {
		s.drop(lease)
	}
}
