package jobclient

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// Submit accepts a job durably. A resend returns the first job and true. After a failure with an Unknown outcome the
// job may exist; a resend finds it.
func (c *Client) Submit(ctx context.Context, spec job.Spec) (job.Job, bool, error) {
	if err := requireSpec(spec); err != nil {
		return job.Job{}, false, err
	}
	home := c.home(spec.Tenant)
	request := &pb.SubmitRequest{
		Shard:     uint32(home),
		Tenant:    string(spec.Tenant),
		Key:       spec.IdempotencyKey,
		InputFile: string(spec.InputFile),
		Endpoint:  string(spec.Endpoint),
		Window:    int64(spec.Window),
		Metadata:  spec.Metadata,
	}
	answer, _, err := call(ctx, c, home, "Submit", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.JobReply, error) {
		return leader.Submit(ctx, request)
	})
	return jobOf(answer.GetJob()), answer.GetResent(), err
}

func requireSpec(spec job.Spec) error {
	fields := map[string]string{"Idempotency-Key": spec.IdempotencyKey, "input_file_id": string(spec.InputFile), "endpoint": string(spec.Endpoint)}
	for key, value := range spec.Metadata {
		fields["metadata"] += key + value
	}
	for param, text := range fields {
		if err := requireText(param, text); err != nil {
			return err
		}
	}
	return nil
}

// Job returns a job of the tenant.
func (c *Client) Job(ctx context.Context, tenant ident.Tenant, id ident.Job) (job.Job, error) {
	home := c.home(tenant)
	request := &pb.JobRequest{Shard: uint32(home), Tenant: string(tenant), Job: string(id)}
	if err := requireText("batch_id", request.Job); err != nil {
		return job.Job{}, err
	}
	answer, _, err := call(ctx, c, home, "GetJob", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.JobReply, error) {
		return leader.GetJob(ctx, request)
	})
	return jobOf(answer.GetJob()), err
}

// Jobs lists a tenant's jobs, newest first, and says whether there are more.
func (c *Client) Jobs(ctx context.Context, tenant ident.Tenant, after ident.Job, limit int) ([]job.Job, bool, error) {
	home := c.home(tenant)
	request := &pb.ListRequest{Shard: uint32(home), Tenant: string(tenant), After: string(after), Limit: uint32(limit)}
	if err := requireText("after", request.After); err != nil {
		return nil, false, err
	}
	answer, _, err := call(ctx, c, home, "ListJobs", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.ListJobsReply, error) {
		return leader.ListJobs(ctx, request)
	})
	var jobs []job.Job
	for _, record := range answer.GetJobs() {
		jobs = append(jobs, jobOf(record))
	}
	return jobs, answer.GetMore(), err
}

// Cancel commits the cancellation; no item starts later than one lease TTL after it returns.
func (c *Client) Cancel(ctx context.Context, tenant ident.Tenant, id ident.Job) (job.Job, error) {
	home := c.home(tenant)
	request := &pb.JobRequest{Shard: uint32(home), Tenant: string(tenant), Job: string(id)}
	if err := requireText("batch_id", request.Job); err != nil {
		return job.Job{}, err
	}
	answer, _, err := call(ctx, c, home, "CancelJob", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.JobReply, error) {
		return leader.CancelJob(ctx, request)
	})
	return jobOf(answer.GetJob()), err
}
