package request

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// document is the part of a request body that serving depends on. Other fields go to the engine unread.
type document struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	Prompt              *textOrList    `json:"prompt"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	Choices             *int           `json:"n"`
	BestOf              *int           `json:"best_of"`
	Temperature         *float64       `json:"temperature"`
	TopP                *float64       `json:"top_p"`
	Seed                *int64         `json:"seed"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	Repeatable          *bool          `json:"repeatable"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string     `json:"role"`
	Content textOrList `json:"content"`
}

// textOrList is a JSON string, a list of strings, or a list of content parts; null is none.
type textOrList struct {
	texts []string
	// list says that it was a list.
	list bool
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler. raw is valid JSON.
func (t *textOrList) UnmarshalJSON(raw []byte) error {
	switch raw[0] {
	case 'n':
		return nil
	case '"':
		text, err := unquote(raw)
		if err != nil {
			return err
		}
		t.texts = []string{text}
		return nil
	case '[':
		return t.unmarshalList(raw)
	default:
		return fmt.Errorf("%w: must be text or a list", errWrongType)
	}
}

// unquote returns the text of a JSON string. raw is valid JSON and UTF-8, so that a string without escapes, the usual
// long prompt, is its own text.
func unquote(raw []byte) (string, error) {
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1]), nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return text, err
}

const errWrongType = failure.Kind("wrong type")

func (t *textOrList) unmarshalList(raw []byte) error {
	t.list = true
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return err
	}
	if len(elements) > maximumParts {
		return fmt.Errorf("%w: has more than %d parts", errWrongType, maximumParts)
	}
	for _, element := range elements {
		text, err := partText(element)
		if err != nil {
			return err
		}
		t.texts = append(t.texts, text)
	}
	return nil
}

func partText(element json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(element, &text) == nil {
		return text, nil
	}
	var part contentPart
	if err := json.Unmarshal(element, &part); err != nil || part.Type == "" {
		return "", fmt.Errorf("%w: a part must be text or an object with a type", errWrongType)
	}
	return part.Text, nil
}

// JSONFailure explains why a body is not the JSON that was expected.
func JSONFailure(err error) *failure.Error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return failure.New(failure.CodeInvalidJSON, "the body is not JSON: %s at byte %d", syntax.Error(), syntax.Offset)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		if wrongType.Field == "" {
			return failure.New(failure.CodeInvalidJSON, "the body must be a JSON object, not a %s", wrongType.Value)
		}
		return invalid(wrongType.Field, "must be a %s, not a %s", wrongType.Type, wrongType.Value)
	}
	if errors.Is(err, errWrongType) {
		return invalid("", "content or prompt: %v", err)
	}
	return failure.New(failure.CodeInvalidJSON, "the body is not JSON: %v", err)
}

func invalid(param, format string, arguments ...any) *failure.Error {
	message := fmt.Sprintf(format, arguments...)
	if param != "" {
		message = param + " " + message
	}
	return failure.New(failure.CodeInvalidRequest, "%s", message).WithParam(param)
}

func (d *document) answerTokens(service catalog.Service) int {
	if d.MaxCompletionTokens != nil {
		return *d.MaxCompletionTokens
	}
	if d.MaxTokens != nil {
		return *d.MaxTokens
	}
	if service.MaxTokens > 0 {
		return service.MaxTokens
	}
	return defaultAnswerTokens
}

func (d *document) repeatable(service catalog.Service) bool {
	if d.Repeatable != nil {
		return *d.Repeatable
	}
	return service.Repeatable
}

// deterministic says whether the caller asked for tokens that a second run gives again: a seed, or no sampling.
func (d *document) deterministic() bool {
	return d.Seed != nil || d.Temperature != nil && *d.Temperature == 0
}

// writePrompt writes the prompt as engines see it: for a chat, the role and content of each message on lines.
func (d *document) writePrompt(endpoint inference.Endpoint, prompt *promptHash) {
	if endpoint == inference.Completions {
		prompt.writeTexts(d.Prompt.texts)
		return
	}
	for index := range d.Messages {
		prompt.writeString(d.Messages[index].Role)
		prompt.writeString("\n")
		prompt.writeTexts(d.Messages[index].Content.texts)
		prompt.writeString("\n")
	}
}
