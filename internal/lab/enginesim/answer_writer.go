package enginesim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// errReaderGone means the caller closed the connection.
const errReaderGone = failure.Kind("engine stand-in: reader gone")

// answerWriter writes the answer of one sequence to one caller.
type answerWriter struct {
	engine   *Engine
	context  context.Context
	response http.ResponseWriter
	sequence *sequence
	reader   chan struct{}
	// sent is the number of tokens written so far.
	sent   int
	fault  streamFault
	buffer []byte
	// quotedRequest and quotedModel are JSON strings.
	quotedRequest, quotedModel []byte
	// held is a chunk that waits to be sent after the next one, or empty.
	held []byte
}

func (e *Engine) newAnswer(w http.ResponseWriter, request bunrouter.Request, sequence *sequence, reader chan struct{}, offset int) *answerWriter {
	quotedRequest, _ := json.Marshal(sequence.request)
	quotedModel, _ := json.Marshal(sequence.prompt.Model)
	return &answerWriter{
		quotedRequest: quotedRequest,
		quotedModel:   quotedModel,
		engine:        e,
		context:       request.Context(),
		response:      w,
		sequence:      sequence,
		reader:        reader,
		sent:          offset,
		fault:         e.faults.forStream(),
	}
}

// wait returns the tokens ready once there are more than sent, or the sequence has ended.
func (a *answerWriter) wait() (int, sequenceState, error) {
	for {
		generated, state := a.engine.progress(a.sequence)
		if generated > a.sent || state >= stateFinished {
			return generated, state, nil
		}
		select {
		case <-a.reader:
		case <-a.context.Done():
			return generated, state, errReaderGone
		}
		if !a.engine.waitThawed(a.context) {
			return generated, state, errReaderGone
		}
	}
}

// stream writes server-sent events. Each has the token offset as its id and one chunk as its data.
func (a *answerWriter) stream() error {
	a.response.Header().Set("Content-Type", "text/event-stream")
	a.response.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(a.response)
	_ = controller.Flush()
	for {
		ready, state, err := a.wait()
		if err != nil {
			return nil
		}
		if state > stateFinished {
			panic(http.ErrAbortHandler)
		}
		a.writeTokens(ready)
		if state == stateFinished && a.sent == a.sequence.prompt.AnswerTokens {
			a.writeFinal()
			return nil
		}
		if controller.Flush() != nil {
			return nil
		}
	}
}

func (a *answerWriter) writeTokens(ready int) {
	for a.sent < ready {
		a.misbehave()
		a.buffer = a.appendChunk(a.buffer[:0], a.sent)
		a.sent++
		a.writeChunk()
	}
}

// misbehave ends the connection if a fault says so at this offset.
func (a *answerWriter) misbehave() {
	if a.fault.dieAfter >= 0 && a.sent >= a.fault.dieAfter {
		a.engine.lose(a.sequence)
		a.breakConnection()
	}
	if a.fault.cutAfter >= 0 && a.sent >= a.fault.cutAfter {
		a.breakConnection()
	}
}

// breakConnection sends what is buffered and closes the connection without an end of the answer.
func (a *answerWriter) breakConnection() {
	_ = http.NewResponseController(a.response).Flush()
	panic(http.ErrAbortHandler)
}

// writeChunk writes the chunk in the buffer, doubled or after its successor if a fault says so.
func (a *answerWriter) writeChunk() {
	if len(a.held) == 0 && a.engine.faults.happens(a.fault.reorder) {
		a.held = append(a.held, a.buffer...)
		return
	}
	_, _ = a.response.Write(a.buffer)
	if a.engine.faults.happens(a.fault.duplicate) {
		_, _ = a.response.Write(a.buffer)
	}
	a.releaseHeld()
}

func (a *answerWriter) releaseHeld() {
	_, _ = a.response.Write(a.held)
	a.held = a.held[:0]
}

