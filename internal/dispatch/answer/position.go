package answer

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Failures of the order of chunks. Each breaks the stream; nothing of the chunk is forwarded.
const (
	// ErrGap means that tokens before the chunk are missing.
	ErrGap = failure.Kind("answer: gap in the stream")
	// ErrOverlap means that the chunk repeats some tokens and adds others, so that it can't be cut.
	ErrOverlap = failure.Kind("answer: chunk overlaps what was forwarded")
	// ErrTruncated means that the stream ended without a final chunk.
	ErrTruncated = failure.Kind("answer: stream ended without a final chunk")
	// ErrWrongLength means that the final chunk's usage does not match the tokens received.
	ErrWrongLength = failure.Kind("answer: usage does not match the tokens received")
)

// Verdict says what to do with a chunk.
type Verdict uint8

const (
	// Drop means that everything in the chunk was forwarded before.
	Drop Verdict = iota
	// Forward means that the chunk is the next one.
	Forward
)

// Position is how far an answer has been forwarded. The zero value is its start.
//
// Invariant: the chunks that Accept let through have offsets and lengths that tile [0, Next) exactly once, in order.
type Position struct {
	next int
	// emptyAt is one more than the offset at which a chunk without tokens was last forwarded, so that zero means none.
	emptyAt int
	final   bool
}

// Next is the offset of the next token.
func (p *Position) Next() int { return p.next }

// Final reports whether the last chunk was forwarded.
func (p *Position) Final() bool { return p.final }

// Accept decides on a chunk and moves the position on if it is to be forwarded.
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
	// A final chunk carries the end of the answer: one that repeats tokens can be neither forwarded nor dropped.
	if end > p.next || chunk.Final {
		return Drop, ErrOverlap
	}
	return Drop, nil
}

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
