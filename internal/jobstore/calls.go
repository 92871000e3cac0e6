package jobstore

import (
	"context"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

var _ pb.DRPCJobStoreServer = (*Server)(nil)

// Waiting lists the jobs with items to lease.
func (s *Server) Waiting(ctx context.Context, request *pb.WaitingRequest) (*pb.WaitingReply, error) {
	jobs, err := s.waiting(ctx, int(request.GetLimit()))
	return &pb.WaitingReply{Status: s.status(err), Jobs: jobs}, nil
}

// Lease hands out items of a job to a worker.
func (s *Server) Lease(ctx context.Context, request *pb.LeaseRequest) (*pb.LeaseReply, error) {
	reply, err := s.lease(ctx, request)
	if err != nil {
		return &pb.LeaseReply{Status: s.status(err)}, nil
	}
	reply.Status = s.status(nil)
	return reply, nil
}

// Renew extends a worker's leases and returns those it must give up.
func (s *Server) Renew(ctx context.Context, request *pb.RenewRequest) (*pb.RenewReply, error) {
	lost, err := s.renew(ctx, request)
	return &pb.RenewReply{Status: s.status(err), Lost: lost}, nil
}

// Complete commits results of items.
func (s *Server) Complete(ctx context.Context, request *pb.CompleteRequest) (*pb.Ack, error) {
	return &pb.Ack{Status: s.status(s.complete(ctx, request))}, nil
}

// Release gives back items that definitely did not run.
func (s *Server) Release(ctx context.Context, request *pb.ReleaseRequest) (*pb.Ack, error) {
	return &pb.Ack{Status: s.status(s.release(ctx, request))}, nil
}

// Begin starts a non-repeatable request, or reports the earlier start.
func (s *Server) Begin(ctx context.Context, request *pb.BeginCall) (*pb.BeginReply, error) {
	begin := request.GetBegin()
	begin.Deadline = s.settings.Now().Add(s.settings.LedgerTimeout).UnixNano()
	reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Begin{Begin: begin}}, s.settings.MinimumCopies)
	if err != nil {
		return &pb.BeginReply{Status: s.status(err)}, nil
	}
	entry := reply.GetLedger()
	started := entry.GetState() == pb.LedgerState_LEDGER_STARTED && entry.GetToken() == begin.GetToken()
	return &pb.BeginReply{Status: s.status(nil), Entry: entry, Started: started}, nil
}

// Settle ends an attempt at a non-repeatable request.
func (s *Server) Settle(ctx context.Context, request *pb.SettleCall) (*pb.Ack, error) {
	settle := request.GetSettle()
	settle.Retention = int64(s.settings.LedgerRetention)
	_, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Settle{Settle: settle}}, 0)
	return &pb.Ack{Status: s.status(err)}, nil
}
