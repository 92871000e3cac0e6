// Package answer checks the order of an answer's chunks and joins them to whole answers. It does no I/O.
package answer

import (
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
)

// Sink receives an answer chunk by chunk, in order, without gap or duplicate.
type Sink interface {
	// Chunk takes the next chunk. Its Data is only valid during the call. An error means that the caller is gone.
	Chunk(chunk inference.Chunk) error
}

// BufferedSink is a Sink that can keep chunks for a moment, so that several that are at hand together are sent together.
type BufferedSink interface {
	Sink
	// Buffer takes the next chunk as Chunk does, but may keep it until the next call of Chunk or Flush. Nothing may be
	// waited for between the two.
	Buffer(chunk inference.Chunk) error
	// Flush sends what Buffer kept.
	Flush() error
}

// StoredSink is a Sink that can take a stored whole answer, as a resend of a non-repeatable request gets it. A sink
// without this method gets the stored answer as one chunk.
type StoredSink interface {
	Sink
	Stored(stored ledger.Answer) error
}

// Resetter is a Sink that has passed nothing on yet and can forget what it received, so that a repeatable request may
// run again from its start.
type Resetter interface {
	// Reset forgets every chunk received so far, and reports whether it could.
	Reset() bool
}
