package jobstore

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// PurposeBatch is the purpose of an upload that a job may read; PurposeOutput is that of generated files.
const (
	PurposeBatch  = "batch"
	PurposeOutput = "batch_output"
)

// applyAppend adds a chunk to an upload that is not sealed yet. Chunks arrive in order; one that is stored already is
// acknowledged again, so that a chunk may be resent after a lost reply.
func applyAppend(transaction shard.Transaction, now int64, chunk *pb.AppendChunk) (*pb.Reply, error) {
	file := &pb.FileRecord{}
	found, err := load(transaction, idKey(spaceFile, chunk.GetFile()), file)
	if err != nil {
		return nil, err
	}
	if !found {
		file = &pb.FileRecord{
			Id:      chunk.GetFile(),
			Tenant:  chunk.GetTenant(),
			Name:    chunk.GetName(),
			Purpose: chunk.GetPurpose(),
			Created: now,
			Expires: chunk.GetUploadExpires(),
		}
	}
	if file.GetTenant() != chunk.GetTenant() {
		return refuse(notFound("file", chunk.GetFile()))
	}
	if chunk.GetSequence() < file.GetChunks() {
		return &pb.Reply{File: file, Resent: true}, nil
	}
	if chunk.GetSequence() > file.GetChunks() || file.GetSealed() {
		return refuse(failure.New(failure.CodeConflict, "the upload expired or its parts came out of order"))
	}
	if limit := chunk.GetMaxBytes(); limit > 0 && file.GetBytes()+int64(len(chunk.GetData())) > limit {
		return refuse(failure.New(failure.CodeBodyTooLarge, "a file may have at most %d bytes", limit).WithParam("file"))
	}
	writes := &writer{transaction: transaction}
	if !found {
		writes.set(expiryKey(file.GetExpires(), expiryFile, file.GetId()), nil)
	}
	writes.set(numberKey(spaceChunk, file.GetId(), chunk.GetSequence()), chunk.GetData())
	writes.save(numberKey(spaceChunkRecord, file.GetId(), chunk.GetSequence()), &pb.ChunkRecord{
		Lines:    chunk.GetLines(),
		Bytes:    uint32(len(chunk.GetData())),
		Fragment: chunk.GetFragment(),
	})
	file.Chunks++
	file.Lines += chunk.GetLines()
	file.Bytes += int64(len(chunk.GetData()))
	writes.save(idKey(spaceFile, file.GetId()), file)
	return &pb.Reply{File: file}, writes.err
}

// applySeal makes an upload a file. Only then can it be read, listed or submitted.
func applySeal(transaction shard.Transaction, seal *pb.SealFile) (*pb.Reply, error) {
	file, err := loadFile(transaction, seal.GetTenant(), seal.GetFile())
	if err != nil {
		return nil, err
	}
	if file == nil {
		return refuse(notFound("file", seal.GetFile()))
	}
	if file.GetChunks() != seal.GetChunks() {
		return refuse(failure.New(failure.CodeConflict, "the upload has %d parts, not %d", file.GetChunks(), seal.GetChunks()))
	}
	if file.GetSealed() {
		return &pb.Reply{File: file, Resent: true}, nil
	}
	file.Sealed = true
	file.Digest = seal.GetDigest()
	file.Expires = seal.GetExpires()
	writes := &writer{transaction: transaction}
	writes.publishFile(file)
	return &pb.Reply{File: file}, writes.err
}

// publishFile writes a sealed file's record and its entries in the tenant's list and the expiry index.
func (w *writer) publishFile(file *pb.FileRecord) {
	w.save(idKey(spaceFile, file.GetId()), file)
	w.set(pairKey(spaceTenantFile, file.GetTenant(), newestFirst(file.GetId())), []byte(file.GetId()))
	w.set(expiryKey(file.GetExpires(), expiryFile, file.GetId()), nil)
}

// applyDeleteFile deletes a file unless an unfinished job reads it.
func applyDeleteFile(transaction shard.Transaction, request *pb.DeleteFile) (*pb.Reply, error) {
	file, err := loadFile(transaction, request.GetTenant(), request.GetFile())
	if err != nil {
		return nil, err
	}
	if file == nil {
		return refuse(notFound("file", request.GetFile()))
	}
	if file.GetJobs() > 0 {
		return refuse(failure.New(failure.CodeConflict, "unfinished jobs read file %q", file.GetId()))
	}
	writes := &writer{transaction: transaction}
	writes.deleteFile(file)
	return &pb.Reply{File: file}, writes.err
}

// deleteFile deletes a file's record, list entry and bytes. Its expiry entry stays and finds nothing when it is due.
func (w *writer) deleteFile(file *pb.FileRecord) {
	w.delete(idKey(spaceFile, file.GetId()))
	w.delete(pairKey(spaceTenantFile, file.GetTenant(), newestFirst(file.GetId())))
	if file.GetResultOf() != "" {
		w.deleteOwner(resultSpace(file.GetErrors()), file.GetResultOf())
		return
	}
	w.deleteOwner(spaceChunk, file.GetId())
	w.deleteOwner(spaceChunkRecord, file.GetId())
}

// loadFile returns a tenant's file, or nil if there is none.
func loadFile(reader shard.Reader, tenant, id string) (*pb.FileRecord, error) {
	file := &pb.FileRecord{}
	found, err := load(reader, idKey(spaceFile, id), file)
	if err != nil || !found || file.GetTenant() != tenant {
		return nil, err
	}
	return file, nil
}
