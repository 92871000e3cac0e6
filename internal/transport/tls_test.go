package transport_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/transport"
)

func noAddress(ident.Node) (string, bool) { return "", false }

func whoami(ctx context.Context, _ string) (string, error) {
	peer, _ := transport.Peer(ctx)
	return string(peer), nil
}

func TestMutualIdentity(t *testing.T) {
	signer := newAuthority(t)
	_, address := serve(t, &echo{say: whoami}, transport.ServerOptions{Credentials: signer.credentials(t, "b")})

	answer, err := say(timeoutContext(t), connect(t, address, transport.PoolOptions{Credentials: signer.credentials(t, "a")}), "")
	assert.NilError(t, err)
	assert.Equal(t, answer, "a")

	untrusted := newAuthority(t).credentials(t, "a")
	_, err = say(timeoutContext(t), connect(t, address, transport.PoolOptions{Credentials: untrusted}), "")
	assert.Check(t, errors.Is(err, transport.ErrIdentity), "%v", err)

	_, err = say(timeoutContext(t), connect(t, address, transport.PoolOptions{}), "")
	assert.Check(t, errors.Is(err, transport.ErrBroken), "%v", err)
}

func TestUnexpectedNodeAtAddressIsRejected(t *testing.T) {
	signer := newAuthority(t)
	_, address := serve(t, &echo{say: whoami}, transport.ServerOptions{Credentials: signer.credentials(t, "c")})
	options := transport.PoolOptions{Credentials: signer.credentials(t, "a")}
	_, err := say(timeoutContext(t), connect(t, address, options), "")
	assert.Check(t, errors.Is(err, transport.ErrIdentity), "%v", err)
	assert.Check(t, transport.NothingSent(err))

	options.Lookup = noAddress
	pool := transport.NewPool(options)
	seed, err := pool.ConnAddress(address)
	assert.NilError(t, err)
	answer, err := say(timeoutContext(t), seed, "")
	assert.NilError(t, err)
	assert.Equal(t, answer, "a")
	assert.NilError(t, pool.Close())
}

func TestPlainTCPOutsideLoopbackIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	assert.Check(t, errors.Is(transport.NewServer(transport.ServerOptions{}).Serve(listener), transport.ErrInsecure))
	_, err = say(timeoutContext(t), connect(t, "192.0.2.1:1", transport.PoolOptions{}), "")
	assert.Check(t, errors.Is(err, transport.ErrInsecure), "%v", err)
}

// TestCertificatesReload checks that replaced files are used for new connections and that invalid files are ignored.
func TestCertificatesReload(t *testing.T) {
	directory := t.TempDir()
	old, renewed := newAuthority(t), newAuthority(t)
	files := old.write(t, directory, "b")
	credentials, err := transport.LoadCredentials(files, zerolog.Nop())
	assert.NilError(t, err)
	_, address := serve(t, &echo{say: whoami}, transport.ServerOptions{Credentials: credentials})
	reaches := func(signer *authority) bool {
		_, failed := say(timeoutContext(t), connect(t, address, transport.PoolOptions{Credentials: signer.credentials(t, "a")}), "")
		return failed == nil
	}
	eventually := func(signer *authority) {
		for !reaches(signer) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	eventually(old)
	assert.NilError(t, os.WriteFile(files.Certificate, []byte("half"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	assert.Check(t, reaches(old))
	renewed.write(t, directory, "b")
	eventually(renewed)
	assert.Check(t, !reaches(old))
}

func TestLoadCredentialsRejectsInvalidFiles(t *testing.T) {
	files := newAuthority(t).write(t, t.TempDir(), "b")
	tests := map[string]func(*transport.Files){
		"no authority named": func(files *transport.Files) { files.Authority = "" },
		"no such file":       func(files *transport.Files) { files.Key += ".absent" },
		"not an authority":   func(files *transport.Files) { files.Authority = files.Key },
		"not a pair":         func(files *transport.Files) { files.Certificate = files.Authority },
	}
	for name, corrupt := range tests {
		corrupted := files
		corrupt(&corrupted)
		_, err := transport.LoadCredentials(corrupted, zerolog.Nop())
		assert.Check(t, errors.Is(err, transport.ErrCertificates), "%s: %v", name, err)
	}
}
