// Package jsoncall carries the messages of calls between nodes as JSON, so that small protocols need no generated code.
package jsoncall

import (
	"encoding/json"
	"fmt"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrDamaged means that a message could not be encoded or decoded.
const ErrDamaged = failure.Kind("call between nodes: damaged message")

// Encoding implements drpc.Encoding.
type Encoding struct{}

// Marshal implements drpc.Encoding. The error wraps ErrDamaged.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: encoding %T: %w", ErrDamaged, message, err)
	}
	return encoded, nil
}

// Unmarshal implements drpc.Encoding. The error wraps ErrDamaged.
func (Encoding) Unmarshal(buffer []byte, message drpc.Message) error {
	if err := json.Unmarshal(buffer, message); err != nil {
		return fmt.Errorf("%w: decoding %T: %w", ErrDamaged, message, err)
	}
	return nil
}
