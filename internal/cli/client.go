package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 64 << 20
	// resendAttempts and resendDelay say how a change whose answer was lost is sent again.
	resendAttempts = 3
	resendDelay    = 500 * time.Millisecond
)

// client calls the administration API or the caller API.
type client struct {
	server string
	key    string
	http   *http.Client
}

// call is one request. The body is a function so that a resend can read it again.
type call struct {
	method string
	path   string
	query  url.Values
	header map[string]string
	body   func() (io.ReadCloser, error)
}

func textBody(text string) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }
}

// apiError is an error answer of the server.
type apiError struct {
	status int
	admin.ErrorDetail
}

// Error returns the message and every problem, one a line.
func (e *apiError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if len(e.Problems) < 2 {
		return text
	}
	for _, problem := range e.Problems {
		text += "\n  " + problem.String()
	}
	return text
}

// lostError means that no answer came: the request may or may not have had an effect.
type lostError struct{ cause error }

// Error returns the text of the cause.
func (e *lostError) Error() string { return "no answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

// read sends a request without an effect and decodes the answer.
func (c *client) read(ctx context.Context, path string, query url.Values, answer any) error {
	err := c.send(ctx, call{method: http.MethodGet, path: path, query: query}, answer)
	if exitCode(err) == ExitUnknown {
		return withExit(ExitUnavailable, err)
	}
	return err
}

// send sends a request and decodes the answer, if answer is not nil. Its errors have exit codes.
func (c *client) send(ctx context.Context, request call, answer any) error {
	body, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	defer body.Close()
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return withExit(ExitUnknown, &lostError{cause: err})
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("%w from %s: %w", errServer, c.server, err)
	}
	return nil
}

// open sends a request and returns the body of a successful answer.
func (c *client) open(ctx context.Context, request call) (io.ReadCloser, error) {
	prepared, err := c.prepare(ctx, request)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(prepared)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, withExit(ExitUnavailable, fmt.Errorf("connecting to %s: %w", c.server, err))
	}
	if err != nil {
		return nil, withExit(ExitUnknown, &lostError{cause: err})
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, errorOf(response)
	}
	return response.Body, nil
}

func (c *client) prepare(ctx context.Context, request call) (*http.Request, error) {
	target, err := url.Parse(c.server)
	if err != nil || target.Host == "" {
		return nil, usageError("the server %q must be a URL, for example http://127.0.0.1:8081", c.server)
	}
	target = target.JoinPath(request.path)
	target.RawQuery = request.query.Encode()
	var body io.ReadCloser
	if request.body != nil {
		if body, err = request.body(); err != nil {
			return nil, err
		}
	}
	prepared, err := http.NewRequestWithContext(ctx, request.method, target.String(), body)
	if err != nil {
		return nil, usageError("%v", err)
	}
	prepared.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range request.header {
		prepared.Header.Set(name, value)
	}
	return prepared, nil
}

// errorOf reads an error answer.
func errorOf(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	var body admin.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("%w: status %d", errServer, response.StatusCode)
	}
	code, known := exitOfCode[body.Error.Code]
	if !known {
		code = ExitFailure
	}
	return withExit(code, &apiError{status: response.StatusCode, ErrorDetail: body.Error})
}

// sendSafely sends a request that the server recognises when it comes again, and repeats it while its outcome is
// unknown.
func (c *client) sendSafely(ctx context.Context, request call, answer any) error {
	err := c.send(ctx, request, answer)
	if exitCode(err) != ExitUnknown {
		return err
	}
	if request.header["Change-Id"] != "" {
		request.header["Change-Resend"] = "true"
	}
	for range resendAttempts - 1 {
		if !pause(ctx, resendDelay) {
			break
		}
		err = c.send(ctx, request, answer)
		if settles(err) {
			return err
		}
	}
	return withExit(ExitUnknown, fmt.Errorf("%w: %w", errUnknown, err))
}

// settles says whether the answer to a resend tells the outcome of the first send too: success does, and so does a
// refusal for which the server has looked for the first send. An outage, for one, says nothing about it.
func settles(err error) bool {
	switch exitCode(err) {
	case ExitConflict, ExitInvalid, ExitNotFound:
		return true
	default:
		return err == nil
	}
}

// pause waits, and returns false if ctx ends first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func hasCode(err error, code failure.Code) bool {
	var answered *apiError
	return errors.As(err, &answered) && answered.Code == code
}
