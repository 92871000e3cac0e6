package jobstore

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Quota is what one tenant may keep. A zero field sets no bound.
type Quota struct {
	// MaxJobs bounds unfinished jobs.
	MaxJobs int
	// MaxBytes bounds the bytes of files and of the results of unfinished jobs. It is looked at when an upload begins
	// and when a job is submitted, so uploads and jobs under way may pass it, each by its own size at most.
	MaxBytes int64
	// Retention is how long the tenant's files, and jobs after their end, are kept; zero means the store's own.
	Retention time.Duration
}

// quotaRetryAfter is what a tenant over its quota is told to wait: its jobs have to end or its files to go first.
const quotaRetryAfter = time.Minute

func (s *Server) quota(tenant string) Quota {
	if s.settings.Quota == nil {
		return Quota{}
	}
	return s.settings.Quota(ident.Tenant(tenant))
}

// retention returns how long something of a tenant is kept, given the store's own retention.
func (s *Server) retention(tenant string, own time.Duration) time.Duration {
	if chosen := s.quota(tenant).Retention; chosen > 0 {
		return chosen
	}
	return own
}

// admitUpload refuses the first chunk of an upload for want of room or quota.
func (s *Server) admitUpload(ctx context.Context, chunk *pb.AppendChunk) error {
	if err := s.require(RoomEnough); err != nil {
		return err
	}
	if chunk.GetSequence() > 0 {
		return nil
	}
	return s.view(ctx, func(reader shard.Reader) error {
		return checkBytes(reader, chunk.GetTenant(), s.quota(chunk.GetTenant()))
	})
}

// admitJob refuses a new job for want of room or quota. A resend of an accepted one is let through to find it.
func (s *Server) admitJob(ctx context.Context, accept *pb.AcceptJob) error {
	return s.view(ctx, func(reader shard.Reader) error {
		known, err := submitted(reader, accept)
		if err != nil || known {
			return err
		}
		if err := s.require(RoomEnough); err != nil {
			return err
		}
		quota := s.quota(accept.GetTenant())
		if err := checkJobs(reader, accept.GetTenant(), quota); err != nil {
			return err
		}
		return checkBytes(reader, accept.GetTenant(), quota)
	})
}

// submitted reports whether a submission names a job that was accepted.
func submitted(reader shard.Reader, accept *pb.AcceptJob) (bool, error) {
	file, err := loadFile(reader, accept.GetTenant(), accept.GetInputFile())
	if err != nil || accept.GetKey() == "" && file == nil {
		return false, err
	}
	return load(reader, submissionKey(accept, file), &pb.KeyRecord{})
}

func checkJobs(reader shard.Reader, tenant string, quota Quota) error {
	if quota.MaxJobs == 0 {
		return nil
	}
	jobs, err := unfinishedJobs(reader, tenant)
	if err != nil || len(jobs) < quota.MaxJobs {
		return err
	}
	return failure.New(failure.CodeJobQuota, "the tenant has %d unfinished jobs; at most %d are allowed", len(jobs), quota.MaxJobs).WithRetryAfter(quotaRetryAfter)
}

func checkBytes(reader shard.Reader, tenant string, quota Quota) error {
	if quota.MaxBytes == 0 {
		return nil
	}
	kept, err := keptBytes(reader, tenant)
	if err != nil || kept < quota.MaxBytes {
		return err
	}
	return failure.New(failure.CodeJobQuota, "the tenant keeps %d bytes of files and results; at most %d are allowed", kept, quota.MaxBytes).WithRetryAfter(quotaRetryAfter)
}

// unfinishedJobs returns a tenant's unfinished jobs.
func unfinishedJobs(reader shard.Reader, tenant string) ([]*pb.JobRecord, error) {
	ids, err := activeJobs(reader)
	if err != nil {
		return nil, err
	}
	var jobs []*pb.JobRecord
	for _, id := range ids {
		job, err := loadJob(reader, tenant, id)
		if err != nil {
			return nil, err
		}
		if job != nil {
			jobs = append(jobs, job)
		}
	}
	return jobs, nil
}

// keptBytes sums a tenant's files and the results of its unfinished jobs.
func keptBytes(reader shard.Reader, tenant string) (int64, error) {
	jobs, err := unfinishedJobs(reader, tenant)
	if err != nil {
		return 0, err
	}
	sum := int64(0)
	for _, job := range jobs {
		sum += job.GetOutputBytes() + job.GetErrorBytes()
	}
	var ids []string
	start, end := ownerRange(spaceTenantFile, tenant)
	err = reader.Scan(start, end, func(_, id []byte) bool {
		ids = append(ids, string(id))
		return true
	})
	if err != nil {
		return 0, err
	}
	for _, id := range ids {
		file, err := loadFile(reader, tenant, id)
		if err != nil {
			return 0, err
		}
		sum += file.GetBytes()
	}
	return sum, nil
}
