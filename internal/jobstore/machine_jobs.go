package jobstore

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// applyAccept accepts a job, or finds the one its key names. The key is written with the job, so that no resend can
// make a second one.
func applyAccept(transaction shard.Transaction, now int64, accept *pb.AcceptJob) (*pb.Reply, error) {
	file, err := loadFile(transaction, accept.GetTenant(), accept.GetInputFile())
	if err != nil {
		return nil, err
	}
	if accept.GetKey() == "" && (file == nil || !file.GetSealed()) {
		return refuse(notFound("file", accept.GetInputFile()).WithParam("input_file_id"))
	}
	key := submissionKey(accept, file)
	earlier := &pb.KeyRecord{}
	found, err := load(transaction, key, earlier)
	if err != nil {
		return nil, err
	}
	if found {
		return answerResend(transaction, accept, file, earlier)
	}
	if refusal := refuseInput(file, accept); refusal != nil {
		return refuse(refusal)
	}
	job := &pb.JobRecord{
		Id:         accept.GetJob(),
		Tenant:     accept.GetTenant(),
		Key:        key,
		InputFile:  file.GetId(),
		Endpoint:   accept.GetEndpoint(),
		Window:     accept.GetWindow(),
		Metadata:   accept.GetMetadata(),
		Digest:     file.GetDigest(),
		OutputFile: accept.GetOutputFile(),
		ErrorFile:  accept.GetErrorFile(),
		Total:      file.GetLines(),
		Created:    now,
		Deadline:   now + accept.GetWindow(),
		Retention:  accept.GetRetention(),
		Chunks:     file.GetChunks(),
	}
	file.Jobs++
	writes := &writer{transaction: transaction}
	writes.save(idKey(spaceFile, file.GetId()), file)
	writes.save(idKey(spaceJob, job.GetId()), job)
	writes.set(pairKey(spaceTenantJob, job.GetTenant(), newestFirst(job.GetId())), []byte(job.GetId()))
	writes.set(idKey(spaceActive, job.GetId()), nil)
	writes.set(expiryKey(job.GetDeadline(), expiryDeadline, job.GetId()), nil)
	writes.save(key, &pb.KeyRecord{
		Job:       job.GetId(),
		Digest:    job.GetDigest(),
		Endpoint:  job.GetEndpoint(),
		InputFile: job.GetInputFile(),
	})
	return &pb.Reply{Job: job}, writes.err
}

// submissionKey returns the state key that names a submission. A caller's own key and a digest never meet.
func submissionKey(accept *pb.AcceptJob, file *pb.FileRecord) []byte {
	if accept.GetKey() != "" {
		return pairKey(spaceKey, accept.GetTenant(), "k"+accept.GetKey())
	}
	return pairKey(spaceKey, accept.GetTenant(), "d"+file.GetDigest()+accept.GetEndpoint())
}

// answerResend returns the first job of a key, or refuses the key if it named another submission.
func answerResend(transaction shard.Transaction, accept *pb.AcceptJob, file *pb.FileRecord, earlier *pb.KeyRecord) (*pb.Reply, error) {
	sameFile := earlier.GetInputFile() == accept.GetInputFile()
	sameDigest := file != nil && file.GetDigest() == earlier.GetDigest()
	if earlier.GetEndpoint() != accept.GetEndpoint() || !(sameFile || sameDigest) {
		return refuse(failure.New(failure.CodeIdempotencyMismatch, "the idempotency key was used for another submission"))
	}
	job := &pb.JobRecord{}
	if _, err := load(transaction, idKey(spaceJob, earlier.GetJob()), job); err != nil {
		return nil, err
	}
	return &pb.Reply{Job: job, Resent: true}, nil
}

// refuseInput says why a file cannot be the input of a job, or returns nil.
func refuseInput(file *pb.FileRecord, accept *pb.AcceptJob) *failure.Error {
	if file == nil || !file.GetSealed() {
		return notFound("file", accept.GetInputFile()).WithParam("input_file_id")
	}
	if file.GetPurpose() != PurposeBatch || file.GetResultOf() != "" {
		return failure.New(failure.CodeInvalidRequest, "the purpose of the input file must be %q", PurposeBatch).WithParam("input_file_id")
	}
	if file.GetLines() == 0 {
		return failure.New(failure.CodeInvalidRequest, "the input file has no lines").WithParam("input_file_id")
	}
	if limit := accept.GetMaxItems(); limit > 0 && file.GetLines() > limit {
		return failure.New(failure.CodeInvalidRequest, "a job may have at most %d items, not %d", limit, file.GetLines()).WithParam("input_file_id")
	}
	return nil
}

