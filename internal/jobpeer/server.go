package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
)

// maxQueryWait is the maximum time that a query may wait for a result.
const maxQueryWait = 2 * time.Second

// WorkerServer answers calls from a worker's memory and disk. It implements Server.
type WorkerServer struct {
	Worker *jobworker.Worker
	// Ledger contains the quota accounts of the tenants whose account holder this worker is.
	Ledger *quota.Ledger
	// Origins keeps where streams of other nodes began.
	Origins *streamorigin.Keeper
}

// Results implements Server.
func (s *WorkerServer) Results(ctx context.Context, query *ResultsQuery) (*ResultsReply, error) {
	wait := min(time.Duration(query.WaitMs)*time.Millisecond, maxQueryWait)
	held, sure := s.Worker.RecordedResults(ctx, query.Job, max(query.From, 0), wait)
	if !sure {
		holder := s.Worker.Holder(query.Job)
		return &ResultsReply{Holder: holder.Address, NoHolder: holder.Known && holder.Address == ""}, nil
	}
	return &ResultsReply{Sure: true, Tenant: held.Tenant, Total: held.Total, Results: held.Results}, nil
}

// Body implements Server.
func (s *WorkerServer) Body(_ context.Context, query *BodyQuery) (*BodyReply, error) {
	body, tenant, found := s.Worker.ItemBody(query.Job, query.Item)
	return &BodyReply{Found: found, Tenant: tenant, Body: body}, nil
}

// Demand implements Server.
func (s *WorkerServer) Demand(_ context.Context, report *demand.Report) (*demand.Answer, error) {
	return s.Worker.Demand(report), nil
}

// Mirror implements Server.
func (s *WorkerServer) Mirror(_ context.Context, request *MirrorRequest) (*MirrorReply, error) {
	return &MirrorReply{Gaps: s.Worker.Mirror(request.Updates)}, nil
}

// Recall implements Server.
func (s *WorkerServer) Recall(_ context.Context, query *RecallQuery) (*RecallReply, error) {
	return &RecallReply{Outputs: s.Worker.Mirrored(query.Job)}, nil
}

// Assign implements Server.
func (s *WorkerServer) Assign(_ context.Context, request *AssignRequest) (*AssignReply, error) {
	err := s.Worker.Assign(request.assigned(), kv.LeaseID(request.Lease))
	return &AssignReply{Taken: err == nil}, nil
}

// Lend implements Server.
func (s *WorkerServer) Lend(_ context.Context, request *lending.Request) (*lending.Reply, error) {
	return s.Worker.Lend(request), nil
}

// TakeBack implements Server.
func (s *WorkerServer) TakeBack(_ context.Context, recall *lending.Recall) (*TakeBackReply, error) {
	s.Worker.ApplyRecall(*recall)
	return &TakeBackReply{}, nil
}

// Ends implements Server.
func (s *WorkerServer) Ends(_ context.Context, request *EndsRequest) (*EndsReply, error) {
	s.Worker.PoisonWatch.ApplyRecords(request.Records, request.PassOn)
	reply := &EndsReply{}
	if request.Read != nil && s.Worker.PoisonWatch != nil {
		reply.News = s.Worker.PoisonWatch.Book.Since(*request.Read, s.Worker.Now(), false)
	}
	return reply, nil
}
