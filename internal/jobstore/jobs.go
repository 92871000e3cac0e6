package jobstore

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Submit accepts a job durably on the promised number of copies, or finds the first one.
func (s *Server) Submit(ctx context.Context, request *pb.SubmitRequest) (*pb.JobReply, error) {
	if request.GetWindow() <= 0 {
		return s.jobReply(nil, failure.New(failure.CodeInvalidRequest, "the completion window must be positive").WithParam("completion_window"))
	}
	// A term that is taken up before the job exists knows that no earlier leader leased its items.
	if err := s.lockLeading(ctx); err != nil {
		return s.jobReply(nil, err)
	}
	s.mutex.Unlock()
	accept := &pb.AcceptJob{
		Tenant:     request.GetTenant(),
		Job:        "batch_" + s.settings.NewID(),
		OutputFile: "file-" + s.settings.NewID(),
		ErrorFile:  "file-" + s.settings.NewID(),
		Key:        request.GetKey(),
		InputFile:  request.GetInputFile(),
		Endpoint:   request.GetEndpoint(),
		Window:     request.GetWindow(),
		Metadata:   request.GetMetadata(),
		Retention:  int64(s.retention(request.GetTenant(), s.settings.JobRetention)),
		MaxItems:   uint32(s.settings.MaxItems),
	}
	if err := s.admitJob(ctx, accept); err != nil {
		return s.jobReply(nil, err)
	}
	reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Accept{Accept: accept}}, s.settings.MinimumCopies)
	if err == nil && !reply.GetResent() {
		event.JobAccepted.Log(s.logger).Str("job", accept.GetJob()).Str("tenant", accept.GetTenant()).Uint32("items", reply.GetJob().GetTotal()).Send()
		s.kick()
	}
	return s.jobReply(reply, err)
}

// CancelJob commits that a job stops. No lease is granted or renewed for a request made after it returns, so no item
// starts later than one lease TTL after it.
func (s *Server) CancelJob(ctx context.Context, request *pb.JobRequest) (*pb.JobReply, error) {
	cancel := &pb.CancelJob{Tenant: request.GetTenant(), Job: request.GetJob()}
	reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Cancel{Cancel: cancel}}, 0)
	if err == nil {
		s.noteRecord(reply.GetJob())
		s.kick()
	}
	return s.jobReply(reply, err)
}

func (s *Server) noteRecord(record *pb.JobRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if job := s.jobs[record.GetId()]; job != nil {
		s.update(job, record)
	}
}

// GetJob returns a job.
func (s *Server) GetJob(ctx context.Context, request *pb.JobRequest) (*pb.JobReply, error) {
	var job *pb.JobRecord
	err := s.view(ctx, func(reader shard.Reader) (err error) {
		job, err = loadJob(reader, request.GetTenant(), request.GetJob())
		return err
	})
	if err == nil && job == nil {
		err = notFound("batch", request.GetJob())
	}
	return s.jobReply(&pb.Reply{Job: job}, err)
}

func (s *Server) jobReply(reply *pb.Reply, err error) (*pb.JobReply, error) {
	return &pb.JobReply{Status: s.status(err), Job: reply.GetJob(), Resent: reply.GetResent()}, nil
}

// ListJobs lists a tenant's jobs, newest first.
func (s *Server) ListJobs(ctx context.Context, request *pb.ListRequest) (*pb.ListJobsReply, error) {
	reply := &pb.ListJobsReply{}
	err := s.view(ctx, func(reader shard.Reader) error {
		ids, more, err := listIDs(reader, spaceTenantJob, request)
		if err != nil {
			return err
		}
		reply.More = more
		for _, id := range ids {
			job, err := loadJob(reader, request.GetTenant(), id)
			if err != nil {
				return err
			}
			reply.Jobs = append(reply.Jobs, job)
		}
		return nil
	})
	reply.Status = s.status(err)
	return reply, nil
}
