package tlsreload

import "crypto/tls"

// ClientConfig returns the configuration of one connection to the server at host, an IP number or a name. It presents the
// newest certificate and checks the server's against the newest authorities, so make one for each connection.
func (r *Reloader) ClientConfig(host string) *tls.Config {
	certificate, authorities := r.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificate},
		ServerName:   host,
		RootCAs:      authorities,
	}
}
