package site_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/site"
)

// TestLogsNeverBlock writes to a pipe that nobody reads.
func TestLogsNeverBlock(t *testing.T) {
	_, blocked := io.Pipe()
	second := int64(0)
	writer := site.NewLogWriter(blocked, func() time.Time { second++; return time.Unix(second, 0) })
	for range 5000 {
		count, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, count, 5)
	}
	writer.Close()
	_ = blocked.Close()
}

// TestLogsAreLimitedAndDroppedLinesCounted writes more lines than the limit of a second, then one line in the next
// second.
func TestLogsAreLimitedAndDroppedLinesCounted(t *testing.T) {
	var written bytes.Buffer
	now := time.Unix(1, 0)
	writer := site.NewLogWriter(&written, func() time.Time { return now })
	for number := range 500 {
		_, _ = fmt.Fprintf(writer, "line %d\n", number)
	}
	_, _ = writer.WriteLevel(zerolog.InfoLevel, []byte("success\n"))
	_, _ = writer.WriteLevel(zerolog.WarnLevel, []byte("failure\n"))
	now = time.Unix(2, 0)
	_, _ = writer.Write([]byte("after\n"))
	writer.Close()
	text := written.String()
	lines := strings.Count(text, "line ")
	assert.Assert(t, lines > 0 && lines < 500, "%d lines", lines)
	assert.Assert(t, strings.Contains(text, "failure\n"), "a line of a failure was dropped")
	assert.Assert(t, !strings.Contains(text, "success"))
	reported := 0
	for _, found := range regexp.MustCompile(`log_lines_dropped","count":(\d+)`).FindAllStringSubmatch(text, -1) {
		count, err := strconv.Atoi(found[1])
		assert.NilError(t, err)
		reported += count
	}
	assert.Equal(t, reported, 501-lines)
	assert.Assert(t, strings.HasSuffix(text, "after\n"))
}
