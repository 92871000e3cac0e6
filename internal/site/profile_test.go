package site_test

import (
	"io"
	"os"
	"path/filepath"
	"runtime/pprof"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/site"
)

// TestProfileIsWrittenOnce checks that a profile is refused while another one is recorded, and that an early stop leaves a
// complete file.
func TestProfileIsWrittenOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cpu.pprof")
	assert.NilError(t, pprof.StartCPUProfile(io.Discard))
	err := site.WriteCPUProfile(path, time.Minute, nil)
	pprof.StopCPUProfile()
	assert.ErrorContains(t, err, "starting the profile")

	stop := make(chan struct{})
	close(stop)
	assert.NilError(t, site.WriteCPUProfile(path, time.Minute, stop))
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, len(content) > 0)
}
