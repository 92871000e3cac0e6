package jobstore

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

const (
	// maxPage bounds the entries of one page of a list.
	maxPage = 100
	// maxReadBytes bounds the data of one ReadFile reply, in bytes, unless a single line is longer.
	maxReadBytes = 512 << 10
)

// AppendFile adds a chunk to an upload.
func (s *Server) AppendFile(ctx context.Context, request *pb.AppendFileRequest) (*pb.FileReply, error) {
	chunk := request.GetChunk()
	if len(chunk.GetData()) > MaxCommandBytes {
		return s.fileReply(nil, failure.New(failure.CodeBodyTooLarge, "a part may have at most %d bytes", MaxCommandBytes))
	}
	if err := s.admitUpload(ctx, chunk); err != nil {
		return s.fileReply(nil, err)
	}
	chunk.UploadExpires = s.settings.Now().Add(s.settings.UploadTimeout).UnixNano()
	chunk.MaxBytes = s.settings.MaxFileBytes
	return s.fileReply(s.propose(ctx, &pb.Command{Operation: &pb.Command_Append{Append: chunk}}, 0))
}

// SealFile makes an upload a file, durable on the promised number of copies.
func (s *Server) SealFile(ctx context.Context, request *pb.SealFileRequest) (*pb.FileReply, error) {
	seal := request.GetSeal()
	seal.Expires = s.settings.Now().Add(s.retention(seal.GetTenant(), s.settings.FileRetention)).UnixNano()
	return s.fileReply(s.propose(ctx, &pb.Command{Operation: &pb.Command_Seal{Seal: seal}}, s.settings.MinimumCopies))
}

// DeleteFile deletes a file that no unfinished job reads.
func (s *Server) DeleteFile(ctx context.Context, request *pb.FileRequest) (*pb.FileReply, error) {
	remove := &pb.DeleteFile{Tenant: request.GetTenant(), File: request.GetFile()}
	return s.fileReply(s.propose(ctx, &pb.Command{Operation: &pb.Command_DeleteFile{DeleteFile: remove}}, 0))
}

// GetFile returns a sealed file.
func (s *Server) GetFile(ctx context.Context, request *pb.FileRequest) (*pb.FileReply, error) {
	file, err := s.sealedFile(ctx, request.GetTenant(), request.GetFile())
	return s.fileReply(&pb.Reply{File: file}, err)
}

func (s *Server) sealedFile(ctx context.Context, tenant, id string) (*pb.FileRecord, error) {
	var file *pb.FileRecord
	err := s.view(ctx, func(reader shard.Reader) (err error) {
		file, err = loadFile(reader, tenant, id)
		return err
	})
	if err != nil {
		return nil, err
	}
	if file == nil || !file.GetSealed() {
		return nil, notFound("file", id)
	}
	return file, nil
}

func (s *Server) fileReply(reply *pb.Reply, err error) (*pb.FileReply, error) {
	return &pb.FileReply{Status: s.status(err), File: reply.GetFile()}, nil
}

// ListFiles lists a tenant's files, newest first.
func (s *Server) ListFiles(ctx context.Context, request *pb.ListRequest) (*pb.ListFilesReply, error) {
	reply := &pb.ListFilesReply{}
	err := s.view(ctx, func(reader shard.Reader) error {
		ids, more, err := listIDs(reader, spaceTenantFile, request)
		if err != nil {
			return err
		}
		reply.More = more
		for _, id := range ids {
			file, err := loadFile(reader, request.GetTenant(), id)
			if err != nil {
				return err
			}
			reply.Files = append(reply.Files, file)
		}
		return nil
	})
	reply.Status = s.status(err)
	return reply, nil
}

// listIDs returns a page of a tenant's list and whether there is more.
func listIDs(reader shard.Reader, space byte, request *pb.ListRequest) (ids []string, more bool, err error) {
	limit := int(request.GetLimit())
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	start, end := ownerRange(space, request.GetTenant())
	if request.GetAfter() != "" {
		start = append(pairKey(space, request.GetTenant(), newestFirst(request.GetAfter())), 0)
	}
	err = reader.Scan(start, end, func(_, id []byte) bool {
		more = len(ids) == limit
		if !more {
			ids = append(ids, string(id))
		}
		return !more
	})
	return ids, more, err
}

// ReadFile returns the next piece of a file. The cursor is the key to go on from, so that a download survives a change
// of leader.
func (s *Server) ReadFile(ctx context.Context, request *pb.ReadFileRequest) (*pb.ReadFileReply, error) {
	reply, err := s.readFile(ctx, request)
	if err != nil {
		return &pb.ReadFileReply{Status: s.status(err)}, nil
	}
	reply.Status = s.status(nil)
	return reply, nil
}

func (s *Server) readFile(ctx context.Context, request *pb.ReadFileRequest) (*pb.ReadFileReply, error) {
	file, err := s.sealedFile(ctx, request.GetTenant(), request.GetFile())
	if err != nil {
		return nil, err
	}
	space, owner := byte(spaceChunk), file.GetId()
	if file.GetResultOf() != "" {
		space, owner = resultSpace(file.GetErrors()), file.GetResultOf()
	}
	start, end := ownerRange(space, owner)
	if len(request.GetCursor()) > 0 {
		start = append(start, request.GetCursor()...)
	}
	limit := maxReadBytes
	if asked := int(request.GetMaxBytes()); asked > 0 && asked < limit {
		limit = asked
	}
	reply := &pb.ReadFileReply{}
	prefix := len(appendString([]byte{space}, owner))
	err = s.view(ctx, func(reader shard.Reader) error {
		return reader.Scan(start, end, func(key, value []byte) bool {
			if len(reply.Data) > 0 && len(reply.Data)+len(value) >= limit {
				reply.Cursor = append([]byte(nil), key[prefix:]...)
				return false
			}
			reply.Data = append(reply.Data, value...)
			if file.GetResultOf() != "" {
				reply.Data = append(reply.Data, '\n')
			}
			return true
		})
	})
	if err != nil {
		return nil, fmt.Errorf("reading file %s: %w", file.GetId(), err)
	}
	return reply, nil
}
