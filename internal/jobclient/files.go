package jobclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"unicode/utf8"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// CreateFile streams an upload into the store, one chunk in memory at a time, and returns once it is durable. A failed
// upload leaves an unsealed file that nobody can see and that the store deletes.
func (c *Client) CreateFile(ctx context.Context, spec job.FileSpec, content io.Reader) (job.File, error) {
	if err := requireText("filename", spec.Name); err != nil {
		return job.File{}, err
	}
	id := "file-" + c.options.NewID()
	digest := sha256.New()
	cutter := &chunker{reader: content, target: chunkTarget, limit: jobstore.MaxCommandBytes}
	sequence := uint32(0)
	previous := 0
	for {
		piece, err := cutter.next(previous)
		if errors.Is(err, io.EOF) && sequence > 0 {
			break
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return job.File{}, failure.New(failure.CodeInvalidRequest, "the upload broke off").WithCause(err)
		}
		digest.Write(piece.data)
		if err := c.appendChunk(ctx, spec, id, sequence, piece); err != nil {
			return job.File{}, err
		}
		previous = len(piece.data)
		sequence++
	}
	return c.seal(ctx, spec, id, sequence, hex.EncodeToString(digest.Sum(nil)))
}

func (c *Client) appendChunk(ctx context.Context, spec job.FileSpec, id string, sequence uint32, piece chunk) error {
	home := c.home(spec.Tenant)
	request := &pb.AppendFileRequest{Shard: uint32(home), Chunk: &pb.AppendChunk{
		Tenant:   string(spec.Tenant),
		File:     id,
		Name:     spec.Name,
		Purpose:  spec.Purpose,
		Sequence: sequence,
		Data:     piece.data,
		Lines:    piece.lines,
		Fragment: piece.fragment,
	}}
	_, _, err := call(ctx, c, home, "AppendFile", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.FileReply, error) {
		return leader.AppendFile(ctx, request)
	})
	return err
}

func (c *Client) seal(ctx context.Context, spec job.FileSpec, id string, chunks uint32, digest string) (job.File, error) {
	home := c.home(spec.Tenant)
	request := &pb.SealFileRequest{Shard: uint32(home), Seal: &pb.SealFile{
		Tenant: string(spec.Tenant),
		File:   id,
		Chunks: chunks,
		Digest: digest,
	}}
	answer, _, err := call(ctx, c, home, "SealFile", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.FileReply, error) {
		return leader.SealFile(ctx, request)
	})
	return fileOf(answer.GetFile()), err
}

// File returns a file of the tenant.
func (c *Client) File(ctx context.Context, tenant ident.Tenant, id ident.File) (job.File, error) {
	home := c.home(tenant)
	request := &pb.FileRequest{Shard: uint32(home), Tenant: string(tenant), File: string(id)}
	if err := requireText("file_id", request.File); err != nil {
		return job.File{}, err
	}
	answer, _, err := call(ctx, c, home, "GetFile", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.FileReply, error) {
		return leader.GetFile(ctx, request)
	})
	return fileOf(answer.GetFile()), err
}

// Files lists a tenant's files, newest first, and says whether there are more.
func (c *Client) Files(ctx context.Context, tenant ident.Tenant, after ident.File, limit int) ([]job.File, bool, error) {
	home := c.home(tenant)
	request := &pb.ListRequest{Shard: uint32(home), Tenant: string(tenant), After: string(after), Limit: uint32(limit)}
	if err := requireText("after", request.After); err != nil {
		return nil, false, err
	}
	answer, _, err := call(ctx, c, home, "ListFiles", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.ListFilesReply, error) {
		return leader.ListFiles(ctx, request)
	})
	var files []job.File
	for _, record := range answer.GetFiles() {
		files = append(files, fileOf(record))
	}
	return files, answer.GetMore(), err
}

// DeleteFile deletes a file. One that an attempt whose answer was lost may have deleted counts as deleted.
func (c *Client) DeleteFile(ctx context.Context, tenant ident.Tenant, id ident.File) error {
	home := c.home(tenant)
	request := &pb.FileRequest{Shard: uint32(home), Tenant: string(tenant), File: string(id)}
	if err := requireText("file_id", request.File); err != nil {
		return err
	}
	_, tried, err := call(ctx, c, home, "DeleteFile", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.FileReply, error) {
		return leader.DeleteFile(ctx, request)
	})
	if err != nil && tried.unknown && failure.As(err).Code == failure.CodeNotFound {
		return nil
	}
	return err
}

// Content streams a file, one piece in memory at a time.
func (c *Client) Content(ctx context.Context, tenant ident.Tenant, id ident.File) (io.ReadCloser, error) {
	if err := requireText("file_id", string(id)); err != nil {
		return nil, err
	}
	home := c.home(tenant)
	content := &contentReader{ctx: ctx, client: c, home: home, request: &pb.ReadFileRequest{Shard: uint32(home), Tenant: string(tenant), File: string(id)}}
	return content, content.fetch()
}

// contentReader reads a file piece by piece. A piece that cannot be had is asked for again, also from a new leader.
type contentReader struct {
	ctx     context.Context
	client  *Client
	home    ident.Shard
	request *pb.ReadFileRequest
	data    []byte
	ended   bool
}

func (r *contentReader) fetch() error {
	answer, _, err := call(r.ctx, r.client, r.home, "ReadFile", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.ReadFileReply, error) {
		return leader.ReadFile(ctx, r.request)
	})
	if err != nil {
		return err
	}
	r.data = answer.GetData()
	r.request.Cursor = answer.GetCursor()
	r.ended = len(answer.GetCursor()) == 0
	return nil
}

// Read implements io.Reader.
func (r *contentReader) Read(into []byte) (int, error) {
	for len(r.data) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.fetch(); err != nil {
			return 0, err
		}
	}
	count := copy(into, r.data)
	r.data = r.data[count:]
	return count, nil
}

// Close implements io.Closer.
func (r *contentReader) Close() error { return nil }

// requireText refuses text that the protocol cannot carry.
func requireText(param, text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	return failure.New(failure.CodeInvalidRequest, "%s is not valid UTF-8", param).WithParam(param)
}
