package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Headers of the caller API.
const (
	headerIdempotencyKey  = "Idempotency-Key"
	headerRepeatable      = "X-Repeatable"
	headerRequestDeadline = "X-Request-Deadline"
	// headerRequestID carries the caller's own name of a request, and comes back as given.
	headerRequestID = "X-Request-Id"
	// headerUniqueID carries the name of the request that is unique in the fleet and stands in the logs.
	headerUniqueID   = "X-Mallowlatch-Request-Id"
	headerNotRun     = "X-Not-Run"
	headerRetryAfter = "Retry-After"
	// headerRetryAfterMilliseconds is understood by the OpenAI client libraries.
	headerRetryAfterMilliseconds = "Retry-After-Ms"
)

const (
	requestIDPrefix       = "req_"
	maximumCallerID       = 128
	maximumIdempotencyKey = 255
)

// identify gives the exchange its unique id and echoes the caller's.
func (e *exchange) identify() {
	e.id = ident.Request(requestIDPrefix + ulid.Make().String())
	given := e.request.Header.Get(headerRequestID)
	if given != "" && len(given) <= maximumCallerID && visible(given) {
		e.callerID = given
	}
	header := e.Header()
	header.Set(headerUniqueID, string(e.id))
	if e.callerID == "" {
		header.Set(headerRequestID, string(e.id))
		return
	}
	header.Set(headerRequestID, e.callerID)
}

// visible says whether the text has only visible ASCII characters.
func visible(text string) bool {
	for index := range len(text) {
		if text[index] <= ' ' || text[index] > '~' {
			return false
		}
	}
	return true
}

func idempotencyKey(header http.Header) (string, error) {
	key := header.Get(headerIdempotencyKey)
	if len(key) > maximumIdempotencyKey || !visible(key) {
		return "", failure.New(failure.CodeInvalidRequest, "%s must be 1 to %d visible ASCII characters", headerIdempotencyKey, maximumIdempotencyKey).WithParam(headerIdempotencyKey)
	}
	return key, nil
}

// repeatable returns what the header says, or what the body and the service say.
func repeatable(header http.Header, byDefault bool) (bool, error) {
	switch header.Get(headerRepeatable) {
	case "":
		return byDefault, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, failure.New(failure.CodeInvalidRequest, "%s must be true or false", headerRepeatable).WithParam(headerRepeatable)
}

// deadline reads X-Request-Deadline: a time as RFC 3339, or milliseconds from arrival. Zero means none was given.
func deadline(header http.Header, arrived time.Time) (time.Time, error) {
	given := header.Get(headerRequestDeadline)
	if given == "" {
		return time.Time{}, nil
	}
	parsed, err := parseDeadline(given, arrived)
	if err != nil {
		return time.Time{}, err
	}
	if !parsed.After(arrived) {
		return time.Time{}, failure.New(failure.CodeDeadlineExceeded, "the deadline had passed when the request arrived").WithParam(headerRequestDeadline)
	}
	return parsed, nil
}

func parseDeadline(given string, arrived time.Time) (time.Time, error) {
	const maximumMilliseconds = int64(30 * 24 * time.Hour / time.Millisecond)
	if milliseconds, err := strconv.ParseInt(given, 10, 64); err == nil && milliseconds <= maximumMilliseconds {
		return arrived.Add(time.Duration(max(milliseconds, 0)) * time.Millisecond), nil
	}
	parsed, err := time.Parse(time.RFC3339, given)
	if err != nil {
		return time.Time{}, failure.New(failure.CodeInvalidRequest, "%s must be a time as in RFC 3339, or milliseconds up to 30 days", headerRequestDeadline).WithParam(headerRequestDeadline)
	}
	return parsed, nil
}
