package jobstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// The codes of items that end without an answer of an engine.
const (
	codeBatchExpired   = "batch_expired"
	codeBatchCancelled = "batch_cancelled"
	codeDuplicate      = "duplicate_custom_id"
)

// inputLine is one line of an input file.
type inputLine struct {
	CustomID   string          `json:"custom_id"`
	Method     string          `json:"method"`
	URL        string          `json:"url"`
	Body       json.RawMessage `json:"body"`
	Repeatable *bool           `json:"repeatable"`
}

// itemError is the error object of an output line.
type itemError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// itemResponse is the response object of an output line.
type itemResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// outputLine is one line of an output or error file.
type outputLine struct {
	ID       string        `json:"id"`
	CustomID *string       `json:"custom_id"`
	Response *itemResponse `json:"response"`
	Error    *itemError    `json:"error"`
}

// parseLine decodes a line and checks it against the job's endpoint. On a refusal the custom id is returned if it
// could be read. The service is the "model" field of the body.
func parseLine(text []byte, endpoint inference.Endpoint) (line inputLine, service string, refusal *itemError) {
	if err := json.Unmarshal(text, &line); err != nil {
		return line, "", invalidLine("the line is not a JSON object of the batch input format")
	}
	if line.CustomID == "" {
		return line, "", invalidLine("custom_id is missing")
	}
	if line.Method != "" && line.Method != http.MethodPost {
		return line, "", invalidLine("method must be POST")
	}
	if line.URL != string(endpoint) {
		return line, "", invalidLine(fmt.Sprintf("url must be the endpoint of the batch, %s", endpoint))
	}
	var body struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(line.Body, &body); err != nil || body.Model == "" {
		return line, "", invalidLine("body must be an object with a model")
	}
	return line, body.Model, nil
}

func invalidLine(message string) *itemError {
	return &itemError{Code: string(failure.CodeInvalidLine), Message: message}
}

func itemID(job string, index uint32) string {
	return fmt.Sprintf("batch_req_%s_%d", job, index)
}

// renderError returns the output line of an item that ended without an answer.
func renderError(job string, index uint32, customID string, ended *itemError) []byte {
	line := outputLine{ID: itemID(job, index), Error: ended}
	if customID != "" {
		line.CustomID = &customID
	}
	return mustMarshal(line)
}

// renderResponse returns the output line of an answered item, and false if the answer's body is not JSON.
func renderResponse(job string, index uint32, customID string, status int, body []byte) ([]byte, bool) {
	// An empty raw message would become null; any other that is not JSON fails to encode.
	if len(body) == 0 {
		return nil, false
	}
	encoded, err := marshalLine(outputLine{
		ID:       itemID(job, index),
		CustomID: &customID,
		Response: &itemResponse{StatusCode: status, RequestID: fmt.Sprintf("req_%s_%d", job, index), Body: body},
	})
	return encoded, err == nil
}

// mustMarshal encodes a line without raw parts.
func mustMarshal(line outputLine) []byte {
	encoded, err := marshalLine(line)
	if err != nil {
		panic(err)
	}
	return encoded
}

// marshalLine encodes a line. It fails only if a raw part is not JSON.
func marshalLine(line outputLine) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(line); err != nil {
		return nil, fmt.Errorf("encoding an output line: %w", err)
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte{'\n'}), nil
}

// splitLines calls visit for each line of a chunk, without its newline.
func splitLines(chunk []byte, visit func(line []byte)) {
	for len(chunk) > 0 {
		line, rest, _ := bytes.Cut(chunk, []byte{'\n'})
		visit(line)
		chunk = rest
	}
}
