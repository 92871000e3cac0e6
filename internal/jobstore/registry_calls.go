package jobstore

import (
	"context"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// AppendFile passes the call to the shard's server.
func (r *Registry) AppendFile(ctx context.Context, request *pb.AppendFileRequest) (*pb.FileReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.AppendFile(ctx, request)
	}
	return &pb.FileReply{Status: absent()}, nil
}

// SealFile passes the call to the shard's server.
func (r *Registry) SealFile(ctx context.Context, request *pb.SealFileRequest) (*pb.FileReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.SealFile(ctx, request)
	}
	return &pb.FileReply{Status: absent()}, nil
}

// GetFile passes the call to the shard's server.
func (r *Registry) GetFile(ctx context.Context, request *pb.FileRequest) (*pb.FileReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.GetFile(ctx, request)
	}
	return &pb.FileReply{Status: absent()}, nil
}

// ListFiles passes the call to the shard's server.
func (r *Registry) ListFiles(ctx context.Context, request *pb.ListRequest) (*pb.ListFilesReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.ListFiles(ctx, request)
	}
	return &pb.ListFilesReply{Status: absent()}, nil
}

// DeleteFile passes the call to the shard's server.
func (r *Registry) DeleteFile(ctx context.Context, request *pb.FileRequest) (*pb.FileReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.DeleteFile(ctx, request)
	}
	return &pb.FileReply{Status: absent()}, nil
}

// ReadFile passes the call to the shard's server.
func (r *Registry) ReadFile(ctx context.Context, request *pb.ReadFileRequest) (*pb.ReadFileReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.ReadFile(ctx, request)
	}
	return &pb.ReadFileReply{Status: absent()}, nil
}

// Submit passes the call to the shard's server.
func (r *Registry) Submit(ctx context.Context, request *pb.SubmitRequest) (*pb.JobReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Submit(ctx, request)
	}
	return &pb.JobReply{Status: absent()}, nil
}

// GetJob passes the call to the shard's server.
func (r *Registry) GetJob(ctx context.Context, request *pb.JobRequest) (*pb.JobReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.GetJob(ctx, request)
	}
	return &pb.JobReply{Status: absent()}, nil
}

// ListJobs passes the call to the shard's server.
func (r *Registry) ListJobs(ctx context.Context, request *pb.ListRequest) (*pb.ListJobsReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.ListJobs(ctx, request)
	}
	return &pb.ListJobsReply{Status: absent()}, nil
}

// CancelJob passes the call to the shard's server.
func (r *Registry) CancelJob(ctx context.Context, request *pb.JobRequest) (*pb.JobReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.CancelJob(ctx, request)
	}
	return &pb.JobReply{Status: absent()}, nil
}

// Waiting asks the servers of all the shards named in the request.
func (r *Registry) Waiting(ctx context.Context, request *pb.WaitingRequest) (*pb.WaitingReply, error) {
	reply := &pb.WaitingReply{Status: &pb.Status{}}
	for _, id := range request.GetShards() {
		server := r.server(id)
		if server == nil {
			reply.Missed = append(reply.Missed, id)
			continue
		}
		jobs, err := server.waiting(ctx, int(request.GetLimit()))
		if err != nil {
			reply.Missed = append(reply.Missed, id)
			continue
		}
		reply.Jobs = append(reply.Jobs, jobs...)
	}
	return reply, nil
}

// Lease passes the call to the shard's server.
func (r *Registry) Lease(ctx context.Context, request *pb.LeaseRequest) (*pb.LeaseReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Lease(ctx, request)
	}
	return &pb.LeaseReply{Status: absent()}, nil
}

// Renew passes the call to the shard's server.
func (r *Registry) Renew(ctx context.Context, request *pb.RenewRequest) (*pb.RenewReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Renew(ctx, request)
	}
	return &pb.RenewReply{Status: absent()}, nil
}

// Complete passes the call to the shard's server.
func (r *Registry) Complete(ctx context.Context, request *pb.CompleteRequest) (*pb.Ack, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Complete(ctx, request)
	}
	return &pb.Ack{Status: absent()}, nil
}

// Release passes the call to the shard's server.
func (r *Registry) Release(ctx context.Context, request *pb.ReleaseRequest) (*pb.Ack, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Release(ctx, request)
	}
	return &pb.Ack{Status: absent()}, nil
}

// Begin passes the call to the shard's server.
func (r *Registry) Begin(ctx context.Context, request *pb.BeginCall) (*pb.BeginReply, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Begin(ctx, request)
	}
	return &pb.BeginReply{Status: absent()}, nil
}

// Settle passes the call to the shard's server.
func (r *Registry) Settle(ctx context.Context, request *pb.SettleCall) (*pb.Ack, error) {
	if server := r.server(request.GetShard()); server != nil {
		return server.Settle(ctx, request)
	}
	return &pb.Ack{Status: absent()}, nil
}
