package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// maxEventLine bounds a line of a stream, in bytes.
const maxEventLine = 1 << 20

// notRun is the word of an error answer for a request that was not run.
const notRun = "true"

// maxErrorBody bounds what is read of an error answer, in bytes.
const maxErrorBody = 64 << 10

type errorEnvelope struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	NotRun  string `json:"not_run"`
}

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// online sends one request and checks its answer. planned is when it should have left.
func (r *Run) online(ctx context.Context, arrival Arrival, planned time.Time) onlineResult {
	body := arrival.prompt.chat(r.options.Model, true, arrival.repeatable)
	for attempt := 0; ; attempt++ {
		result := r.attempt(ctx, arrival, attempt, planned, body)
		if !r.options.Retry || !result.again || attempt+1 >= len(r.options.Targets) {
			return result
		}
		r.recorder.retried()
	}
}

func (r *Run) attempt(ctx context.Context, arrival Arrival, attempt int, planned time.Time, body []byte) onlineResult {
	target, release := r.target(arrival, attempt)
	defer release()
	request, err := r.newRequest(ctx, target, http.MethodPost, arrival.Number, chatPath, "application/json", body)
	if err != nil {
		return onlineResult{verdict: verdictFailed, detail: err.Error()}
	}
	if !arrival.repeatable {
		request.Header.Set("Idempotency-Key", r.keyOf(arrival))
	}
	response, err := r.client.Do(request)
	if err != nil {
		failed := endedEarly(ctx, verdictFailed, err)
		failed.again = errors.Is(err, syscall.ECONNREFUSED)
		return failed
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusedResult(response)
	}
	reading := streamReading{planned: planned}
	return reading.read(ctx, response.Body, body)
}

// keyOf names a request that must run at most once.
func (r *Run) keyOf(arrival Arrival) string {
	return fmt.Sprintf("load-%s-%d", r.name, arrival.Number)
}

func endedEarly(ctx context.Context, ended verdict, err error) onlineResult {
	if ctx.Err() != nil {
		ended = verdictUnfinished
	}
	return onlineResult{verdict: ended, detail: err.Error()}
}

func refusedResult(response *http.Response) onlineResult {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var envelope errorEnvelope
	if json.Unmarshal(content, &envelope) != nil || envelope.Error == nil {
		return onlineResult{verdict: verdictRefused, code: fmt.Sprintf("untyped_%d", response.StatusCode), notRun: "absent"}
	}
	return onlineResult{
		verdict: verdictRefused,
		code:    envelope.Error.Code,
		notRun:  envelope.Error.NotRun,
		again:   envelope.Error.NotRun == notRun && response.Header.Get("Retry-After") != "",
	}
}

// streamReading reads one streamed answer.
type streamReading struct {
	planned time.Time
	last    time.Time
	result  onlineResult
	text    strings.Builder
	final   bool
}

var (
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

func (s *streamReading) read(ctx context.Context, source io.Reader, body []byte) onlineResult {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxEventLine)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), dataField)
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return s.finish(body)
		}
		if failed := s.chunk(data); failed != nil {
			return *failed
		}
	}
	return endedEarly(ctx, verdictCut, fmt.Errorf("stream ended early after %d bytes: %w", s.text.Len(), endOf(scanner)))
}

func endOf(scanner *bufio.Scanner) error {
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (s *streamReading) chunk(data []byte) *onlineResult {
	now := time.Now()
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return &onlineResult{verdict: verdictWrong, detail: fmt.Sprintf("chunk is not JSON: %v", err)}
	}
	if chunk.Error != nil {
		return &onlineResult{verdict: verdictInterrupted, code: chunk.Error.Code, detail: "in-band: " + chunk.Error.Code + ": " + chunk.Error.Message}
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	s.final = s.final || chunk.Choices[0].FinishReason != nil
	content := chunk.Choices[0].Delta.Content
	if content == "" {
		return nil
	}
	s.text.WriteString(content)
	if s.last.IsZero() {
		s.result.firstToken = now.Sub(s.planned)
	} else {
		s.result.gaps = append(s.result.gaps, now.Sub(s.last))
	}
	s.last = now
	return nil
}

func (s *streamReading) finish(body []byte) onlineResult {
	s.result.whole = time.Since(s.planned)
	err := enginesim.Check(body, s.text.String())
	switch {
	case err == nil && s.final:
		s.result.verdict = verdictCompleted
	case err == nil || errors.Is(err, enginesim.ErrCut):
		s.result.verdict = verdictCut
		s.result.detail = fmt.Sprintf("passed as whole but cut: final %t: %v", s.final, err)
	default:
		s.result.verdict = verdictWrong
		s.result.detail = err.Error()
	}
	return s.result
}
