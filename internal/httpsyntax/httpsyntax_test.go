package httpsyntax_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/httpsyntax"
)

// TestPartsThatWouldEndARequestAreRefused guards against words of others that end a request and begin another one.
func TestPartsThatWouldEndARequestAreRefused(t *testing.T) {
	for _, ending := range []string{"\r\n", "\n", "\r", "\x00", "\x7f", " "} {
		assert.ErrorIs(t, httpsyntax.CheckMethod("PO"+ending+"ST"), httpsyntax.ErrMethod, "%q", ending)
		assert.ErrorIs(t, httpsyntax.CheckWritable("/a"+ending+"b"), httpsyntax.ErrTarget, "%q", ending)
		assert.ErrorIs(t, httpsyntax.CheckPath("/a"+ending+"b"), httpsyntax.ErrTarget, "%q", ending)
		assert.ErrorIs(t, httpsyntax.CheckHost("a"+ending+"b"), httpsyntax.ErrHost, "%q", ending)
		assert.ErrorIs(t, httpsyntax.CheckHeader("X"+ending+"Y", "a"), httpsyntax.ErrName, "%q", ending)
		assert.ErrorIs(t, httpsyntax.CheckID("a"+ending+"b"), httpsyntax.ErrValue, "%q", ending)
		if ending != " " {
			assert.ErrorIs(t, httpsyntax.CheckHeader("X", "a"+ending+"b"), httpsyntax.ErrValue, "%q", ending)
		}
	}
	for _, framing := range []string{"content-length", "Transfer-encoding", "HOST"} {
		assert.ErrorIs(t, httpsyntax.CheckFraming(framing), httpsyntax.ErrFraming)
	}
	for _, path := range []string{"", "a", "*", "/a#b", "/\u00e4", "/%zz"} {
		assert.ErrorIs(t, httpsyntax.CheckPath(path), httpsyntax.ErrTarget, "%q", path)
	}
}

func TestSoundPartsPass(t *testing.T) {
	assert.NilError(t, httpsyntax.CheckMethod("POST"))
	for _, path := range []string{"/", "/pule252/3/91c4?a=b&c=%20d", "/a;b=c,d/:e@f", "//a"} {
		assert.NilError(t, httpsyntax.CheckPath(path), "%q", path)
		assert.NilError(t, httpsyntax.CheckWritable(path), "%q", path)
	}
	assert.NilError(t, httpsyntax.CheckWritable("/\u00e4"), "what a client's own request line held is written as it came")
	assert.NilError(t, httpsyntax.CheckHost("nony24.example:80"))
	assert.NilError(t, httpsyntax.CheckHeader("X-Mallowlatch-Model", "m, with blanks\tand \u00e4"))
	assert.NilError(t, httpsyntax.CheckID("e5b2907c14da6f38"))
	assert.NilError(t, httpsyntax.CheckFraming("X-Host"))
}
