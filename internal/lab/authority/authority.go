// Package authority signs the certificates of a lab fleet.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

const (
	// validity is that of every certificate; it begins clockSkew ago.
	validity  = 24 * time.Hour
	clockSkew = time.Hour
	// serialBits is the length of a random serial number.
	serialBits = 64
)

// Authority is a certificate authority that lives in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New makes an authority.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("key of authority %s: %w", name, err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("certificate of authority %s: %w", name, err)
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, fmt.Errorf("certificate of authority %s: %w", name, err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// Certificate returns the authority's own certificate.
func (a *Authority) Certificate() *x509.Certificate { return a.certificate }

// Pair is a certificate and its key, PEM-encoded.
type Pair struct {
	Certificate, Key []byte
}

// Issue signs a certificate by which a node serves its name and IP address and calls other nodes.
func (a *Authority) Issue(node string, address net.IP) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("key of %s: %w", node, err)
	}
	template, err := newTemplate(node)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{node}
	template.IPAddresses = []net.IP{address}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("certificate of %s: %w", node, err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("key of %s: %w", node, err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: encoded}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey}),
	}, nil
}

// Bundle returns the authorities' certificates as one PEM file.
func Bundle(authorities ...*Authority) []byte {
	var bundle []byte
	for _, each := range authorities {
		bundle = append(bundle, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: each.certificate.Raw})...)
	}
	return bundle
}

// Pool returns a pool of the authorities.
func Pool(authorities ...*Authority) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, each := range authorities {
		pool.AddCert(each.certificate)
	}
	return pool
}

// Replace writes a file so that a reader sees the old content or the new one, never a part.
func Replace(path string, content []byte) error {
	const private = 0o600
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, private); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}
