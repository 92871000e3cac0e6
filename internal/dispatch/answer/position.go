package answer

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Errors of the chunk order. Each ends the stream; the chunk is not forwarded.
const (
	// ErrGap means that tokens before the chunk are missing.
	ErrGap = failure.Kind("answer: gap in the stream")
	// ErrOverlap means that the chunk repeats forwarded tokens but cannot be dropped, because it also adds tokens or is the
	// final chunk. The data of a chunk cannot be split.
	ErrOverlap = failure.Kind("answer: chunk overlaps what was forwarded")
	// ErrTruncated means that the stream ended without a final chunk.
	ErrTruncated = failure.Kind("answer: stream ended without a final chunk")
	// ErrWrongLength means that the final chunk's usage does not match the tokens received.
	ErrWrongLength = failure.Kind("answer: usage does not match the tokens received")
)

// Verdict is the action for a chunk.
type Verdict uint8

const (
	// Drop means that the chunk is not forwarded: all of it was forwarded before, or it is invalid.
	Drop Verdict = iota
	// Forward means that the chunk is the next one and is to be forwarded.
	Forward
)

// Position tracks how far an answer has been forwarded. The zero value is the start of an answer.
//
// Invariant: the chunks that Accept decides to forward cover [0, Next) exactly once, in order.
type Position struct {
	next int
	// emptyAt is the offset of the last forwarded chunk without tokens plus one; zero means that there was none.
	emptyAt int
	final   bool
}

// Next returns the offset of the next token.
func (p *Position) Next() int { return p.next }

// Final reports whether the final chunk was forwarded.
func (p *Position) Final() bool { return p.final }

// Accept decides what to do with a chunk, and advances the position if the chunk is to be forwarded.
func (p *Position) Accept(chunk *inference.Chunk) (Verdict, error) {
	if p.final {
		return Drop, nil
	}
	end := chunk.Offset + chunk.Tokens
	if chunk.Offset > p.next {
		return Drop, ErrGap
	}
	if chunk.Offset == p.next {
		return p.acceptNext(chunk, end)
	}
	// A final chunk ends the answer, so one that repeats tokens can be neither forwarded nor dropped.
	if end > p.next || chunk.Final {
		return Drop, ErrOverlap
	}
	return Drop, nil
}

// acceptNext handles a chunk that starts at the next token. Only the first chunk without tokens at an offset is forwarded.
func (p *Position) acceptNext(chunk *inference.Chunk, end int) (Verdict, error) {
	if chunk.Final && chunk.Usage.CompletionTokens != 0 && chunk.Usage.CompletionTokens != end {
		return Drop, ErrWrongLength
	}
	if chunk.Tokens == 0 && !chunk.Final {
		if p.emptyAt == chunk.Offset+1 {
			return Drop, nil
		}
		p.emptyAt = chunk.Offset + 1
	}
	p.next = end
	p.final = chunk.Final
	return Forward, nil
}
