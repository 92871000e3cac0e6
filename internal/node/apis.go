package node

import (
	"fmt"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/gateway"
	"mallowlatch.example/mallowlatch/internal/listener"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/tlsreload"
)

func (n *Node) assembleCallerAPI() error {
	n.gateway = gateway.New(gateway.Options{
		Source:     n.replica,
		Dispatcher: n.onlinePath(),
		Jobs:       n.jobs,
		Ready:      n.ready,
		Limits:     gateway.LimitsOf(n.settings.Limits),
		Logger:     n.logger,
		Registerer: n.registry,
	})
	var err error
	n.callerServer, err = n.newServer("caller", n.settings.Listen.Caller, n.settings.TLS.Caller, n.gateway, callerLinger)
	return err
}

func (n *Node) onlinePath() admittedDispatcher {
	return admittedDispatcher{
		admission:  n.admission,
		dispatcher: n.dispatcher,
		cutOff:     n.cutOff,
		demand:     n.demandMeter,
	}
}

func (n *Node) assembleAdminAPI() error {
	fleet := fleetStatus{
		members: n.members, table: n.table, owners: n.owners, source: n.replica, routes: n.shardRoutes, self: n.id(),
	}
	if n.storage != nil {
		fleet.disk = n.storage.host
	}
	options := admin.Options{
		Source:          n.replica,
		Writer:          n.writer,
		Status:          n.replica,
		Fleet:           fleet,
		BootstrapDigest: string(n.settings.Bootstrap.AdminKeyDigest),
		Logger:          n.logger,
		Registerer:      n.registry,
	}
	handler, err := admin.New(options)
	if err != nil {
		return fmt.Errorf("admin API: %w", err)
	}
	handler = n.diagnostics(options).Handler(handler)
	n.adminServer, err = n.newServer("admin", n.settings.Listen.Admin, n.settings.TLS.Admin, handler, 0)
	return err
}

// diagnostics are what operators and their tools read beside the admin API, with a key that may read. Health shows nothing
// and needs none.
func (n *Node) diagnostics(options admin.Options) listener.Diagnostics {
	return listener.Diagnostics{
		Gatherer: n.registry,
		Ready:    n.gateway.Ready,
		Protect: func(handler http.Handler) http.Handler {
			return admin.Protect(options, auth.PermissionRead, handler)
		},
	}
}

// callerLinger is how long a planned stop goes on refusing callers that hold idle connections.
const callerLinger = 2 * time.Second

// newServer opens a listener with the limits of the settings, and TLS if it has a certificate.
func (n *Node) newServer(name string, address settings.Address, certificate settings.Certificate, handler http.Handler, linger time.Duration) (*listener.Server, error) {
	limits := n.settings.Limits
	options := listener.Options{
		Name:          name,
		Address:       string(address),
		Handler:       handler,
		HeaderBytes:   int(limits.HeaderBytes),
		HeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:   limits.IdleTimeout,
		Connections:   limits.Connections,
		HeaderMemory:  int64(limits.HeaderMemory),
		Linger:        linger,
		Logger:        n.logger,
		Registerer:    n.registry,
	}
	if certificate.Enabled() {
		reloader, err := n.newReloader(certificate)
		if err != nil {
			return nil, fmt.Errorf("certificate of the %s listener: %w", name, err)
		}
		options.TLS = reloader.ServerConfig(tlsreload.ProtocolHTTP2, tlsreload.ProtocolHTTP1)
	}
	server, err := listener.New(options)
	if err != nil {
		return nil, fmt.Errorf("%s listener: %w", name, err)
	}
	return server, nil
}

// newReloader loads a listener's certificate; it is followed from the start of the node.
func (n *Node) newReloader(certificate settings.Certificate) (*tlsreload.Reloader, error) {
	files := tlsreload.Files{
		Certificate: string(certificate.Cert),
		Key:         string(certificate.Key),
		Authorities: string(certificate.CA),
	}
	reloader, err := tlsreload.New(files, n.logger, time.Now)
	if err != nil {
		return nil, err
	}
	n.reloaders = append(n.reloaders, reloader)
	return reloader, nil
}
