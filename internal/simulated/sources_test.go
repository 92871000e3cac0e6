package simulated

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSimulatedTimeIsEnteredHere looks through all tests: one that enters simulated time by itself may end with the race detector.
func TestSimulatedTimeIsEnteredHere(t *testing.T) {
	entered := 0
	assert.NilError(t, filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") || filepath.Base(path) == "sources_test.go" {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		assert.Check(t, !strings.Contains(string(content), "synctest.Test("), "%s: use simulated.Test", path)
		if strings.Contains(string(content), "simulated.Test(") {
			entered++
		}
		return nil
	}))
	assert.Assert(t, entered > 15, "%d files", entered)
}
