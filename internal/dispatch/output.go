package dispatch

import (
	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// relayOutput passes the chunks of one stream to a sink. Chunks that are at hand together are sent together, where both
// the stream and the sink can tell.
//
// Invariant: nothing is kept in the sink while the stream is waited for.
type relayOutput struct {
	sink answer.Sink
	// stream and buffered are nil unless chunks can be joined.
	stream   engine.ReadyStream
	buffered answer.BufferedSink
	// kept says that the sink may hold chunks that it was not told to send.
	kept bool
}

func newRelayOutput(sink answer.Sink, stream engine.Stream) *relayOutput {
	output := &relayOutput{sink: sink}
	buffered, canKeep := sink.(answer.BufferedSink)
	ready, canTell := stream.(engine.ReadyStream)
	if canKeep && canTell {
		output.buffered, output.stream = buffered, ready
	}
	return output
}

// chunk passes the next chunk on. One that others are to follow at once is kept for them.
func (o *relayOutput) chunk(chunk inference.Chunk) error {
	if o.buffered == nil || chunk.Final || !o.stream.Ready() {
		o.kept = false
		return o.sink.Chunk(chunk)
	}
	o.kept = true
	return o.buffered.Buffer(chunk)
}

// beforeNext sends what is kept if the stream's next chunk has to be waited for. That is so after a chunk was dropped.
func (o *relayOutput) beforeNext() error {
	if !o.kept || o.stream.Ready() {
		return nil
	}
	return o.flush()
}

// flush sends what is kept.
func (o *relayOutput) flush() error {
	if !o.kept {
		return nil
	}
	o.kept = false
	return o.buffered.Flush()
}
