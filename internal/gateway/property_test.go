package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// plan is what one caller asks for and must get.
type plan struct {
	stream bool
	words  int
	// breakAt is the word before which the answer breaks off; beyond the last means never.
	breakAt int
}

// echo answers with the caller's own marker. Its one buffer for each answer is reused for every chunk, as the contract
// of Chunk allows.
func echo(_ context.Context, request *inference.Request, sink Sink) error {
	var asked struct {
		User    string `json:"user"`
		Words   int    `json:"words"`
		BreakAt int    `json:"break_at"`
	}
	if err := json.Unmarshal(request.Body, &asked); err != nil {
		return err
	}
	buffer := make([]byte, 0, 512)
	flush := func() error { return nil }
	keep := sink.Chunk
	if buffered, able := sink.(answer.BufferedSink); able {
		keep, flush = buffered.Buffer, buffered.Flush
	}
	for index := range asked.Words {
		if index == asked.BreakAt {
			if err := flush(); err != nil {
				return failure.New(failure.CodeCancelled, "gone").WithCause(err)
			}
			return failure.New(failure.CodeStreamInterrupted, "broken").WithOutcome(outcome.Ran)
		}
		chunk := chunkOf(request.Endpoint, index, fmt.Sprintf("%s:%d ", asked.User, index), index == asked.Words-1)
		buffer = append(buffer[:0], chunk.Data...)
		chunk.Data = buffer
		take := sink.Chunk
		if index%3 > 0 && !chunk.Final {
			take = keep
		}
		if err := take(chunk); err != nil {
			return failure.New(failure.CodeCancelled, "gone").WithCause(err)
		}
		for position := range buffer {
			buffer[position] = '!'
		}
		runtime.Gosched()
	}
	return nil
}

// TestEachCallerGetsExactlyItsOwnAnswer proves that with many requests at once, whole and streamed, on shared
// connections, each caller gets its own words, all of them, in order, once; or an error and no end mark.
func TestEachCallerGetsExactlyItsOwnAnswer(t *testing.T) {
	site := newSite(t, echo, nil)
	rapid.Check(t, func(t *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plan {
			words := rapid.IntRange(1, 30).Draw(t, "words")
			return plan{stream: rapid.Bool().Draw(t, "stream"), words: words, breakAt: rapid.IntRange(0, 2*words).Draw(t, "break")}
		}), 1, 24).Draw(t, "plans")
		answers := make([]string, len(plans))
		var callers sync.WaitGroup
		for index, planned := range plans {
			callers.Go(func() { answers[index] = site.ask(index, planned) })
		}
		callers.Wait()
		for index, planned := range plans {
			assert.Equal(t, answers[index], planned.expected(index))
		}
	})
}

func (p plan) expected(index int) string {
	var text strings.Builder
	for word := range min(p.words, p.breakAt) {
		fmt.Fprintf(&text, "caller-%d:%d ", index, word)
	}
	switch {
	case p.breakAt >= p.words && p.stream:
		return text.String() + "[DONE]"
	case p.breakAt >= p.words:
		return text.String()
	case p.stream && p.breakAt > 0:
		return text.String() + string(failure.CodeStreamInterrupted)
	default:
		return string(failure.CodeStreamInterrupted)
	}
}

// ask returns the text of the answer, followed by the code of its error or the end mark of a stream.
func (s *site) ask(index int, planned plan) string {
	body := fmt.Sprintf(`{"model":"assistant","stream":%t,"user":"caller-%d","words":%d,"break_at":%d,"messages":[{"role":"user","content":"x"}]}`,
		planned.stream, index, planned.words, planned.breakAt)
	_, content := s.post(failingTB{}, chatPath, body)
	if !strings.HasPrefix(content, "data: ") {
		return textOf(content)
	}
	var text strings.Builder
	for _, event := range strings.Split(strings.TrimSuffix(content, "\n\n"), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			text.WriteString(data)
			continue
		}
		text.WriteString(textOf(data))
	}
	return text.String()
}

func textOf(object string) string {
	var parsed struct {
		Error   struct{ Code string }
		Choices []struct {
			Delta, Message struct{ Content string }
		}
	}
	if json.Unmarshal([]byte(object), &parsed) != nil {
		return "unreadable: " + object
	}
	if len(parsed.Choices) == 0 {
		return parsed.Error.Code
	}
	return parsed.Choices[0].Delta.Content + parsed.Choices[0].Message.Content
}

// failingTB lets helpers that assert run outside the test's goroutine: a failed assertion panics there.
type failingTB struct{ testing.TB }

func (failingTB) Helper()      {}
func (failingTB) Log(_ ...any) {}
func (failingTB) FailNow()     { panic("assertion failed") }
func (failingTB) Fail()        { panic("assertion failed") }
