package jobstore

import (
	"context"
	"encoding/json"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// complete commits a worker's results. It needs no lease to be alive: the first committed result of an item wins.
func (s *Server) complete(ctx context.Context, request *pb.CompleteRequest) error {
	results := make([]*pb.ItemResult, len(request.GetItems()))
	for position, item := range request.GetItems() {
		results[position] = renderResult(request.GetJob(), item)
	}
	_, err := s.record(ctx, &pb.CompleteItems{Job: request.GetJob(), Lease: request.GetLease(), Results: results})
	return err
}

// renderResult returns the line of a worker's result.
func renderResult(job string, item *pb.CompletedItem) *pb.ItemResult {
	result := &pb.ItemResult{Index: item.GetIndex(), Failed: item.GetFailed()}
	if item.GetHttpStatus() == 0 {
		result.Failed = true
		result.Line = renderError(job, item.GetIndex(), item.GetCustomId(), errorOf(item.GetBody()))
		return result
	}
	line, valid := renderResponse(job, item.GetIndex(), item.GetCustomId(), int(item.GetHttpStatus()), item.GetBody())
	if !valid {
		result.Failed = true
		line = renderError(job, item.GetIndex(), item.GetCustomId(), &itemError{Code: string(failure.CodeBackendFailed), Message: "the answer was not JSON"})
	}
	result.Line = line
	return result
}

// errorOf reads the error object of a result without an HTTP status: {"code","message"}, bare or under "error".
func errorOf(body []byte) *itemError {
	var decoded struct {
		itemError
		Error itemError `json:"error"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return &itemError{Code: string(failure.CodeInternal), Message: "the item failed without a reason"}
	}
	if decoded.Error.Code != "" {
		return &decoded.Error
	}
	if decoded.Code == "" {
		decoded.Code = string(failure.CodeInternal)
	}
	return &decoded.itemError
}

// record commits results in commands of bounded size and returns how many were the first of their item.
func (s *Server) record(ctx context.Context, complete *pb.CompleteItems) (accepted int, err error) {
	results := complete.GetResults()
	for len(results) > 0 {
		count := fitting(results)
		part := &pb.CompleteItems{Job: complete.GetJob(), Lease: complete.GetLease(), StartedOnly: complete.GetStartedOnly(), Results: results[:count]}
		reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Complete{Complete: part}}, 0)
		if err != nil {
			return accepted, err
		}
		s.recorded(part, reply)
		accepted += int(reply.GetAccepted())
		results = results[count:]
	}
	return accepted, nil
}

// fitting returns how many of the results fit into one command; one always does.
func fitting(results []*pb.ItemResult) int {
	size := 0
	for count, result := range results {
		size += len(result.GetLine())
		if size > MaxCommandBytes && count > 0 {
			return count
		}
	}
	return len(results)
}

// recorded brings the leader's memory up to a committed command.
func (s *Server) recorded(complete *pb.CompleteItems, reply *pb.Reply) {
	s.metrics.add((*Metrics).completedItems, int(reply.GetAccepted()))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	job := s.jobs[complete.GetJob()]
	if job == nil {
		return
	}
	if !complete.GetStartedOnly() {
		s.settleItems(job, complete)
	}
	s.update(job, reply.GetJob())
}

// settleItems marks items with a result as busy for good and takes them out of their lease.
func (s *Server) settleItems(job *activeJob, complete *pb.CompleteItems) {
	indexes := resultIndexes(complete.GetResults())
	job.take(indexes)
	lease := s.leases[complete.GetLease()]
	if lease == nil || lease.job != job {
		return
	}
	finished := map[uint32]bool{}
	for _, index := range indexes {
		finished[index] = true
	}
	rest := lease.indexes[:0]
	for _, index := range lease.indexes {
		if !finished[index] {
			rest = append(rest, index)
		}
	}
	s.shrink(lease, rest)
}

// update takes over a newer record of a job and forgets the job once it is done. Records of commands may come out of
// order; a job's state only moves forward.
func (s *Server) update(job *activeJob, record *pb.JobRecord) {
	if record == nil || older(record, job.record) {
		return
	}
	job.record = record
	if !record.GetDone() || s.jobs[job.id] != job {
		return
	}
	delete(s.jobs, job.id)
	for _, lease := range s.leases {
		if lease.job == job {
			delete(s.leases, lease.name)
		}
	}
	event.JobEnded.Log(s.logger).Str("job", job.id).Str("tenant", job.tenant).Uint32("completed", record.GetCompleted()).Uint32("failed", record.GetFailed()).Str("reason", record.GetStop().String()).Send()
}

func older(record, than *pb.JobRecord) bool {
	return record.GetCompleted() < than.GetCompleted() ||
		record.GetFailed() < than.GetFailed() ||
		record.GetIndexed() < than.GetIndexed() ||
		record.GetStop() == pb.StopReason_STOP_NONE && than.GetStop() != pb.StopReason_STOP_NONE
}
