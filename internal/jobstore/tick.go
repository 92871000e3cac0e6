package jobstore

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

const (
	// tickPeriod is how often Run works without being kicked.
	tickPeriod = 250 * time.Millisecond
	// sweepLimit bounds the entries of one Sweep command.
	sweepLimit = 64
	// endingItems bounds the items that one command ends.
	endingItems = 1024
)

// Run does the periodic work of the shard until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		if err := s.Tick(ctx); err != nil && ctx.Err() == nil {
			event.JobTickFailed.Log(s.logger).Uint32("shard", uint32(s.shard)).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.kicked:
		}
	}
}

// Tick does what is due: it lapses leases, indexes new jobs, ends stopped ones and commits deadlines and retentions.
// It does nothing where the replica does not lead.
func (s *Server) Tick(ctx context.Context) error {
	s.ticking.Lock()
	defer s.ticking.Unlock()
	if _, leading := s.replica.Leading(); !leading {
		s.forgetStale()
		return nil
	}
	for _, work := range []func(context.Context) error{s.sweep, s.loseGone, s.refresh, s.lapse, s.indexNew, s.endStopped} {
		if err := work(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sweep commits due deadlines and retentions.
func (s *Server) sweep(ctx context.Context) error {
	for {
		now := s.settings.Now().UnixNano()
		var due [][]byte
		err := s.view(ctx, func(reader shard.Reader) (err error) {
			due, err = dueEntries(reader, now, 1)
			return err
		})
		if err != nil || len(due) == 0 {
			return err
		}
		sweep := &pb.Sweep{Limit: sweepLimit, Retention: int64(s.settings.LedgerRetention)}
		reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Sweep{Sweep: sweep}}, 0)
		if err != nil {
			return err
		}
		event.JobSwept.Log(s.logger).Uint32("shard", uint32(s.shard)).Uint32("entries", reply.GetSwept()).Send()
	}
}

// refresh takes over the committed records of the unfinished jobs. It finds jobs and changes whose commit this leader
// was not told of.
func (s *Server) refresh(ctx context.Context) error {
	if err := s.lockLeading(ctx); err != nil {
		return err
	}
	known := map[string]uint32{}
	for id, job := range s.jobs {
		known[id] = job.indexed
	}
	term := s.term
	s.mutex.Unlock()
	var news refreshed
	err := s.view(ctx, func(reader shard.Reader) error { return news.read(reader, known) })
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term != term || !s.loaded {
		return nil
	}
	for _, record := range news.records {
		if job := s.jobs[record.GetId()]; job != nil {
			job.catchUp(known[job.id], news.chunks[job.id])
			s.update(job, record)
		}
	}
	for _, job := range news.added {
		if s.jobs[job.id] == nil {
			s.jobs[job.id] = job
		}
	}
	return nil
}

// refreshed is what a refresh read.
type refreshed struct {
	records []*pb.JobRecord
	// chunks holds the runs of chunks that were indexed without the leader's knowledge.
	chunks map[string][][]*pb.ItemRun
	// added are unfinished jobs the leader did not know.
	added []*activeJob
}

// read reads the records of the known jobs, given the number of chunks the leader knows to be indexed, and loads the
// unfinished ones that are not known.
func (r *refreshed) read(reader shard.Reader, known map[string]uint32) error {
	r.chunks = map[string][][]*pb.ItemRun{}
	for id, indexed := range known {
		record, err := loadJob(reader, "", id)
		if err != nil {
			return err
		}
		if record == nil {
			continue
		}
		r.records = append(r.records, record)
		if record.GetIndexed() <= indexed {
			continue
		}
		if r.chunks[id], err = indexedChunks(reader, id, indexed); err != nil {
			return err
		}
	}
	active, err := activeJobs(reader)
	if err != nil {
		return err
	}
	for _, id := range active {
		if _, isKnown := known[id]; isKnown {
			continue
		}
		job, err := loadActiveJob(reader, id)
		if err != nil {
			return err
		}
		r.added = append(r.added, job)
	}
	return nil
}

// catchUp adds chunks that were indexed by a command whose outcome the leader did not learn.
func (j *activeJob) catchUp(from uint32, chunks [][]*pb.ItemRun) {
	if j.indexed != from {
		return
	}
	for _, runs := range chunks {
		j.addChunk(runs)
	}
}

// lapse takes back the items of leases that ran out. Repeatable ones wait again; those that may run at most once end
// with an unknown outcome, and those that were never handed out are released.
func (s *Server) lapse(ctx context.Context) error {
	for _, lease := range s.expired() {
		s.mutex.Lock()
		once := slices.Clone(lease.indexes)
		s.mutex.Unlock()
		settle := s.lose
		if lease.withdrawn {
			settle = s.settleWithdrawn
		}
		if err := settle(ctx, lease, once); err != nil {
			return err
		}
	}
	return nil
}

// expired marks the leases that ran out, gives their repeatable items back and returns those with items left.
func (s *Server) expired() []*heldLease {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.settings.Now()
	var expired []*heldLease
	for _, lease := range s.leases {
		if lease.granting || now.Before(lease.expires) {
			continue
		}
		repeatable, once := lease.job.split(lease.indexes)
		if !lease.lapsed && !lease.withdrawn {
			s.metrics.add((*Metrics).lapsedLeases, 1)
			event.JobLeasesLapsed.Log(s.logger).Str("job", lease.job.id).Str("lease", lease.id).Str("worker", lease.worker).Int("items", len(repeatable)).Send()
		}
		lease.lapsed = true
		lease.job.give(repeatable)
		s.shrink(lease, once)
		if len(once) > 0 {
			expired = append(expired, lease)
		}
	}
	return expired
}

// lose ends non-repeatable items whose outcome is unknown. Only items still marked as started under the lease end so:
// an item that was released or completed meanwhile is left alone.
func (s *Server) lose(ctx context.Context, lease *heldLease, once []uint32) error {
	ended := &itemError{Code: string(failure.CodeOutcomeUnknown), Message: "the item may have run; its outcome is lost and it does not run again"}
	accepted, err := s.endItems(ctx, lease.job, lease.id, once, ended)
	if err != nil {
		return err
	}
	s.metrics.add((*Metrics).unknownItems, accepted)
	event.JobItemsLost.Log(s.logger).Str("job", lease.job.id).Str("lease", lease.id).Int("items", accepted).Send()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if accepted < len(once) {
		// Some were released or had a result; the next lease that meets a finished one leaves it out.
		lease.job.give(once)
	}
	s.shrink(lease, without(lease.indexes, once))
	return nil
}

// settleWithdrawn releases the items of a lease that was never handed out.
func (s *Server) settleWithdrawn(ctx context.Context, lease *heldLease, once []uint32) error {
	release := &pb.ReleaseItems{Job: lease.job.id, Lease: lease.id, Indexes: once}
	if _, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Release{Release: release}}, 0); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.giveBackFrom(lease, once)
	return nil
}

