// Package answer checks the order of an answer's chunks, joins them into whole answers, renders stored answers as a chunk,
// and defines the interfaces of receivers of answers. It does no I/O.
package answer

import (
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
)

// Sink receives an answer chunk by chunk, in order, without gap or duplicate.
type Sink interface {
	// Chunk receives the next chunk. Its Data is only valid during the call. An error means that the caller has disconnected
	// or that the chunk cannot be processed.
	Chunk(chunk inference.Chunk) error
}

// BufferedSink is a Sink that can buffer chunks, so that several chunks that are available together are sent together.
type BufferedSink interface {
	Sink
	// Buffer receives the next chunk as Chunk does, but may buffer it until the next call of Chunk or Flush. The caller must
	// not block between the two calls.
	Buffer(chunk inference.Chunk) error
	// Flush sends the buffered chunks.
	Flush() error
}

// StoredSink is a Sink that can receive a stored whole answer, which is the reply to a resent non-repeatable request. Other
// sinks receive the stored answer as one chunk.
type StoredSink interface {
	Sink
	Stored(stored ledger.Answer) error
}

// Resetter is implemented by sinks that may be able to discard what they received, so that a repeatable request can run
// again from its start.
type Resetter interface {
	// Reset discards every chunk received so far. It returns false if that is not possible because some were passed on.
	Reset() bool
}
