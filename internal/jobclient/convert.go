package jobclient

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}

func fileOf(record *pb.FileRecord) job.File {
	return job.File{
		ID:      ident.File(record.GetId()),
		Tenant:  ident.Tenant(record.GetTenant()),
		Name:    record.GetName(),
		Purpose: record.GetPurpose(),
		Bytes:   record.GetBytes(),
		Lines:   int(record.GetLines()),
		Digest:  record.GetDigest(),
		Created: timeOf(record.GetCreated()),
		Expires: timeOf(record.GetExpires()),
	}
}

func jobOf(record *pb.JobRecord) job.Job {
	if record == nil {
		return job.Job{}
	}
	converted := job.Job{
		ID: ident.Job(record.GetId()),
		Spec: job.Spec{
			Tenant:    ident.Tenant(record.GetTenant()),
			InputFile: ident.File(record.GetInputFile()),
			Endpoint:  inference.Endpoint(record.GetEndpoint()),
			Window:    time.Duration(record.GetWindow()),
			Metadata:  record.GetMetadata(),
		},
		Status:   statusOf(record),
		Counts:   job.Counts{Total: int(record.GetTotal()), Completed: int(record.GetCompleted()), Failed: int(record.GetFailed())},
		Created:  timeOf(record.GetCreated()),
		Deadline: timeOf(record.GetDeadline()),
		Started:  timeOf(record.GetStarted()),
		Ended:    timeOf(record.GetEnded()),
		Expires:  timeOf(record.GetExpires()),
	}
	if record.GetStop() == pb.StopReason_STOP_CANCELLED {
		converted.CancelledAt = timeOf(record.GetStopped())
	}
	if record.GetDone() {
		converted.Finalized = converted.Ended
	}
	if record.GetDone() && record.GetCompleted() > 0 {
		converted.OutputFile = ident.File(record.GetOutputFile())
	}
	if record.GetDone() && record.GetFailed() > 0 {
		converted.ErrorFile = ident.File(record.GetErrorFile())
	}
	return converted
}

func statusOf(record *pb.JobRecord) job.Status {
	switch record.GetStop() {
	case pb.StopReason_STOP_CANCELLED:
		return either(record.GetDone(), job.Cancelled, job.Cancelling)
	case pb.StopReason_STOP_EXPIRED:
		return either(record.GetDone(), job.Expired, job.Finalizing)
	}
	if record.GetIndexed() < record.GetChunks() {
		return job.Validating
	}
	return either(record.GetDone(), job.Completed, job.InProgress)
}

func either(ended bool, after, before job.Status) job.Status {
	if ended {
		return after
	}
	return before
}
