package listener

import (
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
)

// Diagnostics is what operators and their tools read on the admin listener, and nowhere else.
type Diagnostics struct {
	// Gatherer holds the metrics.
	Gatherer prometheus.Gatherer
	// Ready returns nil while new work should be sent to the node.
	Ready func() error
	// Protect lets a handler serve only those who may read: metrics name tenants, and profiles show memory. It must be
	// set.
	Protect func(handler http.Handler) http.Handler
}

// Handler serves /metrics, /healthz, /readyz and /debug/pprof/, and gives every other request to next: the admin API.
func (d Diagnostics) Handler(next http.Handler) http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(pass(next)),
		bunrouter.WithMethodNotAllowedHandler(pass(next)),
	)
	router.GET("/metrics", pass(d.Protect(promhttp.HandlerFor(d.Gatherer, promhttp.HandlerOpts{MaxRequestsInFlight: maximumScrapes}))))
	router.GET("/healthz", func(response http.ResponseWriter, _ bunrouter.Request) error { return answer(response, nil) })
	router.GET("/readyz", func(response http.ResponseWriter, _ bunrouter.Request) error { return answer(response, d.Ready()) })
	router.GET("/debug/pprof/cmdline", d.guarded(pprof.Cmdline))
	router.GET("/debug/pprof/profile", d.guarded(pprof.Profile))
	router.GET("/debug/pprof/symbol", d.guarded(pprof.Symbol))
	router.GET("/debug/pprof/trace", d.guarded(pprof.Trace))
	router.GET("/debug/pprof/*name", d.guarded(pprof.Index))
	return router
}

// pass serves with a plain handler, whose panics net/http contains.
func pass(handler http.Handler) bunrouter.HandlerFunc {
	return func(response http.ResponseWriter, request bunrouter.Request) error {
		handler.ServeHTTP(response, request.Request)
		return nil
	}
}

// maximumScrapes bounds the readings of metrics at once.
const maximumScrapes = 4

func (d Diagnostics) guarded(serve http.HandlerFunc) bunrouter.HandlerFunc {
	return pass(d.Protect(serve))
}

// answer says ok, or why not.
func answer(response http.ResponseWriter, failed error) error {
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if failed != nil {
		response.WriteHeader(http.StatusServiceUnavailable)
		_, err := response.Write([]byte(failed.Error() + "\n"))
		return err
	}
	_, err := response.Write([]byte("ok\n"))
	return err
}
