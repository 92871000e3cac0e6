package openaihttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// maxAnswer bounds the answer to a control call, in bytes.
const maxAnswer = 8 << 20

// streamOptions asks an engine for the usage in the stream.
var streamOptions = json.RawMessage(`{"include_usage":true}`)

// engineBody returns the caller's body with the fields that the fleet decides: the engine's model, streaming, and the
// bound of the answer where the caller gave none.
func engineBody(request *inference.Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(request.Body, &fields); err != nil {
		return nil, fmt.Errorf("reading body: %w", err)
	}
	model, err := json.Marshal(request.Model)
	if err != nil {
		return nil, fmt.Errorf("writing model name: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = streamOptions
	if request.MaxTokens > 0 && fields["max_tokens"] == nil && fields["max_completion_tokens"] == nil {
		fields["max_tokens"] = fmt.Append(nil, request.MaxTokens)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("writing body: %w", err)
	}
	return body, nil
}

func newRequest(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, fmt.Errorf("making request: %w", err)
	}
	return request, nil
}

func pathEscape(request ident.Request) string { return url.PathEscape(string(request)) }

// discard reads a short answer to its end, so that its connection can be reused, and closes it.
func discard(response *http.Response) {
	if response.ContentLength >= 0 && response.ContentLength <= drainLimit {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_ = response.Body.Close()
}
