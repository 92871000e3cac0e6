package sitesettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/sitesettings"
)

const validSettings = `
node: {name: "n", zone: "z", region: "r", data_folder: "", zones: ["z"]}
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3"}
store: {address: "127.0.0.1:4", value_bytes: 1048576, shortest_lease_ms: 1000}
limits: {memory_mb: 300, cores: 1, descriptors: 1000}
bounds: {drain_ms: 2000, grace_s: 8.5, configuration_ms: 2000, settle_ms: 1000, cancel_ms: 3000, heartbeat_ms: 1200, result_retention_s: 120, quota_overage: 0.1, lost_disks: 1}
`

func TestValidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	settings, err := sitesettings.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, settings.Bounds.Grace(), 8500*time.Millisecond)
	assert.Equal(t, settings.Bounds.Drain(), 2*time.Second)
	assert.Equal(t, settings.Bounds.Heartbeat(), 1200*time.Millisecond)
	assert.Equal(t, settings.Bounds.ResultRetention(), 2*time.Minute)
	assert.Equal(t, settings.Store.ShortestLease(), time.Second)
}

// TestInvalidSettingsNameTheField replaces one field of valid settings at a time.
func TestInvalidSettingsNameTheField(t *testing.T) {
	cases := []struct{ from, to, field string }{
		{`name: "n"`, `name: ""`, "node.name"},
		{`zone: "z"`, `zone: ""`, "node.zone"},
		{`address: "127.0.0.1:4"`, `address: ""`, "store.address"},
		{`address: "127.0.0.1:4"`, `address: "store:4"`, "store.address"},
		{`callers: "127.0.0.1:1"`, `callers: "here"`, "listen.callers"},
		{`ready: "127.0.0.1:2"`, `ready: "127.0.0.1"`, "listen.ready"},
		{`peers: "127.0.0.1:3"`, `peers: ""`, "listen.peers"},
		{`value_bytes: 1048576`, `value_bytes: 0`, "store.value_bytes"},
		{`memory_mb: 300`, `memory_mb: -1`, "limits.memory_mb"},
		{`grace_s: 8.5`, `grace_s: 0`, "bounds.grace_s"},
		{`heartbeat_ms: 1200`, `heartbeat_ms: 0`, "bounds.heartbeat_ms"},
		{`lost_disks: 1`, `lost_disks: -1`, "bounds.lost_disks"},
	}
	for _, c := range cases {
		changed := strings.Replace(validSettings, c.from, c.to, 1)
		assert.Assert(t, changed != validSettings, c.from)
		_, err := sitesettings.Parse([]byte(changed))
		assert.ErrorIs(t, err, sitesettings.ErrInvalid)
		assert.ErrorContains(t, err, c.field)
	}
}

func TestUnreadableSettings(t *testing.T) {
	for _, text := range []string{"", "node: [", validSettings + "\nsurprise: 1\n"} {
		_, err := sitesettings.Parse([]byte(text))
		assert.ErrorIs(t, err, sitesettings.ErrUnreadable, text)
	}
	_, err := sitesettings.Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, sitesettings.ErrUnreadable)
}
