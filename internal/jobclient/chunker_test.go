package jobclient

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestChunksKeepEveryByteAndLine cuts any content, however the reader hands it out.
func TestChunksKeepEveryByteAndLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const target, limit = 8, 32
		content := strings.Join(rapid.SliceOfN(rapid.StringOfN(rapid.SampledFrom([]rune("xy\n")), 0, 3*limit, -1), 0, 6).Draw(t, "content"), rapid.SampledFrom([]string{"", "\n"}).Draw(t, "between"))
		reader := io.Reader(strings.NewReader(content))
		switch rapid.IntRange(0, 2).Draw(t, "reader") {
		case 1:
			reader = iotest.OneByteReader(reader)
		case 2:
			reader = iotest.DataErrReader(reader)
		}
		cutter := &chunker{reader: reader, target: target, limit: limit}
		checkChunks(t, cutter, content, limit)
	})
}

func checkChunks(t *rapid.T, cutter *chunker, content string, limit int) {
	var joined strings.Builder
	lines, previous := 0, 0
	for {
		piece, err := cutter.next(previous)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || len(piece.data) == 0 || len(piece.data) > limit {
			t.Fatalf("chunk of %d bytes: %v", len(piece.data), err)
		}
		whole := joined.Len()+len(piece.data) == len(content) || piece.data[len(piece.data)-1] == '\n'
		if whole != (piece.lines > 0) || !piece.fragment && !whole {
			t.Fatalf("chunk %q (%+v) after %q", piece.data, piece, joined.String())
		}
		joined.Write(piece.data)
		lines += int(piece.lines)
		previous = len(piece.data)
	}
	expected := strings.Count(content, "\n")
	if content != "" && !strings.HasSuffix(content, "\n") {
		expected++
	}
	if joined.String() != content || lines != expected {
		t.Fatalf("%q became %q in %d lines", content, joined.String(), lines)
	}
}
