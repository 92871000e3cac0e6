package jobstore

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// chunkCacheBytes bounds the chunks of input files a server keeps in memory, in bytes.
const chunkCacheBytes = 1 << 20

type chunkName struct {
	file     string
	sequence uint32
}

// chunkCache keeps the chunks read last, so that successive leases of a job read a chunk from the store once.
type chunkCache struct {
	limit int

	mutex  sync.Mutex
	order  []chunkName
	chunks map[chunkName][]byte
	bytes  int
}

func newChunkCache(limit int) *chunkCache {
	return &chunkCache{limit: limit, chunks: map[chunkName][]byte{}}
}

func (c *chunkCache) get(name chunkName) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.chunks[name]
}

func (c *chunkCache) put(name chunkName, chunk []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, kept := c.chunks[name]; kept {
		return
	}
	c.chunks[name] = chunk
	c.order = append(c.order, name)
	c.bytes += len(chunk)
	for c.bytes > c.limit && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.chunks[oldest])
		delete(c.chunks, oldest)
	}
}

// chunk reads a chunk of an input file. Chunks never change, so a cached one needs no look at the store.
func (s *Server) chunk(ctx context.Context, file string, sequence uint32) ([]byte, error) {
	name := chunkName{file: file, sequence: sequence}
	if chunk := s.chunks.get(name); chunk != nil {
		return chunk, nil
	}
	var chunk []byte
	err := s.view(ctx, func(reader shard.Reader) (err error) {
		chunk, err = reader.Get(numberKey(spaceChunk, file, sequence))
		return err
	})
	if err != nil {
		return nil, err
	}
	if chunk == nil {
		return nil, fmt.Errorf("chunk %d of file %s is missing: %w", sequence, file, ErrCorrupt)
	}
	s.chunks.put(name, chunk)
	return chunk, nil
}

// inputFile locates the lines of a job's input.
type inputFile struct {
	id        string
	chunkEnds []uint32
	fragments map[uint32]bool
}

func (j *activeJob) input() inputFile {
	return inputFile{id: j.inputFile, chunkEnds: j.chunkEnds, fragments: j.fragments}
}

// first returns the first line of a chunk.
func (f inputFile) first(sequence int) uint32 {
	if sequence == 0 {
		return 0
	}
	return f.chunkEnds[sequence-1]
}

// lines calls visit for the given items, which must be in order, with their lines; a line too long for one chunk is nil.
func (s *Server) lines(ctx context.Context, input inputFile, indexes []uint32, visit func(index uint32, line []byte)) error {
	for len(indexes) > 0 {
		sequence := sort.Search(len(input.chunkEnds), func(at int) bool { return input.chunkEnds[at] > indexes[0] })
		if sequence == len(input.chunkEnds) {
			return fmt.Errorf("line %d of file %s: %w", indexes[0], input.id, ErrCorrupt)
		}
		if input.fragments[uint32(sequence)] {
			visit(indexes[0], nil)
			indexes = indexes[1:]
			continue
		}
		chunk, err := s.chunk(ctx, input.id, uint32(sequence))
		if err != nil {
			return err
		}
		number := input.first(sequence)
		splitLines(chunk, func(line []byte) {
			if len(indexes) > 0 && indexes[0] == number {
				visit(number, line)
				indexes = indexes[1:]
			}
			number++
		})
	}
	return nil
}
