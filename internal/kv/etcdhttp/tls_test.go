package etcdhttp_test

import (
	"crypto/tls"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/lab/authority"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/tlsreload"
)

func newAuthority(t *testing.T) *authority.Authority {
	created, err := authority.New("test")
	assert.NilError(t, err)
	return created
}

// writeClient writes the files of a client whose certificate one authority signed and which trusts another.
func writeClient(t *testing.T, files tlsreload.Files, signer, trusted *authority.Authority) {
	pair, err := signer.Issue("client", net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	for path, content := range map[string][]byte{
		files.Certificate: pair.Certificate, files.Key: pair.Key, files.Authorities: authority.Bundle(trusted),
	} {
		assert.NilError(t, os.WriteFile(path, content, 0o600))
	}
}

// serveTLS serves a stand-in at 127.0.0.1 with a certificate for the address given, and asks for client certificates.
func serveTLS(t *testing.T, signer *authority.Authority, named net.IP) string {
	pair, err := signer.Issue("service", named)
	assert.NilError(t, err)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(kvsim.New(1).Handler())
	server.TLS = &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority.Pool(signer),
	}
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

func TestServiceOverTLS(t *testing.T) {
	fleet, foreign := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	files := tlsreload.Files{
		Certificate: filepath.Join(folder, "cert"), Key: filepath.Join(folder, "key"), Authorities: filepath.Join(folder, "ca"),
	}
	writeClient(t, files, foreign, fleet)
	reloader, err := tlsreload.New(files, zerolog.Nop(), time.Now)
	assert.NilError(t, err)
	connect := func(url string) kv.Store {
		store, err := etcdhttp.New([]string{url}, etcdhttp.WithTLS(reloader.ClientConfig))
		assert.NilError(t, err)
		return store
	}
	url := serveTLS(t, fleet, net.IPv4(127, 0, 0, 1))
	commit := func(store kv.Store) error {
		_, err := store.Commit(testContext(t), nil, []kv.Write{{Key: "a", Value: []byte("1")}})
		return err
	}
	store := connect(url)
	assert.Assert(t, commit(store) != nil, "a client of another authority was served")

	writeClient(t, files, fleet, fleet)
	reloader.Poll()
	assert.NilError(t, commit(store), "the replaced certificate is in use without a restart")
	assert.ErrorIs(t, commit(connect(serveTLS(t, fleet, net.IPv4(127, 0, 0, 9)))), kv.ErrUnavailable, "a certificate of another address")
	assert.ErrorIs(t, commit(connect(serveTLS(t, foreign, net.IPv4(127, 0, 0, 1)))), kv.ErrUnavailable, "a service of another authority")
}
