package scale

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// certificateLife is ample for a run.
const certificateLife = 24 * time.Hour

// authority signs the certificates of a run's nodes.
type authority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(directory string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "scale run"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	return &authority{directory: directory, certificate: certificate, key: key, serial: 1}, nil
}

// issue writes a node's certificate, key and authority to files.
func (a *authority) issue(node ident.Node) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: string(node)},
		DNSNames:     []string{string(node)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLife),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign %s: %w", node, err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	files := credentialFiles(a.directory, node)
	for path, block := range map[string]*pem.Block{
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: encodedKey},
		files.Certificate: {Type: "CERTIFICATE", Bytes: encoded},
		files.Authority:   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}

func credentialFiles(directory string, node ident.Node) transport.Files {
	return transport.Files{
		Certificate: filepath.Join(directory, string(node)+".crt"),
		Key:         filepath.Join(directory, string(node)+".key"),
		Authority:   filepath.Join(directory, "authority.crt"),
	}
}
