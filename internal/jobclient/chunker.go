package jobclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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
	// target is the wanted and limit the largest size of a chunk, in bytes.
	target, limit int

	buffer []byte
	ended  bool
	// inside says that the last chunk ended within a line.
	inside bool
}

// next returns the next chunk, valid until the following call, or io.EOF.
func (c *chunker) next(previous int) (chunk, error) {
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[previous:])]
	for size := c.target; ; size *= 2 {
		if err := c.fill(min(size, c.limit)); err != nil {
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

// fill reads until the buffer holds a number of bytes or the stream ends.
func (c *chunker) fill(size int) error {
	for !c.ended && len(c.buffer) < size {
		if cap(c.buffer) < size {
			c.buffer = append(make([]byte, 0, size), c.buffer...)
		}
		count, err := c.reader.Read(c.buffer[len(c.buffer):size])
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
	if len(c.buffer) < c.limit {
		return chunk{}, false
	}
	return c.cutFragment(), true
}

// cutFragment takes a piece of a long line. While more may come it leaves a byte in the buffer, so that the piece that
// ends the line is known as such even if the stream ends right there.
func (c *chunker) cutFragment() chunk {
	end := bytes.IndexByte(c.buffer, '\n') + 1
	if end > 0 {
		c.inside = false
		return chunk{data: c.buffer[:end], lines: 1, fragment: true}
	}
	if c.ended {
		return chunk{data: c.buffer, lines: 1, fragment: true}
	}
	c.inside = true
	return chunk{data: c.buffer[:len(c.buffer)-1], fragment: true}
}

// countLines counts lines; the last one needs no newline.
func countLines(data []byte) uint32 {
	lines := bytes.Count(data, []byte{'\n'})
	if data[len(data)-1] != '\n' {
		lines++
	}
	return uint32(lines)
}
