package jobstore

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// FuzzLine feeds any line of an input file, and the same bytes as an engine's answer: each ends in one line of JSON.
func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"stock"}}`))
	f.Add([]byte("{\"custom_id\":\"\u2028\\ud800\",\"body\":null}"))
	f.Add([]byte("\xff{}"))
	f.Add([]byte{})
	f.Add([]byte("{\"a\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		line, service, refusal := parseLine(text, inference.ChatCompletions)
		if refusal == nil && (line.CustomID == "" || service == "") {
			t.Fatalf("accepted %q", text)
		}
		ended := renderError("batch_1", 7, line.CustomID, invalidLine("no"))
		answered := renderResult("batch_1", &pb.CompletedItem{Index: 7, CustomId: line.CustomID, HttpStatus: 200, Body: text})
		if answered.GetFailed() == json.Valid(text) {
			t.Fatalf("answer %q, failed: %v", text, answered.GetFailed())
		}
		failed := renderResult("batch_1", &pb.CompletedItem{Index: 7, CustomId: line.CustomID, Body: text})
		for _, rendered := range [][]byte{ended, answered.GetLine(), failed.GetLine()} {
			if !json.Valid(rendered) || bytes.ContainsRune(rendered, '\n') {
				t.Fatalf("rendered %q", rendered)
			}
		}
	})
}

// BenchmarkRenderResponse measures what the leader does with the answer of one item.
func BenchmarkRenderResponse(b *testing.B) {
	body := []byte(`{"answer":"` + strings.Repeat("0", 800) + `"}`)
	b.ReportAllocs()
	for b.Loop() {
		_, valid := renderResponse("batch_1", 7, "item-7", 200, body)
		assert.Assert(b, valid)
	}
}

// An answer without a body arrives as nil, which would be encoded as null.
func TestAnAnswerWithoutABodyIsAFailure(t *testing.T) {
	answered := renderResult("batch_1", &pb.CompletedItem{Index: 7, CustomId: "a", HttpStatus: 200})
	assert.Assert(t, answered.GetFailed())
	assert.Assert(t, strings.Contains(string(answered.GetLine()), "backend_failed"))
}
