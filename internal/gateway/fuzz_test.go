package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// FuzzUpload gives any bytes as a form: each is either kept as a file or refused with a typed error and no file left.
func FuzzUpload(f *testing.F) {
	f.Add([]byte(form("purpose", "batch", "file", "{}\n{}")))
	f.Add([]byte(form("file", "{}", "purpose", "batch")))
	f.Add([]byte("--b\r\nContent-Disposition: form-data; name=\"file\"; filename*=utf-8''%ff\r\n\r\n"))
	jobs := newFakeJobs()
	gateway := New(Options{Source: staticSource{testSnapshot()}, Jobs: jobs, Limits: Limits{FileBytes: 4096}})
	f.Fuzz(func(t *testing.T, body []byte) {
		before := len(jobs.order)
		call := httptest.NewRequest(http.MethodPost, "/v1/files", bytes.NewReader(body))
		call.Header.Set("Authorization", "Bearer "+testKey)
		call.Header.Set("Content-Type", formType)
		recorder := httptest.NewRecorder()
		gateway.ServeHTTP(recorder, call)
		if recorder.Code == http.StatusOK {
			assert.Equal(t, len(jobs.order), before+1)
			kept := jobs.specs[jobs.order[before]]
			assert.Assert(t, kept.Bytes <= 4096 && len(kept.Name) <= maximumFileName, "%+v", kept)
			return
		}
		failed := envelopeOf(t, recorder.Body.String())
		assert.Assert(t, failed.Code == failure.CodeInvalidRequest || failed.Code == failure.CodeBodyTooLarge, recorder.Body.String())
		assert.Equal(t, failed.NotRun, "true")
		assert.Equal(t, len(jobs.order), before)
	})
}
