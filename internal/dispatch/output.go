package dispatch

import (
	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// relayOutput passes the chunks of one stream to a sink. Chunks that are available together are sent together, if the stream
// can report that a chunk is available and the sink can buffer.
//
// Invariant: the sink buffers nothing while relayOutput waits for the stream.
type relayOutput struct {
	sink answer.Sink
	// stream and buffered are nil unless chunks can be sent together.
	stream   engine.ReadyStream
	buffered answer.BufferedSink
	// pending is true if the sink may hold buffered chunks.
	pending bool
}

func newRelayOutput(sink answer.Sink, stream engine.Stream) *relayOutput {
	output := &relayOutput{sink: sink}
	buffered, canBuffer := sink.(answer.BufferedSink)
	ready, reportsReady := stream.(engine.ReadyStream)
	if canBuffer && reportsReady {
		output.buffered, output.stream = buffered, ready
	}
	return output
}

// chunk passes the next chunk on. It is buffered if the following chunk is already available.
func (o *relayOutput) chunk(chunk inference.Chunk) error {
	if o.buffered == nil || chunk.Final || !o.stream.Ready() {
		o.pending = false
		return o.sink.Chunk(chunk)
	}
	o.pending = true
	return o.buffered.Buffer(chunk)
}

// beforeNext flushes the sink if the next chunk is not available yet. This happens after a chunk was dropped.
func (o *relayOutput) beforeNext() error {
	if !o.pending || o.stream.Ready() {
		return nil
	}
	return o.flush()
}

// flush sends the buffered chunks.
func (o *relayOutput) flush() error {
	if !o.pending {
		return nil
	}
	o.pending = false
	return o.buffered.Flush()
}
