package jobstore

import (
	"context"
	"crypto/sha256"

	"mallowlatch.example/mallowlatch/internal/inference"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// identityBytes is the length of the hash that stands for a custom id while a file is indexed, in bytes.
const identityBytes = 16

type customIdentity [identityBytes]byte

// indexer finds duplicate custom ids. It lives while a job's input is indexed.
type indexer struct {
	next uint32
	seen map[customIdentity]struct{}
}

// duplicate reports whether a custom id was seen, and remembers it.
func (x *indexer) duplicate(customID string) bool {
	digest := sha256.Sum256([]byte(customID))
	identity := customIdentity(digest[:identityBytes])
	if _, seen := x.seen[identity]; seen {
		return true
	}
	x.seen[identity] = struct{}{}
	return false
}

// indexChunk reads the lines of one chunk: runs of items by service, and an error result for each malformed line.
func (s *Server) indexChunk(ctx context.Context, job *activeJob, x *indexer) (*pb.IndexItems, error) {
	index := &pb.IndexItems{Job: job.id, Chunk: x.next}
	input := job.input()
	first := input.first(int(x.next))
	if job.fragments[x.next] {
		if first < job.chunkEnds[x.next] {
			index.Errors = append(index.Errors, s.lineError(job, first, "", invalidLine("the line is too long")))
		}
		x.next++
		return index, nil
	}
	chunk, err := s.chunk(ctx, input.id, x.next)
	if err != nil {
		return nil, err
	}
	number := first
	splitLines(chunk, func(text []byte) {
		s.indexLine(job, x, index, number, text)
		number++
	})
	x.next++
	return index, nil
}

func (s *Server) indexLine(job *activeJob, x *indexer, index *pb.IndexItems, number uint32, text []byte) {
	line, service, refusal := parseLine(text, inference.Endpoint(job.endpoint))
	if refusal == nil && x.duplicate(line.CustomID) {
		refusal = &itemError{Code: codeDuplicate, Message: "an earlier line has the same custom_id"}
	}
	if refusal != nil {
		index.Errors = append(index.Errors, s.lineError(job, number, line.CustomID, refusal))
		return
	}
	repeatable := s.settings.repeatable(service)
	if line.Repeatable != nil {
		repeatable = *line.Repeatable
	}
	last := len(index.Runs) - 1
	if last >= 0 && extends(index.Runs[last], number, service, repeatable) {
		index.Runs[last].Count++
		return
	}
	index.Runs = append(index.Runs, &pb.ItemRun{First: number, Count: 1, Service: service, NotRepeatable: !repeatable})
}

func extends(run *pb.ItemRun, number uint32, service string, repeatable bool) bool {
	return run.GetFirst()+run.GetCount() == number && run.GetService() == service && run.GetNotRepeatable() == !repeatable
}

func (s *Server) lineError(job *activeJob, index uint32, customID string, refusal *itemError) *pb.ItemResult {
	return &pb.ItemResult{Index: index, Line: renderError(job.id, index, customID, refusal), Failed: true}
}

func (s *Server) commitIndex(ctx context.Context, job *activeJob, index *pb.IndexItems) error {
	reply, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Index{Index: index}}, 0)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reply.GetResent() || job.indexed != index.GetChunk() {
		return unavailable(s.settings.RetryAfter)
	}
	job.take(resultIndexes(index.GetErrors()))
	job.addChunk(index.GetRuns())
	s.update(job, reply.GetJob())
	return nil
}

func resultIndexes(results []*pb.ItemResult) []uint32 {
	indexes := make([]uint32, len(results))
	for position, result := range results {
		indexes[position] = result.GetIndex()
	}
	return indexes
}
