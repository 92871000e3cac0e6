package tlsreload

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// issue writes a new self-signed certificate that names itself, and returns it as an authority.
func issue(t *testing.T, files Files, name string, validFor time.Duration) []byte {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validFor),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	chain := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	write(t, files.Certificate, chain)
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}))
	return chain
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, content, 0o600))
}

// patience bounds a handshake; no verdict depends on how long it took.
const patience = 10 * time.Second

func newFiles(t *testing.T) Files {
	folder := t.TempDir()
	return Files{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
}

// handshake returns the name the server presents, or its error.
func handshake(server *tls.Config, client *tls.Config) (string, error) {
	near, far := net.Pipe()
	defer near.Close()
	// A pipe has no buffer: where both ends write at once, as a resumed session may, only the deadline ends it.
	_ = near.SetDeadline(time.Now().Add(patience))
	_ = far.SetDeadline(time.Now().Add(patience))
	go func() {
		defer far.Close()
		_ = tls.Server(far, server).Handshake()
	}()
	connection := tls.Client(near, client)
	if err := connection.Handshake(); err != nil {
		return "", err
	}
	// With TLS 1.3 the server judges the client's certificate after the client's handshake has ended.
	if _, err := connection.Read(make([]byte, 1)); err != nil && strings.Contains(err.Error(), "certificate") {
		return "", err
	}
	return connection.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestChangedFilesAreServedWithoutRestart(t *testing.T) {
	files := newFiles(t)
	issue(t, files, "first", 24*time.Hour)
	var logged bytes.Buffer
	reloader, err := New(files, zerolog.New(&logged), time.Now)
	assert.NilError(t, err)
	server := reloader.ServerConfig()
	client := &tls.Config{InsecureSkipVerify: true}
	name, err := handshake(server, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "first")

	write(t, files.Key, []byte("half of a change"))
	for range 3 {
		reloader.Poll()
	}
	name, err = handshake(server, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "first", "an unusable change must leave the old certificate in use")
	assert.Equal(t, strings.Count(logged.String(), "certificate_refused"), 1, "%s", &logged)

	issue(t, files, "second", 24*time.Hour)
	reloader.Poll()
	name, err = handshake(server, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "second")

	issue(t, files, "expired", -time.Minute)
	reloader.Poll()
	name, err = handshake(server, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "second", "an expired certificate must not replace a good one")
	assert.Equal(t, strings.Count(logged.String(), "certificate_expires_soon"), 2, "%s", &logged)
}

func TestChangedAuthoritiesAreAskedForWithoutRestart(t *testing.T) {
	files, clientFiles := newFiles(t), newFiles(t)
	files.Authorities = filepath.Join(t.TempDir(), "ca.pem")
	issue(t, files, "server", 24*time.Hour)
	write(t, files.Authorities, issue(t, clientFiles, "client", 24*time.Hour))
	reloader, err := New(files, zerolog.Nop(), time.Now)
	assert.NilError(t, err)
	server := reloader.ServerConfig()
	pair, err := tls.LoadX509KeyPair(clientFiles.Certificate, clientFiles.Key)
	assert.NilError(t, err)
	trusted := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}, ClientSessionCache: tls.NewLRUClientSessionCache(1)}
	_, err = handshake(server, trusted)
	assert.NilError(t, err)
	_, err = handshake(server, &tls.Config{InsecureSkipVerify: true})
	assert.ErrorContains(t, err, "certificate required")

	write(t, files.Authorities, issue(t, newFiles(t), "another", 24*time.Hour))
	reloader.Poll()
	_, err = handshake(server, trusted)
	assert.ErrorContains(t, err, "certificate", "a resumed session must not outlive its authority")
}

func TestUnusableFilesAreNamed(t *testing.T) {
	files := newFiles(t)
	_, err := New(files, zerolog.Nop(), time.Now)
	assert.ErrorIs(t, err, ErrUnreadable)
	issue(t, files, "old", -time.Minute)
	_, err = New(files, zerolog.Nop(), time.Now)
	assert.ErrorIs(t, err, ErrExpired)
	issue(t, files, "good", time.Hour)
	files.Authorities = files.Key
	_, err = New(files, zerolog.Nop(), time.Now)
	assert.ErrorIs(t, err, ErrNoAuthority)
	write(t, files.Key, []byte("x"))
	_, err = New(files, zerolog.Nop(), time.Now)
	assert.ErrorIs(t, err, ErrMismatch)
}
