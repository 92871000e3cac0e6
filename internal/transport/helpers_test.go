package transport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	echoCall   = "/test.Echo/Say"
	streamCall = "/test.Echo/Count"
)

type encoding struct{}

func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	return proto.Marshal(message.(proto.Message))
}

func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return proto.Unmarshal(data, message.(proto.Message))
}

// echo is a service with one unary and one streaming call.
type echo struct {
	say   func(ctx context.Context, text string) (string, error)
	count func(stream drpc.Stream) error
}

type echoServer interface {
	Say(context.Context, *wrapperspb.StringValue) (*wrapperspb.StringValue, error)
	Count(*wrapperspb.StringValue, drpc.Stream) error
}

func (e *echo) Say(ctx context.Context, in *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
	answer, err := e.say(ctx, in.Value)
	return wrapperspb.String(answer), err
}

func (e *echo) Count(_ *wrapperspb.StringValue, stream drpc.Stream) error { return e.count(stream) }

type description struct{}

func (description) NumMethods() int { return 2 }

func (description) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if index == 0 {
		return echoCall, encoding{}, func(server any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return server.(echoServer).Say(ctx, in1.(*wrapperspb.StringValue))
		}, echoServer.Say, true
	}
	return streamCall, encoding{}, func(server any, _ context.Context, in1, in2 any) (drpc.Message, error) {
		return nil, server.(echoServer).Count(in1.(*wrapperspb.StringValue), in2.(drpc.Stream))
	}, echoServer.Count, true
}

func say(ctx context.Context, conn drpc.Conn, text string) (string, error) {
	out := new(wrapperspb.StringValue)
	err := conn.Invoke(ctx, echoCall, encoding{}, wrapperspb.String(text), out)
	return out.Value, err
}

func serve(t *testing.T, service *echo, options transport.ServerOptions) (*transport.Server, string) {
	t.Helper()
	if service.say == nil {
		service.say = func(_ context.Context, text string) (string, error) { return text, nil }
	}
	server := transport.NewServer(options)
	assert.NilError(t, server.Register(service, description{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
		assert.NilError(t, <-done)
	})
	return server, listener.Addr().String()
}

func connect(t *testing.T, address string, options transport.PoolOptions) drpc.Conn {
	t.Helper()
	options.Lookup = func(node ident.Node) (string, bool) { return address, node != "nobody" }
	pool := transport.NewPool(options)
	t.Cleanup(func() { assert.NilError(t, pool.Close()) })
	conn, err := pool.Conn(context.Background(), "b")
	assert.NilError(t, err)
	return conn
}

func timeoutContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// authority is a certificate authority for test nodes.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(encoded)
	assert.NilError(t, err)
	return &authority{certificate: certificate, key: key, serial: 1}
}

func (a *authority) write(t *testing.T, directory, node string) transport.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: node}, DNSNames: []string{node},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := transport.Files{
		Certificate: filepath.Join(directory, node+".crt"),
		Key:         filepath.Join(directory, node+".key"),
		Authority:   filepath.Join(directory, node+"-ca.crt"),
	}
	writePEM(t, files.Key, "EC PRIVATE KEY", encodedKey)
	writePEM(t, files.Certificate, "CERTIFICATE", encoded)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, bytes []byte) {
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
}

func (a *authority) credentials(t *testing.T, node string) *transport.Credentials {
	credentials, err := transport.LoadCredentials(a.write(t, t.TempDir(), node), zerolog.Nop())
	assert.NilError(t, err)
	return credentials
}

func failing(error) func(context.Context, string) (string, error) {
	return func(context.Context, string) (string, error) {
		return "", fmt.Errorf("handler: %w", errors.ErrUnsupported)
	}
}
