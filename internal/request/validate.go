package request

import (
	"strconv"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// validate returns the first thing wrong with the request, naming the field.
func (d *document) validate(endpoint inference.Endpoint) error {
	if failed := d.validateModel(); failed != nil {
		return failed
	}
	if failed := d.validateInput(endpoint); failed != nil {
		return failed
	}
	if failed := d.validateNumbers(); failed != nil {
		return failed
	}
	return nil
}

func (d *document) validateModel() *failure.Error {
	if d.Model == "" {
		return invalid("model", "is required")
	}
	if len(d.Model) > maximumModelName {
		return invalid("model", "is longer than %d bytes", maximumModelName)
	}
	return nil
}

func (d *document) validateInput(endpoint inference.Endpoint) *failure.Error {
	if endpoint == inference.Completions {
		return d.validatePrompt()
	}
	if d.Prompt != nil {
		return invalid("prompt", "belongs to %s; this endpoint takes messages", inference.Completions)
	}
	if len(d.Messages) == 0 {
		return invalid("messages", "must have at least one message")
	}
	if len(d.Messages) > maximumMessages {
		return invalid("messages", "has more than %d messages", maximumMessages)
	}
	for index := range d.Messages {
		if !knownRole(d.Messages[index].Role) {
			return invalid("messages["+strconv.Itoa(index)+"].role", "must be system, developer, user, assistant, tool or function")
		}
	}
	return nil
}

func (d *document) validatePrompt() *failure.Error {
	if len(d.Messages) > 0 {
		return invalid("messages", "belongs to %s; this endpoint takes a prompt", inference.ChatCompletions)
	}
	if d.Prompt == nil || len(d.Prompt.texts) == 0 {
		return invalid("prompt", "is required")
	}
	if len(d.Prompt.texts) > 1 {
		return invalid("prompt", "must be one text; send one request for each prompt")
	}
	return nil
}

func knownRole(role string) bool {
	switch role {
	case "system", "developer", "user", "assistant", "tool", "function":
		return true
	}
	return false
}

func (d *document) validateNumbers() *failure.Error {
	integers := []struct {
		name    string
		value   *int
		maximum int
	}{
		{"max_tokens", d.MaxTokens, MaximumAnswerTokens},
		{"max_completion_tokens", d.MaxCompletionTokens, MaximumAnswerTokens},
		// Streams are followed by token offset, which holds for one choice only.
		{"n", d.Choices, 1},
		{"best_of", d.BestOf, 1},
	}
	for _, field := range integers {
		if field.value != nil && (*field.value < 1 || *field.value > field.maximum) {
			return invalid(field.name, "must be from 1 to %d", field.maximum)
		}
	}
	if d.Temperature != nil && (*d.Temperature < 0 || *d.Temperature > maximumTemperature) {
		return invalid("temperature", "must be from 0 to %d", maximumTemperature)
	}
	if d.TopP != nil && (*d.TopP <= 0 || *d.TopP > 1) {
		return invalid("top_p", "must be above 0 and at most 1")
	}
	if d.StreamOptions != nil && !d.Stream {
		return invalid("stream_options", "is only allowed with stream")
	}
	return nil
}
