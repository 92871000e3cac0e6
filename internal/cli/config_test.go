package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestConfigCheck(t *testing.T) {
	folder := t.TempDir()
	good := filepath.Join(folder, "good.yaml")
	bad := filepath.Join(folder, "bad.yaml")
	content := "node: {id: a, zone: z, region: r}\nplatform: {kv_endpoints: [\"127.0.0.1:1\"], machine_list: \"127.0.0.1:2\"}\n"
	assert.NilError(t, os.WriteFile(good, []byte(content), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte(content+"jobs: {shards: many}\n"), 0o600))
	cases := []struct {
		name      string
		arguments []string
		code      int
		stdout    string
		stderr    string
	}{
		{"good file", []string{"config", "check", good}, ExitOK, ": ok", ""},
		{"bad file", []string{"config", "check", bad}, ExitInvalid, "", ":3: jobs.shards: bad value: \"many\" is not an integer"},
		{"bad flag", []string{"config", "check", good, "--jobs.shards=0"}, ExitInvalid, "", "--jobs.shards: jobs.shards: bad value"},
		{"no file", []string{"config", "check"}, ExitUsage, "", "config check"},
		{"absent file", []string{"config", "check", filepath.Join(folder, "none.yaml")}, ExitFailure, "", "settings: file unreadable"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			assert.Equal(t, Execute(testCase.arguments, &stdout, &stderr), testCase.code)
			assert.Assert(t, strings.Contains(stdout.String(), testCase.stdout), stdout.String())
			assert.Assert(t, strings.Contains(stderr.String(), testCase.stderr), stderr.String())
		})
	}
}
