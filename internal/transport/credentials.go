package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/tlsreload"
)

// reloadInterval is the minimum time between two checks of the certificate files.
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

// Credentials are a node's certificate, key and authorities. The files are checked again when a connection is made,
// so replaced files are used for new connections without a restart. Files that cannot be used are ignored, and the previous
// credentials stay in use.
type Credentials struct {
	mutex    sync.Mutex
	checked  time.Time
	reloader *tlsreload.Reloader
}

// LoadCredentials reads the files. The error wraps ErrCertificates.
func LoadCredentials(files Files, logger zerolog.Logger) (*Credentials, error) {
	if files.Authority == "" {
		return nil, fmt.Errorf("%w: no file of authorities", ErrCertificates)
	}
	reloader, err := tlsreload.New(tlsreload.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authorities: files.Authority,
	}, logger, time.Now)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificates, err)
	}
	return &Credentials{reloader: reloader}, nil
}

// current returns the credentials in use, after checking the files if reloadInterval has passed.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if now.Sub(c.checked) >= reloadInterval {
		c.checked = now
		c.reloader.Poll()
	}
	return c.reloader.Current()
}

// serverConfig returns the TLS configuration of a listener, which gets the current credentials on every handshake.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authorities,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of one connection to the node. An empty name accepts any node with a
// certificate signed by the authorities; it is used for seeds of which only the address is known.
func (c *Credentials) clientConfig(node ident.Node) *tls.Config {
	certificate, authorities := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// Nodes are dialed by IP address, so the standard host name check does not apply. VerifyConnection verifies the
		// certificate chain and then the node's name instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, authorities, node)
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
