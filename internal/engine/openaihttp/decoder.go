package openaihttp

import (
	"bytes"
	"fmt"
	"io"

	"mallowlatch.example/mallowlatch/internal/engine"
)

const (
	// initialBuffer holds several chunks; it grows only for a longer line.
	initialBuffer = 4 << 10
	// idCapacity holds any id of the dialect.
	idCapacity = 24
	// maxLine bounds one line of a stream, in bytes.
	maxLine = 1 << 20
)

// errLineTooLong is an engine.ErrBroken with its own text.
var errLineTooLong = fmt.Errorf("%w: line of a stream exceeds %d bytes", engine.ErrBroken, maxLine)

// lineEvent is one event of a stream: the value of its id field, if any, and its data. Both are valid until the
// decoder reads on.
type lineEvent struct {
	id, data []byte
}

// decoder reads server-sent events of the dialect: each has at most one id line, before its one data line. It keeps
// one buffer and copies a line only to join it across reads.
type decoder struct {
	source io.Reader
	buffer []byte
	// start and end bound the bytes read and not yet consumed.
	start, end int
	// scanned is how many of them are known to hold no newline.
	scanned int
	// id is the text of the last id line. It is copied because reading on may move the buffer.
	id []byte
}

func newDecoder(source io.Reader) *decoder {
	return &decoder{source: source, buffer: make([]byte, initialBuffer), id: make([]byte, 0, idCapacity)}
}

// next returns the next event with data. io.EOF means the source ended, within a line or between two.
func (d *decoder) next() (lineEvent, error) {
	d.id = d.id[:0]
	for {
		line, err := d.line()
		if err != nil {
			return lineEvent{}, err
		}
		if len(line) == 0 {
			continue
		}
		name, value := splitField(line)
		switch string(name) {
		case "data":
			return lineEvent{id: d.id, data: value}, nil
		case "id":
			d.id = append(d.id[:0], value...)
		}
	}
}

// ready reports whether next returns an event without reading on. It is asked between calls of next.
func (d *decoder) ready() bool {
	rest := d.buffer[d.start:d.end]
	for {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return false
		}
		if name, _ := splitField(rest[:end]); string(name) == "data" {
			return true
		}
		rest = rest[end+1:]
	}
}

// splitField splits "name: value"; the space is optional. A comment has an empty name.
func splitField(line []byte) (name, value []byte) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return line, nil
	}
	value = line[colon+1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return line[:colon], value
}

// line returns the next line without its end.
func (d *decoder) line() ([]byte, error) {
	for {
		window := d.buffer[d.start:d.end]
		if index := bytes.IndexByte(window[d.scanned:], '\n'); index >= 0 {
			line := window[:d.scanned+index]
			d.start += len(line) + 1
			d.scanned = 0
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		d.scanned = len(window)
		if err := d.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more, after it has made room.
func (d *decoder) fill() error {
	if err := d.makeRoom(); err != nil {
		return err
	}
	count, err := d.source.Read(d.buffer[d.end:])
	d.end += count
	if count > 0 || err == nil {
		return nil
	}
	return err
}

func (d *decoder) makeRoom() error {
	if d.start == d.end {
		d.start, d.end = 0, 0
	}
	if d.end < len(d.buffer) {
		return nil
	}
	if d.start > 0 {
		d.end = copy(d.buffer, d.buffer[d.start:d.end])
		d.start = 0
		return nil
	}
	if len(d.buffer) >= maxLine {
		return errLineTooLong
	}
	grown := make([]byte, 2*len(d.buffer))
	copy(grown, d.buffer)
	d.buffer = grown
	return nil
}
