// Package poison detects requests that crash the runners that run them, also when they are submitted again under other ids or to other
// nodes. It identifies requests by a fingerprint, records which runners crashed while running which requests, decides which requests are
// refused and when items of batch jobs are retried, and merges the records of different nodes. Times are arguments; the package does no
// I/O.
package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"mallowlatch.example/mallowlatch/internal/work"
)

// Fingerprint is the fingerprint of a request, or of one part of prompts: a keyed hash of what a runner is asked to do. It is the same each
// time the request is submitted and does not disclose its text.
type Fingerprint string

// fingerprintBytes is the length of the truncated hash. With the fingerprints of a full Book, one request in 10^35 is mistaken for
// another.
const fingerprintBytes = 16

// Key is the key of the hash. All nodes of a site have the same key, also after a restart.
type Key []byte

// partLabel keeps the fingerprints of parts apart from those of requests.
const partLabel = "part\x00"

// OfParts returns the fingerprints of the parts of a prompt that other requests may share: all but the last one, each once. A part has the
// same fingerprint wherever it stands.
func (k Key) OfParts(prompt []work.Part) []Fingerprint {
	if len(prompt) < 2 {
		return nil
	}
	fingerprints := make([]Fingerprint, 0, len(prompt)-1)
	for _, part := range prompt[:len(prompt)-1] {
		mac := hmac.New(sha256.New, k)
		_, _ = mac.Write([]byte(partLabel + part.ID))
		fingerprint := Fingerprint(partPrefix + hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes]))
		if !slices.Contains(fingerprints, fingerprint) {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// partPrefix marks the fingerprints of parts.
const partPrefix = "part-"

// IsPart reports whether a fingerprint is that of a part.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// Of returns the fingerprint of a request, computed from its method, host, path and body. The id and the deadline are left out, because
// they differ each time the request is submitted.
func (k Key) Of(request *work.Request) Fingerprint {
	mac := hmac.New(sha256.New, k)
	for _, part := range []string{request.Method, request.Host, request.Path} {
		// The lengths distinguish requests whose concatenated parts are the same bytes.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = mac.Write(length[:])
		_, _ = mac.Write([]byte(part))
	}
	_, _ = mac.Write(request.Body)
	return Fingerprint(hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes]))
}
