package jobstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Server answers calls on one shard where its replica leads. Committed state is the truth; what the Server remembers
// (leases, cursors, bitmaps) is made anew in every term of leadership.
type Server struct {
	shard    ident.Shard
	replica  shard.Replica
	settings Settings
	logger   zerolog.Logger
	metrics  *Metrics

	// ticking serialises Tick; loading serialises taking up a new term.
	ticking sync.Mutex
	loading sync.Mutex
	// indexers are guarded by ticking.
	indexers map[string]*indexer

	mutex  sync.Mutex
	term   shard.Leadership
	loaded bool
	// inheritedUntil is when every lease of earlier terms has run out.
	inheritedUntil time.Time
	jobs           map[string]*activeJob
	leases         map[string]*heldLease

	chunks *chunkCache
	kicked chan struct{}
}

// NewServer returns the server of a shard's local replica. Run drives its periodic work. metrics may be shared by the
// servers of a node.
func NewServer(id ident.Shard, replica shard.Replica, settings Settings, logger zerolog.Logger, metrics *Metrics) *Server {
	return &Server{
		shard:    id,
		replica:  replica,
		settings: settings,
		logger:   logger,
		metrics:  metrics,
		jobs:     map[string]*activeJob{},
		leases:   map[string]*heldLease{},
		indexers: map[string]*indexer{},
		chunks:   newChunkCache(chunkCacheBytes),
		kicked:   make(chan struct{}, 1),
	}
}

// propose commits a command and returns its reply, or the refusal in it. A proposal that is definitely not applied
// fails with NotRun, one that may be applied with Unknown.
func (s *Server) propose(ctx context.Context, command *pb.Command, minimumCopies int) (*pb.Reply, error) {
	if err := s.takes(command); err != nil {
		return nil, err
	}
	command.Now = s.settings.Now().UnixNano()
	encoded, err := encode(command)
	if err != nil {
		return nil, failure.New(failure.CodeInvalidRequest, "a field is not valid UTF-8").WithCause(err)
	}
	s.metrics.proposed(len(encoded))
	answer, err := s.replica.Propose(ctx, encoded, minimumCopies)
	if err != nil {
		return nil, s.translate(err)
	}
	reply := &pb.Reply{}
	if err := decode(answer, reply); err != nil {
		return nil, err
	}
	if reply.GetFault() != nil {
		return nil, ErrorOf(reply.GetFault())
	}
	return reply, nil
}

// view reads committed state as the leader.
func (s *Server) view(ctx context.Context, read func(shard.Reader) error) error {
	if err := s.replica.View(ctx, read); err != nil {
		return s.translate(err)
	}
	return nil
}

// translate turns a failure of the shard into one a caller may see. NotLeaderError stays as it is, so that the call
// can be redirected.
func (s *Server) translate(err error) error {
	var redirect *shard.NotLeaderError
	var shown *failure.Error
	switch {
	case errors.As(err, &redirect), errors.As(err, &shown):
		return err
	case errors.Is(err, shard.ErrTooFewCopies):
		return failure.New(failure.CodeTooFewCopies, "job storage has fewer copies than was promised").WithRetryAfter(s.settings.RetryAfter).WithCause(err)
	case errors.Is(err, shard.ErrUnavailable):
		return unavailable(s.settings.RetryAfter).WithCause(err)
	case errors.Is(err, shard.ErrOutcomeUnknown):
		return unavailable(s.settings.RetryAfter).WithOutcome(outcome.Unknown).WithCause(err)
	default:
		return fmt.Errorf("shard %d: %w", s.shard, err)
	}
}

func unavailable(retryAfter time.Duration) *failure.Error {
	return failure.New(failure.CodeShardUnavailable, "job storage cannot take this now").WithRetryAfter(retryAfter)
}

// status returns the status of a reply. It is where errors become faults or redirections.
func (s *Server) status(err error) *pb.Status {
	if err == nil {
		return &pb.Status{}
	}
	var redirect *shard.NotLeaderError
	if errors.As(err, &redirect) {
		return &pb.Status{Redirected: true, Leader: string(redirect.Leader)}
	}
	return &pb.Status{Fault: FaultOf(failure.As(err))}
}

// lockLeading makes sure that the Server's memory belongs to the replica's present term and locks it. In a new term the
// Server forgets everything and loads the unfinished jobs. The mutex is held unless it fails.
func (s *Server) lockLeading(ctx context.Context) error {
	s.loading.Lock()
	defer s.loading.Unlock()
	term, leading := s.replica.Leading()
	if !leading {
		return s.redirection(ctx)
	}
	s.mutex.Lock()
	if s.loaded && s.term == term {
		return nil
	}
	s.mutex.Unlock()
	return s.takeUp(ctx, term)
}

// redirection returns what a call on a replica that does not lead fails with.
func (s *Server) redirection(ctx context.Context) error {
	if err := s.confirm(ctx); err != nil {
		return err
	}
	return unavailable(s.settings.RetryAfter)
}

// confirm fails unless the replica leads. An answer from memory alone, such as that nothing is to be leased, needs it:
// a deposed leader may still think that it leads.
func (s *Server) confirm(ctx context.Context) error {
	return s.view(ctx, func(shard.Reader) error { return nil })
}

// forgetStale drops the memory of a term in which every lease has run out, once the replica does not lead. A replica
// that loses the lead for a moment and leads on in the same term keeps its leases.
func (s *Server) forgetStale() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.settings.Now()
	for _, lease := range s.leases {
		if lease.granting || now.Before(lease.expires) {
			return
		}
	}
	s.loaded = false
	s.jobs = map[string]*activeJob{}
	s.leases = map[string]*heldLease{}
}

// inheritance returns when the leases of earlier terms have run out. In a term that was taken up before and forgotten
// since, nobody else has led in between, and every lease of the term had run out by then.
func (s *Server) inheritance(term shard.Leadership) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == term {
		return s.inheritedUntil
	}
	return s.settings.Now().Add(s.settings.leaderTTL())
}

// takeUp loads the unfinished jobs of a new term. Their items may be leased by an earlier leader, so none is leased
// again before one lease period has passed, except under a lease its worker renews.
func (s *Server) takeUp(ctx context.Context, term shard.Leadership) error {
	jobs := map[string]*activeJob{}
	leases := map[string]*heldLease{}
	until := s.inheritance(term)
	err := s.view(ctx, func(reader shard.Reader) error {
		return loadActiveJobs(reader, func(job *activeJob, started map[string][]uint32) {
			job.inherited = true
			jobs[job.id] = job
			for id, indexes := range started {
				leases[id] = &heldLease{id: id, name: id, job: job, indexes: indexes, expires: until, inherited: true}
				job.take(indexes)
				job.leases++
			}
		})
	})
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.term, s.loaded = term, true
	s.jobs, s.leases = jobs, leases
	s.inheritedUntil = until
	event.JobShardLeading.Log(s.logger).Uint32("shard", uint32(s.shard)).Uint64("epoch", term.Epoch).Uint64("round", term.Round).Int("jobs", len(jobs)).Send()
	return nil
}

// kick asks Run to work now.
func (s *Server) kick() {
	select {
	case s.kicked <- struct{}{}:
	default:
	}
}
