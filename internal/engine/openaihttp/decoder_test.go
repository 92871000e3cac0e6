package openaihttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
)

const tokenEvent = `id: %d
data: {"id":"01J0000000000000000000000","object":"chat.completion.chunk","created":1796196905,"model":"base","choices":[{"index":0,"delta":{"content":" a1e8c1f6"},"finish_reason":null}]}

`

const finalEvent = `id: %d
data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":%d,"total_tokens":5}}

data: [DONE]

`

func answerOf(tokens int) string {
	var builder strings.Builder
	for k := range tokens {
		fmt.Fprintf(&builder, tokenEvent, k)
	}
	fmt.Fprintf(&builder, finalEvent, tokens, tokens)
	return builder.String()
}

func streamOf(source io.Reader) *stream {
	_, cancel := context.WithCancel(context.Background())
	return newStream(io.NopCloser(source), cancel, 0)
}

// However the bytes are split, the decoder gives the same events.
func TestDecoderIgnoresHowBytesAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var expected []string
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			data := strings.Repeat("x", rapid.IntRange(0, 3*initialBuffer).Draw(t, "length"))
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			comment := rapid.SampledFrom([]string{"", ": keep-alive" + end, "event: message" + end}).Draw(t, "comment")
			text.WriteString(comment + "data:" + data + end + end)
			expected = append(expected, data)
		}
		cuts := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 20).Draw(t, "cuts")
		decoder := newDecoder(&splitReader{source: strings.NewReader(text.String()), sizes: cuts})
		var events []string
		event, err := decoder.next()
		for ; err == nil; event, err = decoder.next() {
			events = append(events, string(event.data))
		}
		assert.Equal(t, err, io.EOF)
		assert.DeepEqual(t, events, expected)
	})
}

// splitReader returns at most the next of its sizes at each read.
type splitReader struct {
	source io.Reader
	sizes  []int
	reads  int
}

func (r *splitReader) Read(buffer []byte) (int, error) {
	size := min(len(buffer), r.sizes[r.reads%len(r.sizes)])
	r.reads++
	return r.source.Read(buffer[:size])
}

// A stream says that its next chunk is ready exactly if it need not read for it.
func TestReadyMeansThatNothingIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 30).Draw(t, "tokens")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 2000), 1, 20).Draw(t, "cuts")
		source := &splitReader{source: strings.NewReader(answerOf(tokens)), sizes: cuts}
		stream := streamOf(source)
		for token := 0; token <= tokens; token++ {
			ready, before := stream.Ready(), source.reads
			chunk, err := stream.Next()
			assert.NilError(t, err)
			assert.Equal(t, chunk.Offset, token)
			assert.Equal(t, ready, source.reads == before, "at token %d", token)
		}
		assert.Assert(t, !stream.Ready(), "ready after the end")
	})
}

func TestDecoderBoundsLines(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("data: "), iotest.OneByteReader(bytes.NewReader(nil)), repeating('x'))
	_, err := streamOf(endless).Next()
	assert.ErrorIs(t, err, engine.ErrBroken)
	assert.ErrorContains(t, err, "exceeds")
}

type repeating byte

func (r repeating) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = byte(r)
	}
	return len(buffer), nil
}

// A finish reason that stands in the answer's text must not end the answer.
func TestFinishReasonInTextIsText(t *testing.T) {
	text := `data: {"choices":[{"delta":{"content":"\"finish_reason\":\"stop\""},"finish_reason":null}]}` + "\n\n"
	chunk, err := streamOf(strings.NewReader(text)).Next()
	assert.NilError(t, err)
	assert.Assert(t, !chunk.Final)
}

func TestEventIDs(t *testing.T) {
	stream := streamOf(strings.NewReader("id: 3+4\ndata: {}\n\ndata: {}\n\nid: 8\ndata: {}\n\n"))
	for _, expected := range [][2]int{{3, 4}, {7, 1}, {8, 1}} {
		chunk, err := stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, [2]int{chunk.Offset, chunk.Tokens}, expected)
	}
}

func TestNextDoesNotAllocate(t *testing.T) {
	stream := streamOf(strings.NewReader(answerOf(3000)))
	allocations := testing.AllocsPerRun(2000, func() {
		if _, err := stream.Next(); err != nil {
			t.Error(err)
		}
	})
	assert.Equal(t, allocations, 0.0)
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(answerOf(3)))
	f.Add([]byte("id: 1+2\r\ndata: {\"finish_reason\":\"x\"}\r\n\r\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, content []byte) {
		stream := streamOf(iotest.HalfReader(bytes.NewReader(content)))
		whole := false
		for range len(content) + 1 {
			chunk, err := stream.Next()
			if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrBroken) {
				assert.Assert(t, whole, "an answer without a final chunk ended as whole")
				return
			}
			if err != nil {
				assert.ErrorIs(t, err, engine.ErrBroken)
				return
			}
			assert.Assert(t, !whole, "a chunk after the final one")
			assert.Assert(t, chunk.Offset >= 0 && chunk.Tokens >= 0)
			whole = chunk.Final
		}
		t.Fatal("more chunks than bytes")
	})
}

func BenchmarkNext(b *testing.B) {
	answer := answerOf(1000)
	b.SetBytes(int64(len(answer) / 1000))
	b.ReportAllocs()
	stream := streamOf(strings.NewReader(answer))
	for b.Loop() {
		if chunk, err := stream.Next(); err != nil || chunk.Final {
			stream = streamOf(strings.NewReader(answer))
		}
	}
}
