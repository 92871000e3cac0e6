// Package tlsreload serves certificates from files and takes up changed files without a restart. It polls the content
// of the files, which works on every file system and through the symbolic-link swaps of secret managers.
package tlsreload

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of loading certificates.
const (
	// ErrUnreadable means that a file could not be read.
	ErrUnreadable = failure.Kind("certificate: file unreadable")
	// ErrMismatch means that the certificate and the key are not PEM or do not belong together.
	ErrMismatch = failure.Kind("certificate: certificate and key unusable")
	// ErrNoAuthority means that the file of authorities holds no certificate.
	ErrNoAuthority = failure.Kind("certificate: no authority in file")
	// ErrExpired means that the certificate's validity has ended or not begun.
	ErrExpired = failure.Kind("certificate: not valid now")
)

// warningBefore is how long before its end a certificate is warned about.
const warningBefore = 7 * 24 * time.Hour

// Files names the PEM files of one listener.
type Files struct {
	Certificate, Key string
	// Authorities signs the certificates of the other side. Empty means that none is asked for.
	Authorities string
}

// loaded is one consistent reading of the files.
type loaded struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	digest      [sha256.Size]byte
}

// Reloader holds the newest usable certificate of a set of files. It is safe for concurrent use.
type Reloader struct {
	files   Files
	logger  zerolog.Logger
	now     func() time.Time
	current atomic.Pointer[loaded]
	// refused is the digest of the last files that could not be used, and refusals how many polls in a row saw it.
	refused  [sha256.Size]byte
	refusals int
	// warned is the digest of the certificate last warned about.
	warned [sha256.Size]byte
}

// New loads the files. A node with unusable certificates must not start, so the first load has to succeed.
func New(files Files, logger zerolog.Logger, now func() time.Time) (*Reloader, error) {
	reloader := &Reloader{files: files, logger: logger, now: now}
	content, err := files.read()
	if err != nil {
		return nil, err
	}
	first, err := content.parse(now())
	if err != nil {
		return nil, err
	}
	reloader.current.Store(first)
	reloader.warnOfExpiry(first)
	return reloader, nil
}

// Run polls the files until ctx ends.
func (r *Reloader) Run(ctx context.Context, period time.Duration) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Poll()
		}
	}
}

// Poll takes up the files if they changed and can be used; otherwise the certificate in use stays. It must not be
// called concurrently with itself.
func (r *Reloader) Poll() {
	content, err := r.files.read()
	if err != nil {
		r.refuse(sha256.Sum256([]byte(err.Error())), err)
		return
	}
	digest := content.digest()
	if digest == r.current.Load().digest {
		r.refusals = 0
		r.warnOfExpiry(r.current.Load())
		return
	}
	next, err := content.parse(r.now())
	if err != nil {
		r.refuse(digest, err)
		return
	}
	r.current.Store(next)
	event.CertificateLoaded.Log(r.logger).Str("file", r.files.Certificate).Time("not_after", next.certificate.Leaf.NotAfter).Send()
	r.warnOfExpiry(next)
}

// refuse logs a fault once, when a second poll finds it: the first may have seen half of a change.
func (r *Reloader) refuse(digest [sha256.Size]byte, err error) {
	if r.refused != digest {
		r.refused, r.refusals = digest, 0
	}
	r.refusals++
	if r.refusals == refusalsBeforeLog {
		event.CertificateRefused.Log(r.logger).Str("file", r.files.Certificate).Err(err).Send()
	}
}

// refusalsBeforeLog is how many polls in a row must find the same fault before it is logged.
const refusalsBeforeLog = 2

func (r *Reloader) warnOfExpiry(held *loaded) {
	end := held.certificate.Leaf.NotAfter
	if r.now().Add(warningBefore).Before(end) || r.warned == held.digest {
		return
	}
	r.warned = held.digest
	event.CertificateExpires.Log(r.logger).Str("file", r.files.Certificate).Time("not_after", end).Send()
}

// Protocols of the HTTP listeners, for ServerConfig.
const (
	ProtocolHTTP2 = "h2"
	ProtocolHTTP1 = "http/1.1"
)

// serverState is the configuration made from one reading of the files. It is kept between handshakes, so that sessions
// resume, and dropped with the reading, so that none outlives its certificate or authorities.
type serverState struct {
	held   *loaded
	config *tls.Config
}

// ServerConfig returns a configuration whose handshakes use the newest certificate and authorities. Where authorities
// are given, the other side must present a certificate signed by one of them.
func (r *Reloader) ServerConfig(protocols ...string) *tls.Config {
	var state atomic.Pointer[serverState]
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := r.current.Load()
			known := state.Load()
			if known == nil || known.held != held {
				known = &serverState{held: held, config: held.serverConfig(protocols)}
				state.Store(known)
			}
			return known.config, nil
		},
	}
}

func (l *loaded) serverConfig(protocols []string) *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{l.certificate},
		NextProtos:   protocols,
	}
	if l.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = l.authorities
	}
	return config
}

// Current returns the newest usable certificate and authorities; the authorities are nil if no file names any.
func (r *Reloader) Current() (tls.Certificate, *x509.CertPool) {
	held := r.current.Load()
	return held.certificate, held.authorities
}

// content is the bytes of the files.
type content struct{ certificate, key, authorities []byte }

func (f Files) read() (content, error) {
	var read content
	var err error
	if read.certificate, err = readFile(f.Certificate); err != nil {
		return content{}, err
	}
	if read.key, err = readFile(f.Key); err != nil {
		return content{}, err
	}
	if f.Authorities == "" {
		return read, nil
	}
	if read.authorities, err = readFile(f.Authorities); err != nil {
		return content{}, err
	}
	return read, nil
}

func readFile(path string) ([]byte, error) {
	read, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return read, nil
}

func (c content) digest() [sha256.Size]byte {
	parts := [][]byte{c.certificate, c.key, c.authorities}
	sums := make([][]byte, 0, len(parts))
	for _, part := range parts {
		sum := sha256.Sum256(part)
		sums = append(sums, sum[:])
	}
	return sha256.Sum256(bytes.Join(sums, nil))
}

func (c content) parse(now time.Time) (*loaded, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	if certificate.Leaf == nil {
		return nil, fmt.Errorf("%w: no leaf certificate", ErrMismatch)
	}
	if now.Before(certificate.Leaf.NotBefore) || now.After(certificate.Leaf.NotAfter) {
		return nil, fmt.Errorf("%w: from %s to %s", ErrExpired, certificate.Leaf.NotBefore, certificate.Leaf.NotAfter)
	}
	parsed := &loaded{certificate: certificate, digest: c.digest()}
	if c.authorities == nil {
		return parsed, nil
	}
	parsed.authorities = x509.NewCertPool()
	if !parsed.authorities.AppendCertsFromPEM(c.authorities) {
		return nil, ErrNoAuthority
	}
	return parsed, nil
}
