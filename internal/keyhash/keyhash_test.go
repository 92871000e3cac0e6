package keyhash_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/keyhash"
)

func TestDigestComesBackFromItsText(t *testing.T) {
	digest := keyhash.Of("a key")
	encoded, err := json.Marshal(digest)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(encoded), "a key"))
	var decoded keyhash.Digest
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.Equal(t, decoded, digest)
}

func TestTextOfAnotherLengthIsNoDigest(t *testing.T) {
	var decoded keyhash.Digest
	for _, text := range []string{``, `AAAA`, `not base64!`, strings.Repeat("A", 44)} {
		assert.ErrorIs(t, decoded.UnmarshalText([]byte(text)), keyhash.ErrForm)
	}
}
