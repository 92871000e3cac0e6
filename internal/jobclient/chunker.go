package jobclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// chunkTarget is the size of an upload's chunks, in bytes, where lines allow. A leader reads a whole chunk for a lease
// of a few items, so it is well below the largest command.
const chunkTarget = 256 << 10

// chunk is a piece of an upload.
type chunk struct {
	data []byte
	// lines counts the lines that end in the chunk.
	lines uint32
	// fragment says that the chunk is part of a line too long for one chunk.
	fragment bool
}

// chunker cuts a stream into chunks of whole lines, holding one chunk in memory.
type chunker struct {
	reader io.Reader
	buffer []byte
	ended  bool
	// inside says that the last chunk ended within a line.
	inside bool
}

// next returns the next chunk, valid until the following call, or io.EOF.
func (c *chunker) next(previous int) (chunk, error) {
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[previous:])]
	for limit := chunkTarget; ; limit *= 2 {
		if err := c.fill(limit); err != nil {
			return chunk{}, err
		}
		if len(c.buffer) == 0 {
			return chunk{}, io.EOF
		}
		if found, complete := c.cut(); complete {
			return found, nil
		}
	}
}

// fill reads until the buffer holds limit bytes or the stream ends.
func (c *chunker) fill(limit int) error {
	limit = min(limit, jobstore.MaxCommandBytes)
	for !c.ended && len(c.buffer) < limit {
		if cap(c.buffer) < limit {
			c.buffer = append(make([]byte, 0, limit), c.buffer...)
		}
		count, err := c.reader.Read(c.buffer[len(c.buffer):limit])
		c.buffer = c.buffer[:len(c.buffer)+count]
		c.ended = errors.Is(err, io.EOF)
		if err != nil && !c.ended {
			return fmt.Errorf("reading the upload: %w", err)
		}
	}
	return nil
}

// cut takes a chunk from the front of the buffer. It is not complete if the buffer holds no whole line but may grow.
func (c *chunker) cut() (chunk, bool) {
	if c.inside {
		return c.cutFragment(), true
	}
	end := bytes.LastIndexByte(c.buffer, '\n') + 1
	if c.ended {
		end = len(c.buffer)
	}
	if end > 0 {
		data := c.buffer[:end]
		return chunk{data: data, lines: countLines(data)}, true
	}
	if len(c.buffer) < jobstore.MaxCommandBytes {
		return chunk{}, false
	}
	return c.cutFragment(), true
}

func (c *chunker) cutFragment() chunk {
	end := bytes.IndexByte(c.buffer, '\n') + 1
	if end > 0 {
		c.inside = false
		return chunk{data: c.buffer[:end], lines: 1, fragment: true}
	}
	c.inside = true
	piece := chunk{data: c.buffer, fragment: true}
	if c.ended {
		piece.lines = 1
	}
	return piece
}

// countLines counts lines; the last one needs no newline.
func countLines(data []byte) uint32 {
	lines := bytes.Count(data, []byte{'\n'})
	if data[len(data)-1] != '\n' {
		lines++
	}
	return uint32(lines)
}