// applyCancel stops a job. Results of items that ran before the stop took hold are still recorded; the leader ends the
// others once no lease of the job is left.
func applyCancel(transaction shard.Transaction, now int64, request *pb.CancelJob) (*pb.Reply, error) {
	job, err := loadJob(transaction, request.GetTenant(), request.GetJob())
	if err != nil {
		return nil, err
	}
	if job == nil {
		return refuse(notFound("batch", request.GetJob()))
	}
	if job.GetDone() || job.GetStop() == pb.StopReason_STOP_CANCELLED {
		return &pb.Reply{Job: job, Resent: true}, nil
	}
	if job.GetStop() == pb.StopReason_STOP_NONE {
		job.Stop = pb.StopReason_STOP_CANCELLED
		job.Stopped = now
	}
	return &pb.Reply{Job: job}, save(transaction, idKey(spaceJob, job.GetId()), job)
}

// endJob ends a job, every item of which has a result: it publishes the result files, gives the input file free and
// deletes what only an unfinished job needs.
func (w *writer) endJob(now int64, job *pb.JobRecord) {
	job.Done = true
	job.Ended = now
	job.Expires = now + job.GetRetention()
	if job.GetCompleted() > 0 {
		w.publishFile(resultFile(job, false))
	}
	if job.GetFailed() > 0 {
		w.publishFile(resultFile(job, true))
	}
	w.releaseInput(job)
	w.delete(idKey(spaceActive, job.GetId()))
	w.deleteOwner(spaceIndex, job.GetId())
	w.deleteOwner(spaceDone, job.GetId())
	w.deleteOwner(spaceStart, job.GetId())
	w.set(expiryKey(job.GetExpires(), expiryJob, job.GetId()), nil)
}

func (w *writer) releaseInput(job *pb.JobRecord) {
	if w.err != nil {
		return
	}
	file, err := loadFile(w.transaction, job.GetTenant(), job.GetInputFile())
	if err != nil || file == nil {
		w.err = err
		return
	}
	file.Jobs--
	w.save(idKey(spaceFile, file.GetId()), file)
}

// resultFile returns the record of a job's output or error file.
func resultFile(job *pb.JobRecord, errors bool) *pb.FileRecord {
	file := &pb.FileRecord{
		Id:       job.GetOutputFile(),
		Tenant:   job.GetTenant(),
		Name:     job.GetId() + "_output.jsonl",
		Purpose:  PurposeOutput,
		Bytes:    job.GetOutputBytes(),
		Lines:    job.GetCompleted(),
		Created:  job.GetEnded(),
		Expires:  job.GetExpires(),
		Sealed:   true,
		ResultOf: job.GetId(),
		Errors:   errors,
	}
	if errors {
		file.Id = job.GetErrorFile()
		file.Name = job.GetId() + "_errors.jsonl"
		file.Bytes = job.GetErrorBytes()
		file.Lines = job.GetFailed()
	}
	return file
}

// deleteJob deletes a job with its results and its submission key.
func (w *writer) deleteJob(job *pb.JobRecord) {
	w.deleteFile(resultFile(job, false))
	w.deleteFile(resultFile(job, true))
	w.delete(job.GetKey())
	w.delete(pairKey(spaceTenantJob, job.GetTenant(), newestFirst(job.GetId())))
	w.delete(idKey(spaceJob, job.GetId()))
}

// loadJob returns a tenant's job, or nil if there is none. An empty tenant stands for any.
func loadJob(reader shard.Reader, tenant, id string) (*pb.JobRecord, error) {
	job := &pb.JobRecord{}
	found, err := load(reader, idKey(spaceJob, id), job)
	if err != nil || !found {
		return nil, err
	}
	if tenant != "" && job.GetTenant() != tenant {
		return nil, nil
	}
	return job, nil
}
