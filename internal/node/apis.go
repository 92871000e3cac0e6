package node

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/gateway"
	"mallowlatch.example/mallowlatch/internal/settings"
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
	n.callerServer = newHTTPServer(n.settings.Limits, n.gateway)
	return nil
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
	options := admin.Options{
		Source:          n.replica,
		Writer:          n.writer,
		Status:          n.replica,
		Fleet:           fleetStatus{members: n.members, table: n.table, owners: n.owners, source: n.replica},
		BootstrapDigest: string(n.settings.Bootstrap.AdminKeyDigest),
		Logger:          n.logger,
		Registerer:      n.registry,
	}
	handler, err := admin.New(options)
	if err != nil {
		return fmt.Errorf("admin API: %w", err)
	}
	n.adminServer = newHTTPServer(n.settings.Limits, n.adminRoutes(handler, options))
	return nil
}

// adminRoutes adds what only operators may see: metrics and profiles, behind a key that may read, and health, which
// shows nothing and needs no key.
func (n *Node) adminRoutes(api http.Handler, options admin.Options) http.Handler {
	profiles := http.NewServeMux()
	profiles.HandleFunc("/debug/pprof/", pprof.Index)
	profiles.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	profiles.HandleFunc("/debug/pprof/profile", pprof.Profile)
	profiles.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	profiles.HandleFunc("/debug/pprof/trace", pprof.Trace)
	metrics := promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})

	routes := http.NewServeMux()
	routes.Handle("/admin/", api)
	routes.Handle("/metrics", admin.Protect(options, auth.PermissionRead, metrics))
	routes.Handle("/debug/pprof/", admin.Protect(options, auth.PermissionRead, profiles))
	routes.Handle("/healthz", n.gateway)
	routes.Handle("/readyz", n.gateway)
	return routes
}

// newHTTPServer bounds what a slow or hostile caller can hold open.
func newHTTPServer(limits settings.Limits, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderBytes),
	}
}
