package fleetfeed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/work"
)

// compressMinRunners is the list length from which a list is sent compressed. When all nodes of a large fleet start
// at once, sending the lists takes most of the time on the links of the few nodes that have read them.
const compressMinRunners = 100

// compress returns a list in the form of Snapshot.Packed: JSON compressed with DEFLATE. The error wraps
// jsoncall.ErrDamaged.
func compress(runners []work.Runner) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	if err := json.NewEncoder(writer).Encode(runners); err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	return compressed.Bytes(), nil
}

// maxUnpackedBytes bounds a list: several times one of 20,000 runners, whose entries take some 300 bytes each.
const maxUnpackedBytes = 32 << 20

// decompress returns the list. The error wraps jsoncall.ErrDamaged.
func decompress(compressed []byte) ([]work.Runner, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: decompressing a runner list: %w", jsoncall.ErrDamaged, err)
	}
	if len(content) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: a runner list of more than %d bytes", jsoncall.ErrDamaged, maxUnpackedBytes)
	}
	var runners []work.Runner
	if err := json.Unmarshal(content, &runners); err != nil {
		return nil, fmt.Errorf("%w: decompressing a runner list: %w", jsoncall.ErrDamaged, err)
	}
	return runners, nil
}
