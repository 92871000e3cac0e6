// Package keyhash holds the hash that stands for an API key wherever keys are compared, kept, logged or passed on, so that the key
// itself stays with its caller.
package keyhash

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrForm means that a text is not an encoded Digest.
const ErrForm = failure.Kind("key hash: not a hash of a key")

// shortBytes of a digest tell keys apart in a log.
const shortBytes = 4

// Digest is the SHA-256 of a key. Keys are long and random, so that a slow hash would add nothing against guessing.
type Digest [sha256.Size]byte

// Of returns the digest of a key.
func Of(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the beginning of the digest in hexadecimal, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Its error wraps ErrForm.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(decoded) != len(d) {
		return fmt.Errorf("%w: %d bytes of text", ErrForm, len(text))
	}
	copy(d[:], decoded)
	return nil
}
