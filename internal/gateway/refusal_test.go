package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	chatPath   = "/v1/chat/completions"
	chatBody   = `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`
	streamBody = `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

func envelopeOf(t testing.TB, body string) envelopeError {
	t.Helper()
	var parsed envelope
	assert.NilError(t, json.Unmarshal([]byte(body), &parsed), body)
	return parsed.Error
}

// form returns a multipart upload with the fields in the order given.
func form(fields ...string) string {
	var body strings.Builder
	for index := 0; index+1 < len(fields); index += 2 {
		disposition := `name="` + fields[index] + `"`
		if fields[index] == "file" {
			disposition += `; filename="f.jsonl"`
		}
		body.WriteString("--b\r\nContent-Disposition: form-data; " + disposition + "\r\n\r\n" + fields[index+1] + "\r\n")
	}
	return body.String() + "--b--\r\n"
}

const formType = "multipart/form-data; boundary=b"

func TestRefusalsAreTypedAndNotRun(t *testing.T) {
	site := newSite(t, greet, func(options *Options) {
		options.Limits = Limits{BodyBytes: 2000, FileBytes: 3000}
	})
	long := strings.Repeat("x", 4000)
	cases := []struct {
		name, method, path, body string
		header                   []string
		code                     failure.Code
		param                    string
	}{
		{"bad JSON", "POST", chatPath, `{"model":`, nil, failure.CodeInvalidJSON, ""},
		{"not an object", "POST", chatPath, `[1]`, nil, failure.CodeInvalidJSON, ""},
		{"not UTF-8", "POST", chatPath, "{\"model\":\"\xff\"}", nil, failure.CodeInvalidJSON, ""},
		{"wrong type", "POST", chatPath, `{"model":"assistant","max_tokens":"many","messages":[]}`, nil, failure.CodeInvalidRequest, "max_tokens"},
		{"no messages", "POST", chatPath, `{"model":"assistant"}`, nil, failure.CodeInvalidRequest, "messages"},
		{"unknown role", "POST", chatPath, `{"model":"assistant","messages":[{"role":"king"}]}`, nil, failure.CodeInvalidRequest, "messages[0].role"},
		{"max_tokens too small", "POST", chatPath, `{"model":"assistant","max_tokens":0,"messages":[{"role":"user"}]}`, nil, failure.CodeInvalidRequest, "max_tokens"},
		{"several choices", "POST", chatPath, `{"model":"assistant","n":2,"messages":[{"role":"user"}]}`, nil, failure.CodeInvalidRequest, "n"},
		{"no prompt", "POST", "/v1/completions", `{"model":"assistant"}`, nil, failure.CodeInvalidRequest, "prompt"},
		{"unknown model", "POST", chatPath, strings.Replace(chatBody, testService, "none", 1), nil, failure.CodeModelNotFound, "model"},
		{"another tenant's model", "POST", chatPath, strings.Replace(chatBody, testService, "private", 1), nil, failure.CodeModelNotFound, "model"},
		{"oversized body", "POST", chatPath, `{"model":"` + long + `"}`, nil, failure.CodeBodyTooLarge, ""},
		{"wrong key", "POST", chatPath, chatBody, []string{"Authorization", "Bearer mlk_wrong"}, failure.CodeInvalidKey, ""},
		{"no key", "GET", "/v1/models", "", []string{"Authorization", ""}, failure.CodeInvalidKey, ""},
		{"admin's key", "POST", chatPath, chatBody, []string{"Authorization", "Bearer " + adminKey}, failure.CodeForbidden, ""},
		{"no such route", "GET", "/v1/embeddings", "", nil, failure.CodeNotFound, ""},
		{"wrong method", "DELETE", chatPath, "", nil, failure.CodeMethodNotAllowed, ""},
		{"deadline passed", "POST", chatPath, chatBody, []string{headerRequestDeadline, "2001-01-01T00:00:00Z"}, failure.CodeDeadlineExceeded, headerRequestDeadline},
		{"deadline unreadable", "POST", chatPath, chatBody, []string{headerRequestDeadline, "soon"}, failure.CodeInvalidRequest, headerRequestDeadline},
		{"not repeatable without a key", "POST", chatPath, chatBody, []string{headerRepeatable, "false"}, failure.CodeInvalidRequest, headerIdempotencyKey},
		{"not repeatable by its body", "POST", chatPath, strings.Replace(chatBody, "{", `{"repeatable":false,`, 1), nil, failure.CodeInvalidRequest, headerIdempotencyKey},
		{"not repeatable by its service", "POST", chatPath, strings.Replace(chatBody, testService, "bookings", 1), nil, failure.CodeInvalidRequest, headerIdempotencyKey},
		{"unreadable idempotency key", "POST", chatPath, chatBody, []string{headerIdempotencyKey, "a b"}, failure.CodeInvalidRequest, headerIdempotencyKey},
		{"no form", "POST", "/v1/files", "x", nil, failure.CodeInvalidRequest, ""},
		{"form without a file", "POST", "/v1/files", form("purpose", "batch"), []string{"Content-Type", formType}, failure.CodeInvalidRequest, "file"},
		{"wrong purpose first", "POST", "/v1/files", form("purpose", "vision", "file", "{}"), []string{"Content-Type", formType}, failure.CodeInvalidRequest, "purpose"},
		{"wrong purpose last", "POST", "/v1/files", form("file", "{}", "purpose", "vision"), []string{"Content-Type", formType}, failure.CodeInvalidRequest, "purpose"},
		{"no purpose", "POST", "/v1/files", form("file", "{}"), []string{"Content-Type", formType}, failure.CodeInvalidRequest, "purpose"},
		{"oversized file", "POST", "/v1/files", form("purpose", "batch", "file", long), []string{"Content-Type", formType}, failure.CodeBodyTooLarge, ""},
		{"cut form", "POST", "/v1/files", strings.TrimSuffix(form("purpose", "batch", "file", "{}"), "\r\n--b--\r\n"), []string{"Content-Type", formType}, failure.CodeInvalidRequest, ""},
		{"no such file", "GET", "/v1/files/none/content", "", nil, failure.CodeNotFound, ""},
		{"batch of no file", "POST", "/v1/batches", `{"input_file_id":"none","endpoint":"/v1/completions","completion_window":"24h"}`, nil, failure.CodeNotFound, ""},
		{"batch endpoint", "POST", "/v1/batches", `{"input_file_id":"none","endpoint":"/v1/embeddings","completion_window":"24h"}`, nil, failure.CodeInvalidRequest, "endpoint"},
		{"batch window", "POST", "/v1/batches", `{"input_file_id":"none","endpoint":"/v1/completions","completion_window":"soon"}`, nil, failure.CodeInvalidRequest, "completion_window"},
		{"page too long", "GET", "/v1/batches?limit=101", "", nil, failure.CodeInvalidRequest, "limit"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			response, body := site.send(t, testCase.method, testCase.path, testCase.body, testCase.header...)
			failed := envelopeOf(t, body)
			assert.Equal(t, failed.Code, testCase.code, body)
			assert.Equal(t, response.StatusCode, testCase.code.Status())
			assert.Equal(t, failed.NotRun, "true", body)
			assert.Equal(t, response.Header.Get(headerNotRun), "true")
			assert.Assert(t, failed.Message != "" && failed.Type != "", body)
			param := ""
			if failed.Param != nil {
				param = *failed.Param
			}
			assert.Equal(t, param, testCase.param, body)
		})
	}
	assert.Equal(t, len(site.jobs.order), 0, "a refused upload must leave no file")
	assert.Equal(t, site.gateway.buffered.held.Load(), int64(0))
	assert.Equal(t, site.gateway.InProgress(), 0)
}

func TestRequestNamesAreEchoed(t *testing.T) {
	site := newSite(t, greet, nil)
	response, _ := site.post(t, chatPath, chatBody, headerRequestID, "booking-7")
	assert.Equal(t, response.Header.Get(headerRequestID), "booking-7")
	unique := response.Header.Get(headerUniqueID)
	assert.Assert(t, strings.HasPrefix(unique, requestIDPrefix))
	response, _ = site.post(t, chatPath, chatBody)
	assert.Assert(t, response.Header.Get(headerUniqueID) != unique)
	assert.Equal(t, response.Header.Get(headerRequestID), response.Header.Get(headerUniqueID))
}

func TestDeadlineForms(t *testing.T) {
	arrived := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for given, expected := range map[string]time.Time{
		"":                     {},
		"1500":                 arrived.Add(1500 * time.Millisecond),
		"2026-12-02T08:00:02Z": arrived.Add(2 * time.Second),
	} {
		parsed, err := deadline(http.Header{headerRequestDeadline: {given}}, arrived)
		assert.NilError(t, err)
		assert.Assert(t, parsed.Equal(expected), "%s: %s", given, parsed)
	}
}

func TestNodeRefusesBeyondItsLimits(t *testing.T) {
	site := newSite(t, greet, func(options *Options) { options.Limits = Limits{Requests: 1, BufferedBytes: 10} })
	response, body := site.post(t, chatPath, chatBody)
	assert.Equal(t, envelopeOf(t, body).Code, failure.CodeOverloaded)
	assert.Equal(t, response.Header.Get(headerRetryAfter), "1")
	assert.Assert(t, site.gateway.requests.take())
	_, body = site.post(t, chatPath, chatBody)
	assert.Equal(t, envelopeOf(t, body).Code, failure.CodeOverloaded)
	assert.Equal(t, site.gateway.buffered.held.Load(), int64(0))
}
