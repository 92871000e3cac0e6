// Package eventstream reads server-sent events whole, so that an event cut off in the middle is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	// ErrTruncated means that the stream ended inside an event.
	ErrTruncated = failure.Kind("event stream: ended inside an event")
	// ErrTooLarge means that one event exceeds the bound.
	ErrTooLarge = failure.Kind("event stream: event too large")
)

// maximumEventBytes bounds one event, and so the memory of one stream.
const maximumEventBytes = 1 << 20

// maximumUnnumberedBytes bounds the events without an id between two that have one, as comments that keep a connection alive are.
const maximumUnnumberedBytes = 1 << 20

// Event is one whole event.
type Event struct {
	// ID is the value of its id field; HasID is false when it had none or not a number.
	ID    int64
	HasID bool
	// Data is the value of its data fields, parted by line feeds; hasData is set once there was one, which may be empty.
	Data    []byte
	hasData bool
	// Raw is the event as it was read, with its closing empty line. It is only valid until the next call of Next, unless Keep was
	// called before.
	Raw []byte
}

// Reader reads events one after another.
type Reader struct {
	source *bufio.Reader
	raw    []byte
	// unnumbered is the size of the events without an id since the last one that had one.
	unnumbered int
}

// NewReader reads from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 2048)}
}

// Keep leaves the last event's bytes to its holder: the next one is read into a buffer of its own.
func (r *Reader) Keep() { r.raw = nil }

// Next returns the next whole event. At a proven end between events it returns io.EOF; any other error of the source
// is returned as it is, and an end inside an event is ErrTruncated.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var event Event
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			event.Raw = r.raw
			return event, r.countUnnumbered(&event)
		}
		event.addField(line)
	}
}

// countUnnumbered returns ErrTooLarge once the events without an id exceed their bound.
func (r *Reader) countUnnumbered(event *Event) error {
	if event.HasID {
		r.unnumbered = 0
		return nil
	}
	if r.unnumbered += len(event.Raw); r.unnumbered > maximumUnnumberedBytes {
		return fmt.Errorf("%w: %d bytes of events without an id", ErrTooLarge, r.unnumbered)
	}
	return nil
}

// readLine returns the next line without its end, and keeps it whole in raw.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		piece, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, piece...)
		if len(r.raw) > maximumEventBytes {
			return nil, ErrTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(r.raw) > 0 {
			return nil, fmt.Errorf("%w: after %d bytes", ErrTruncated, len(r.raw))
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(r.raw[start:], "\r\n"), nil
	}
}

func (e *Event) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		e.ID, e.HasID = id, err == nil
	case "data":
		if e.hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		e.hasData = true
	}
}
