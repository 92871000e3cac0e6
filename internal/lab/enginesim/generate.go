package enginesim

import (
	"io"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// maxBody bounds a generation call's body, in bytes.
const maxBody = 32 << 20

// handleGenerate serves a completion endpoint, streamed and whole.
func (e *Engine) handleGenerate(endpoint inference.Endpoint) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		faults := e.faults.get()
		if e.faults.happens(faults.DropBefore) {
			panic(http.ErrAbortHandler)
		}
		if e.faults.happens(faults.Refuse) {
			return writeRefusal(w, &refusal{http.StatusTooManyRequests, dialect.CodeBusy, "refused on order", 1})
		}
		submitted, err := parseSubmission(w, request, endpoint)
		if err != nil {
			return reject(w, err.Error())
		}
		sequence, reader, refused := e.accept(submitted)
		if refused != nil {
			return writeRefusal(w, refused)
		}
		defer e.detach(sequence, reader)
		if e.faults.happens(faults.DropAfter) {
			panic(http.ErrAbortHandler)
		}
		if e.faults.happens(faults.Fail) {
			return writeJSON(w, http.StatusInternalServerError, dialect.ErrorBody{
				Error: dialect.ErrorDetail{Message: "failed on order", Type: "engine_error", Code: "internal", NotRun: "unknown"},
			})
		}
		answer := e.newAnswer(w, request, sequence, reader, submitted.resumeOffset)
		if submitted.prompt.Stream {
			return answer.stream()
		}
		return answer.whole()
	}
}

// handleResume reads on from a held stream.
func (e *Engine) handleResume(w http.ResponseWriter, request bunrouter.Request) error {
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		return reject(w, "offset must be a number of tokens")
	}
	sequence, reader := e.find(ident.Request(request.Param("request")), offset)
	if sequence == nil {
		return writeRefusal(w, &refusal{http.StatusGone, dialect.CodeGone, "the stream is gone", 0})
	}
	defer e.detach(sequence, reader)
	return e.newAnswer(w, request, sequence, reader, offset).stream()
}

func parseSubmission(w http.ResponseWriter, request bunrouter.Request, endpoint inference.Endpoint) (submission, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody))
	if err != nil {
		return submission{}, err
	}
	prompt, err := ParsePrompt(body)
	if err != nil {
		return submission{}, err
	}
	header := request.Header
	submitted := submission{
		request:     ident.Request(header.Get(dialect.HeaderRequest)),
		endpoint:    endpoint,
		idempotency: header.Get(dialect.HeaderIdempotency),
		adapter:     header.Get(dialect.HeaderAdapter),
		prompt:      prompt,
	}
	if header.Get(dialect.HeaderPriority) == dialect.PriorityBatch {
		submitted.class = inference.Batch
	}
	submitted.attempt = int(number(header, dialect.HeaderAttempt))
	submitted.ownerEpoch = number(header, dialect.HeaderOwnerEpoch)
	submitted.resumeOffset = int(number(header, dialect.HeaderResumeOffset))
	return submitted, nil
}

// number reads a header that holds a number; one that does not counts as zero, the lowest epoch and offset.
func number(header http.Header, name string) uint64 {
	value, err := strconv.ParseUint(header.Get(name), 10, 63)
	if err != nil {
		return 0
	}
	return value
}
