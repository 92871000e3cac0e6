package jobstore

import (
	"bytes"
	"encoding/json"
	"testing"

	"mallowlatch.example/mallowlatch/internal/inference"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// FuzzLine feeds any line of an input file, and the same bytes as an engine's answer: each ends in one line of JSON.
func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"stock"}}`))
	f.Add([]byte("{\"custom_id\":\"\u2028\\ud800\",\"body\":null}"))
	f.Add([]byte("\xff{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		line, service, refusal := parseLine(text, inference.ChatCompletions)
		if refusal == nil && (line.CustomID == "" || service == "") {
			t.Fatalf("accepted %q", text)
		}
		ended := renderError("batch_1", 7, line.CustomID, invalidLine("no"))
		answered := renderResult("batch_1", &pb.CompletedItem{Index: 7, CustomId: line.CustomID, HttpStatus: 200, Body: text})
		failed := renderResult("batch_1", &pb.CompletedItem{Index: 7, CustomId: line.CustomID, Body: text})
		for _, rendered := range [][]byte{ended, answered.GetLine(), failed.GetLine()} {
			if !json.Valid(rendered) || bytes.ContainsRune(rendered, '\n') {
				t.Fatalf("rendered %q", rendered)
			}
		}
	})
}
