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

	"mallowlatch.example/mallowlatch/internal/work"
)

// Fingerprint is the fingerprint of a request: a keyed hash of what a runner is asked to do. It is the same each time the request is submitted
// and does not disclose its text.
type Fingerprint string

// fingerprintBytes is the length of the truncated hash. With the fingerprints of a full Book, one request in 10^35 is mistaken for
// another.
const fingerprintBytes = 16

// Key is the key of the hash. All nodes of a site have the same key, also after a restart.
type Key []byte

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