// endItems commits an error as the result of items; with a lease, only of items marked as started under it.
func (s *Server) endItems(ctx context.Context, job *activeJob, lease string, indexes []uint32, ended *itemError) (accepted int, err error) {
	complete := &pb.CompleteItems{Job: job.id, Lease: lease, StartedOnly: lease != ""}
	err = s.lines(ctx, job.input(), indexes, func(index uint32, text []byte) {
		line, _, _ := parseLine(text, "")
		complete.Results = append(complete.Results, s.lineError(job, index, line.CustomID, ended))
	})
	if err != nil {
		return 0, err
	}
	return s.record(ctx, complete)
}

// endStopped ends the items of stopped jobs that no lease covers any more.
func (s *Server) endStopped(ctx context.Context) error {
	for _, job := range s.stoppedJobs() {
		if err := s.endJobItems(ctx, job); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) stoppedJobs() []*activeJob {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.settings.Now()
	var stopped []*activeJob
	for _, job := range s.jobs {
		leased := job.leases > 0 || job.inherited && now.Before(s.inheritedUntil)
		if job.stopped() && !leased {
			stopped = append(stopped, job)
		}
	}
	return stopped
}

// endJobItems commits a result for each item that has none: an unknown outcome where a lease may have run it, the
// reason of the stop otherwise.
func (s *Server) endJobItems(ctx context.Context, job *activeJob) error {
	var started map[string][]uint32
	var open []uint32
	err := s.view(ctx, func(reader shard.Reader) (err error) {
		started, err = startedItems(reader, job.id)
		if err != nil {
			return err
		}
		open, err = openItems(reader, job)
		return err
	})
	if err != nil {
		return err
	}
	for id, indexes := range started {
		if err := s.lose(ctx, &heldLease{id: id, job: job}, indexes); err != nil {
			return err
		}
		open = without(open, indexes)
	}
	ended := &itemError{Code: codeBatchCancelled, Message: "the batch was cancelled before the item ran"}
	if s.stopReason(job) == pb.StopReason_STOP_EXPIRED {
		ended = &itemError{Code: codeBatchExpired, Message: "the batch's completion window ended before the item ran"}
	}
	for part := range slices.Chunk(open, endingItems) {
		if _, err := s.endItems(ctx, job, "", part, ended); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) stopReason(job *activeJob) pb.StopReason {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return job.record.GetStop()
}

// openItems lists the items of a job without a result.
func openItems(reader shard.Reader, job *activeJob) ([]uint32, error) {
	finished := newBitmap(job.total)
	start, end := ownerRange(spaceDone, job.id)
	err := reader.Scan(start, end, func(key, block []byte) bool {
		finished.orBytes(numberOf(key)*doneBlockItems, block)
		return true
	})
	var open []uint32
	for index := finished.nextClear(0, job.total); index < job.total; index = finished.nextClear(index+1, job.total) {
		open = append(open, index)
	}
	return open, err
}
