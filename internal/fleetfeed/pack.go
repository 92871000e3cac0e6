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

// packFrom is the length of a list from which on it goes packed: when all nodes of a large fleet start at once, their lists together take
// longer on the links of the few that have read them than anything else.
const packFrom = 100

// pack returns a list in the form of Snapshot.Packed: JSON in the DEFLATE format. The error wraps jsoncall.ErrDamaged.
func pack(runners []work.Runner) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	if err := json.NewEncoder(writer).Encode(runners); err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("%w: packing a list: %w", jsoncall.ErrDamaged, err)
	}
	return packed.Bytes(), nil
}

// unpack returns the list. The error wraps jsoncall.ErrDamaged.
func unpack(packed []byte) ([]work.Runner, error) {
	content, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		return nil, fmt.Errorf("%w: unpacking a list: %w", jsoncall.ErrDamaged, err)
	}
	var runners []work.Runner
	if err := json.Unmarshal(content, &runners); err != nil {
		return nil, fmt.Errorf("%w: unpacking a list: %w", jsoncall.ErrDamaged, err)
	}
	return runners, nil
}
