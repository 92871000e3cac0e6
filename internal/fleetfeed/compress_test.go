package fleetfeed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestUnpackedListIsBounded guards against a packed list that fills the memory of the node that unpacks it. A list of 20,000 runners passes.
func TestUnpackedListIsBounded(t *testing.T) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	assert.NilError(t, err)
	blank := bytes.Repeat([]byte(" "), 1<<20)
	for range 2 * maxUnpackedBytes / len(blank) {
		_, err := writer.Write(blank)
		assert.NilError(t, err)
	}
	_, err = writer.Write([]byte("[]"))
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	_, err = decompress(packed.Bytes())
	assert.ErrorIs(t, err, jsoncall.ErrDamaged)

	var runners []work.Runner
	for index := range 20_000 {
		runners = append(runners, work.Runner{
			ID: ident.Incarnation(fmt.Sprintf("i-%016x@1796386656476", index)), Service: "service-of-this-runner", Address: "10.128.100.100:48080",
			Zone: "zone-of-this-runner", Slots: 16, Version: "v1.22.333", Registered: int64(index) << 20,
		})
	}
	content, err := compress(runners)
	assert.NilError(t, err)
	unpacked, err := decompress(content)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, runners)
}
