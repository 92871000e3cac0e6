package jobstore

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// FaultOf returns a failure as it travels on the wire. The cause stays behind.
func FaultOf(refusal *failure.Error) *pb.Fault {
	return &pb.Fault{
		Code:       string(refusal.Code),
		Message:    refusal.Message,
		Param:      refusal.Param,
		Line:       int32(refusal.Line),
		Outcome:    uint32(refusal.Outcome),
		RetryAfter: int64(refusal.RetryAfter),
	}
}

// ErrorOf returns the failure a fault carries, or nil for none.
func ErrorOf(fault *pb.Fault) error {
	if fault == nil {
		return nil
	}
	return &failure.Error{
		Code:       failure.Code(fault.GetCode()),
		Message:    fault.GetMessage(),
		Param:      fault.GetParam(),
		Line:       int(fault.GetLine()),
		Outcome:    outcome.Outcome(fault.GetOutcome()),
		RetryAfter: time.Duration(fault.GetRetryAfter()),
	}
}

func notFound(kind, id string) *failure.Error {
	return failure.New(failure.CodeNotFound, "no %s %q", kind, id)
}
