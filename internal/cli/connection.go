package cli

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Environment variables that stand in for flags.
const (
	envAdminServer  = "MALLOWLATCH_ADMIN_SERVER"
	envAdminKey     = "MALLOWLATCH_ADMIN_KEY"
	envCallerServer = "MALLOWLATCH_CALLER_SERVER"
	envCallerKey    = "MALLOWLATCH_CALLER_KEY"
)

const (
	defaultAdminServer  = "http://127.0.0.1:8081"
	defaultCallerServer = "http://127.0.0.1:8080"
	// defaultTimeout bounds one request, its wait until a change is in force included.
	defaultTimeout = 60 * time.Second
)

const errCertificate = failure.Kind("no certificate in the file")

// connection holds the flags that say which server to call.
type connection struct {
	server, key, ca string
	// envKey is the environment variable that holds the key if the flag does not.
	envKey  string
	timeout time.Duration
}

// adminConnection adds the flags of the administration API to a command and those below it.
func adminConnection(command *cobra.Command) *connection {
	return addConnection(command, "administration API", defaultAdminServer, envAdminServer, envAdminKey)
}

// callerConnection adds the flags of the caller API to a command and those below it.
func callerConnection(command *cobra.Command) *connection {
	return addConnection(command, "caller API", defaultCallerServer, envCallerServer, envCallerKey)
}

func addConnection(command *cobra.Command, api, fallback, envServer, envKey string) *connection {
	chosen := &connection{envKey: envKey}
	server := os.Getenv(envServer)
	if server == "" {
		server = fallback
	}
	flags := command.PersistentFlags()
	flags.StringVar(&chosen.server, "server", server, fmt.Sprintf("URL of the %s (or %s)", api, envServer))
	// The key must not show up as a default in the help text.
	flags.StringVar(&chosen.key, "key", "", fmt.Sprintf("API key (better: %s, which other users of the machine cannot see)", envKey))
	flags.StringVar(&chosen.ca, "ca", "", "PEM file of the authorities that the server's certificate must be signed by")
	flags.DurationVar(&chosen.timeout, "timeout", defaultTimeout, "bound of one request")
	return chosen
}

// client returns the client the flags ask for.
func (c *connection) client() (*client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// A fleet is called by its addresses, never through a proxy that the environment names.
	transport.Proxy = nil
	if c.ca != "" {
		authorities, err := readAuthorities(c.ca)
		if err != nil {
			return nil, withExit(ExitUsage, err)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: authorities}
	}
	key := c.key
	if key == "" {
		key = os.Getenv(c.envKey)
	}
	return &client{server: c.server, key: key, http: &http.Client{Transport: transport, Timeout: c.timeout}}, nil
}

func readAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: %w", path, errCertificate)
	}
	return pool, nil
}
