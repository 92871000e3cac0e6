package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// reloadInterval is the least time between two looks at the certificate files.
const reloadInterval = time.Second

// Files names the PEM files of a node's credentials.
type Files struct {
	// Certificate holds the node's certificate, whose DNS names include the node's name, and its intermediates.
	Certificate string
	// Key holds the certificate's private key.
	Key string
	// Authority holds the certificates of the authorities that sign the nodes' certificates.
	Authority string
}

// Credentials are a node's certificate, key and authorities. The files are looked at again when a connection is made,
// so replaced files are in use for new connections without a restart; files that can't be used change nothing.
type Credentials struct {
	files  Files
	logger zerolog.Logger

	mutex   sync.Mutex
	checked time.Time
	stamp   [3]fileStamp
	current material
}

type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the files. The error wraps ErrCertificates.
func LoadCredentials(files Files, logger zerolog.Logger) (*Credentials, error) {
	stamp, err := files.stamp()
	if err != nil {
		return nil, err
	}
	current, err := files.load()
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, logger: logger, stamp: stamp, current: current}, nil
}

func (f Files) stamp() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for index, path := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, fmt.Errorf("%w: %w", ErrCertificates, err)
		}
		stamps[index] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (f Files) load() (material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, fmt.Errorf("%w: %w", ErrCertificates, err)
	}
	encoded, err := os.ReadFile(f.Authority)
	if err != nil {
		return material{}, fmt.Errorf("%w: %w", ErrCertificates, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(encoded) {
		return material{}, fmt.Errorf("%w: no certificate in %s", ErrCertificates, f.Authority)
	}
	return material{certificate: certificate, authorities: authorities}, nil
}

// material returns the credentials in use, after a look at the files.
func (c *Credentials) material() material {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if now.Sub(c.checked) < reloadInterval {
		return c.current
	}
	c.checked = now
	c.reload()
	return c.current
}

// reload takes changed files in use. The stamp is kept only on success, so half-written files are tried again.
func (c *Credentials) reload() {
	stamp, err := c.files.stamp()
	if err == nil && stamp == c.stamp {
		return
	}
	var loaded material
	if err == nil {
		loaded, err = c.files.load()
	}
	if err != nil {
		event.TransportReloadFailed.Log(c.logger).Err(err).Send()
		return
	}
	c.stamp = stamp
	c.current = loaded
	event.TransportReloaded.Log(c.logger).Send()
}

// serverConfig returns the configuration of a listener, which asks for the credentials anew on every handshake.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
			}, nil
		},
	}
}

// clientConfig returns the configuration of one connection to the node. An empty name accepts any node of the
// authorities, which is how seeds known by address only are reached.
func (c *Credentials) clientConfig(node ident.Node) *tls.Config {
	current := c.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		// Nodes are dialled by IP address, so the library's check of the host name can't apply. VerifyConnection does
		// the same check of the chain, then that of the node's name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, current.authorities, node)
		},
	}
}

func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool, node ident.Node) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: no certificate", ErrIdentity)
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	if node == "" {
		return nil
	}
	if err := leaf.VerifyHostname(string(node)); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return nil
}
