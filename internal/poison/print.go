// Package poison recognises requests that crash the runners that run them, though they come again under other ids and at other
// nodes. It remembers which runners ended under which requests, decides from that which requests are to be run no more, and
// merges what nodes learned apart. Times are arguments; the package makes no calls.
package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"mallowlatch.example/mallowlatch/internal/work"
)

// Print is a keyed hash of what a runner is asked to do. It is the same for each coming of a request and tells nothing of its text.
type Print string

// printBytes of the hash are kept: with as many prints as a Book holds, one request in 10^35 is taken for another.
const printBytes = 16

// Key is what prints are made with. All nodes of a site have the same, also after a restart.
type Key []byte

// Of returns the print of a request: of its method, host, path and body. Its id and the time it has are new with each coming.
func (k Key) Of(request *work.Request) Print {
	mac := hmac.New(sha256.New, k)
	for _, part := range []string{request.Method, request.Host, request.Path} {
		// The lengths keep two requests apart whose parts join to the same bytes.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = mac.Write(length[:])
		_, _ = mac.Write([]byte(part))
	}
	_, _ = mac.Write(request.Body)
	return Print(hex.EncodeToString(mac.Sum(nil)[:printBytes]))
}
