package fleet

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"mallowlatch.example/mallowlatch/internal/lab/authority"
)

// certificatePoll is how often the nodes of a fleet with TLS look at their certificate files.
const certificatePoll = "500ms"

// Certificates are the two authorities of a fleet with TLS. The fleet starts with the first one; clients trust both, so
// that the nodes can go over to the second.
type Certificates struct {
	First, Second *authority.Authority
}

func newCertificates() (*Certificates, error) {
	first, err := authority.New("first lab authority")
	if err != nil {
		return nil, err
	}
	second, err := authority.New("second lab authority")
	if err != nil {
		return nil, err
	}
	return &Certificates{First: first, Second: second}, nil
}

func newClient(certificates *Certificates) *http.Client {
	if certificates == nil {
		return http.DefaultClient
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: authority.Pool(certificates.First, certificates.Second)}
	return &http.Client{Transport: transport}
}

// Client returns the client that trusts the callers' and the admin listeners of the nodes.
func (f *Fleet) Client() *http.Client { return f.client }

func (f *Fleet) scheme() string {
	if f.Certificates == nil {
		return "http://"
	}
	return "https://"
}

// CallerURL returns the base URL of a node's caller API.
func (f *Fleet) CallerURL(node Node) string { return f.scheme() + node.Caller }

// AdminURL returns the base URL of a node's admin API.
func (f *Fleet) AdminURL(node Node) string { return f.scheme() + node.Admin }

// certificateFiles names the files of a node.
func (f *Fleet) certificateFiles(node string) certificateSection {
	return certificateSection{
		Cert: f.Plan.path("settings", node+".crt"),
		Key:  f.Plan.path("settings", node+".key"),
		CA:   f.Plan.path("settings", node+"-authorities.crt"),
	}
}

// IssueAll writes a new certificate and key for every node. The key comes first: a node that reads in between finds a
// pair that does not fit, and looks again.
func (f *Fleet) IssueAll(signer *authority.Authority) error {
	var failed error
	for _, node := range f.Nodes {
		failed = errors.Join(failed, f.issue(node.ID, signer))
	}
	return failed
}

func (f *Fleet) issue(node string, signer *authority.Authority) error {
	pair, err := signer.Issue(node, net.ParseIP(loopback))
	if err != nil {
		return err
	}
	files := f.certificateFiles(node)
	if err := authority.Replace(files.Key, pair.Key); err != nil {
		return err
	}
	return authority.Replace(files.Cert, pair.Certificate)
}

// TrustAll writes the authorities that every node accepts other nodes by.
func (f *Fleet) TrustAll(trusted ...*authority.Authority) error {
	var failed error
	for _, node := range f.Nodes {
		failed = errors.Join(failed, authority.Replace(f.certificateFiles(node.ID).CA, authority.Bundle(trusted...)))
	}
	return failed
}

// tlsSettings returns the section of a node's settings, nil without TLS. Callers and operators show keys, not
// certificates, so only other nodes are asked for one.
func (f *Fleet) tlsSettings(node string) *tlsSection {
	if f.Certificates == nil {
		return nil
	}
	peer := f.certificateFiles(node)
	public := certificateSection{Cert: peer.Cert, Key: peer.Key}
	return &tlsSection{Caller: public, Admin: public, Peer: peer, Poll: certificatePoll}
}

// writeCertificates writes the files that the fleet starts with.
func (f *Fleet) writeCertificates() error {
	if f.Certificates == nil {
		return nil
	}
	if err := errors.Join(f.IssueAll(f.Certificates.First), f.TrustAll(f.Certificates.First)); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	return nil
}

// CurlTrust returns the argument by which curl trusts the nodes; empty without TLS.
func (f *Fleet) CurlTrust() string {
	if f.Certificates == nil {
		return ""
	}
	return " --cacert " + f.certificateFiles(f.Nodes[0].ID).CA
}
