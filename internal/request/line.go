package request

import (
	"bytes"
	"encoding/json"
	"net/http"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	// MaximumLineBytes bounds one line of a batch file.
	MaximumLineBytes = 4 << 20
	// maximumCustomID bounds the caller's name of a line, in bytes.
	maximumCustomID = 512
)

// Line is one line of a batch file.
type Line struct {
	// CustomID is the caller's own name of the line, unique in its file.
	CustomID string `json:"custom_id"`
	Method   string `json:"method"`
	// URL is the endpoint.
	URL inference.Endpoint `json:"url"`
	// Body is the request, as for the endpoint.
	Body json.RawMessage `json:"body"`
}

// DecodeLine parses one line of a batch file for the endpoint of its job. number is the one-based line. Errors are
// *failure.Error with CodeInvalidLine and the line: that item's error, never the job's loss. Where the line could be
// parsed the returned Line holds its CustomID even with an error. The body is checked by Decode.
func DecodeLine(content []byte, number int, endpoint inference.Endpoint) (Line, error) {
	if len(content) > MaximumLineBytes {
		return Line{}, lineFailure(number, "", "the line is longer than %d bytes", MaximumLineBytes)
	}
	var line Line
	if err := json.Unmarshal(content, &line); err != nil {
		explained := JSONFailure(err)
		return Line{}, lineFailure(number, explained.Param, "%s", explained.Message)
	}
	return line, line.validate(number, endpoint)
}

func (l *Line) validate(number int, endpoint inference.Endpoint) error {
	body := bytes.TrimSpace(l.Body)
	switch {
	case l.CustomID == "":
		return lineFailure(number, "custom_id", "custom_id is required")
	case len(l.CustomID) > maximumCustomID:
		return lineFailure(number, "custom_id", "custom_id is longer than %d bytes", maximumCustomID)
	case l.Method != http.MethodPost:
		return lineFailure(number, "method", "method must be POST")
	case l.URL != endpoint:
		return lineFailure(number, "url", "url must be %s, the endpoint of the batch", endpoint)
	case len(body) == 0 || body[0] != '{':
		return lineFailure(number, "body", "body must be an object")
	}
	return nil
}

func lineFailure(number int, param, format string, arguments ...any) error {
	return failure.New(failure.CodeInvalidLine, format, arguments...).WithParam(param).WithLine(number)
}
