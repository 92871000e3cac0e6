// Package request validates the JSON body of an online request, bounds it, and resolves it against the configuration.
// It is pure: its caller gives it bytes and a snapshot.
package request

import (
	"encoding/json"
	"slices"
	"unicode/utf8"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Bounds of a request.
const (
	// maximumMessages bounds the messages of a chat.
	maximumMessages = 4096
	// maximumParts bounds the content parts of one message.
	maximumParts = 256
	// maximumModelName bounds the name of a service, in bytes.
	maximumModelName = 256
	// MaximumAnswerTokens bounds max_tokens.
	MaximumAnswerTokens = 1 << 20
	// defaultAnswerTokens is the bound of an answer when neither the request nor the service gives one.
	defaultAnswerTokens = 4096
	maximumTemperature  = 2
)

// Decode validates the body of a request of the tenant to the endpoint and resolves its service. It fills the fields
// that follow from the body and the snapshot; identity, class, times and Idempotency-Key are the caller's to set.
// Errors are *failure.Error and state that the request was not run.
func Decode(endpoint inference.Endpoint, body []byte, tenant ident.Tenant, snapshot *catalog.Snapshot) (*inference.Request, error) {
	parsed, err := parse(body)
	if err != nil {
		return nil, err
	}
	if err := parsed.validate(endpoint); err != nil {
		return nil, err
	}
	service, err := Service(snapshot, tenant, parsed.Model)
	if err != nil {
		return nil, err
	}
	prompt := newPromptHash()
	parsed.writePrompt(endpoint, prompt)
	return &inference.Request{
		Tenant:        tenant,
		Service:       service.Name,
		Model:         service.Model,
		Adapter:       service.Adapter,
		Endpoint:      endpoint,
		Body:          body,
		Stream:        parsed.Stream,
		PromptTokens:  prompt.tokens(),
		MaxTokens:     parsed.answerTokens(service),
		PrefixBlocks:  prompt.blocks,
		Repeatable:    parsed.repeatable(service),
		Deterministic: parsed.deterministic(),
	}, nil
}

// Service returns the service of the name if the tenant may use it. A service closed to the tenant is reported as not
// found, so that names do not leak between tenants.
func Service(snapshot *catalog.Snapshot, tenant ident.Tenant, name string) (catalog.Service, error) {
	service, known := snapshot.Services[name]
	if !known || !Allowed(service, tenant) {
		return catalog.Service{}, failure.New(failure.CodeModelNotFound, "the model %q does not exist or is not open to you", name).WithParam("model")
	}
	return service, nil
}

// Allowed says whether the tenant may use the service.
func Allowed(service catalog.Service, tenant ident.Tenant) bool {
	return len(service.Tenants) == 0 || slices.Contains(service.Tenants, tenant)
}

func parse(body []byte) (*document, error) {
	if !utf8.Valid(body) {
		return nil, failure.New(failure.CodeInvalidJSON, "the body is not UTF-8")
	}
	var parsed document
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, JSONFailure(err)
	}
	return &parsed, nil
}