func (a *answerWriter) writeFinal() {
	a.releaseHeld()
	a.buffer = a.appendHead(a.buffer[:0], a.sent)
	if a.sequence.endpoint == inference.ChatCompletions {
		a.buffer = append(a.buffer, `"choices":[{"index":0,"delta":{},"finish_reason":"`...)
	} else {
		a.buffer = append(a.buffer, `"choices":[{"index":0,"text":"","finish_reason":"`...)
	}
	a.buffer = append(a.buffer, a.sequence.prompt.FinishReason...)
	a.buffer = append(a.buffer, `"}],`...)
	a.buffer = a.appendUsage(a.buffer)
	a.buffer = append(a.buffer, "}\n\ndata: [DONE]\n\n"...)
	_, _ = a.response.Write(a.buffer)
}

// appendChunk appends the event of token k.
func (a *answerWriter) appendChunk(buffer []byte, k int) []byte {
	buffer = a.appendHead(buffer, k)
	if a.sequence.endpoint == inference.ChatCompletions {
		buffer = append(buffer, `"choices":[{"index":0,"delta":{`...)
		if k == 0 {
			buffer = append(buffer, `"role":"assistant",`...)
		}
		buffer = append(buffer, `"content":"`...)
		buffer = appendToken(buffer, a.sequence.prompt.Digest, a.sequence.nonce, k)
		return append(buffer, "\"},\"finish_reason\":null}]}\n\n"...)
	}
	buffer = append(buffer, `"choices":[{"index":0,"text":"`...)
	buffer = appendToken(buffer, a.sequence.prompt.Digest, a.sequence.nonce, k)
	return append(buffer, "\",\"finish_reason\":null}]}\n\n"...)
}

func (a *answerWriter) appendHead(buffer []byte, offset int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(offset), 10)
	buffer = append(buffer, "\ndata: "...)
	return a.appendObject(buffer, ".chunk")
}

// appendObject appends the fields every answer and chunk begins with.
func (a *answerWriter) appendObject(buffer []byte, suffix string) []byte {
	buffer = append(buffer, `{"id":`...)
	buffer = append(buffer, a.quotedRequest...)
	if a.sequence.endpoint == inference.ChatCompletions {
		buffer = append(buffer, `,"object":"chat.completion`...)
		buffer = append(buffer, suffix...)
	} else {
		buffer = append(buffer, `,"object":"text_completion`...)
	}
	buffer = append(buffer, `","created":`...)
	buffer = strconv.AppendInt(buffer, a.sequence.created.Unix(), 10)
	buffer = append(buffer, `,"model":`...)
	buffer = append(buffer, a.quotedModel...)
	return append(buffer, ',')
}

func (a *answerWriter) appendUsage(buffer []byte) []byte {
	prompt, answer := a.sequence.prompt.Tokens, a.sequence.prompt.AnswerTokens
	return fmt.Appendf(buffer, `"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		prompt, answer, prompt+answer)
}

// whole writes one JSON object once the answer is complete.
func (a *answerWriter) whole() error {
	for {
		ready, state, err := a.wait()
		if err != nil {
			return nil
		}
		if state > stateFinished {
			panic(http.ErrAbortHandler)
		}
		a.sent = ready
		if state == stateFinished {
			break
		}
	}
	text := string(appendTokens(nil, a.sequence.prompt.Digest, a.sequence.nonce, a.sequence.prompt.AnswerTokens))
	a.buffer = a.appendObject(a.buffer[:0], "")
	if a.sequence.endpoint == inference.ChatCompletions {
		a.buffer = fmt.Appendf(a.buffer, `"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":%q}],`,
			text, a.sequence.prompt.FinishReason)
	} else {
		a.buffer = fmt.Appendf(a.buffer, `"choices":[{"index":0,"text":%q,"finish_reason":%q}],`,
			text, a.sequence.prompt.FinishReason)
	}
	a.buffer = append(a.appendUsage(a.buffer), '}')
	a.response.Header().Set("Content-Type", "application/json")
	_, _ = a.response.Write(a.buffer)
	return nil
}
