package listener

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	patience   = 20 * time.Second
	errRefused = failure.Kind("refused")
)

func start(t *testing.T, options Options) *Server {
	t.Helper()
	options.Name, options.Address = "test", "127.0.0.1:0"
	if options.Handler == nil {
		options.Handler = http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(response, "served") })
	}
	server, err := New(options)
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		assert.Check(t, server.Close() == nil)
		assert.Check(t, <-served == nil)
	})
	return server
}

func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(patience)))
	return connection
}

func get(t *testing.T, connection net.Conn, header string) *http.Response {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n"+header+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	return response
}

// TestSlowHeaderIsCutOff proves that a caller who trickles a header is closed: the read ends before its own patience.
func TestSlowHeaderIsCutOff(t *testing.T) {
	connection := dial(t, start(t, Options{HeaderTimeout: 50 * time.Millisecond}))
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: ")
	assert.NilError(t, err)
	_, err = io.ReadAll(connection)
	assert.NilError(t, err, "the server must close the connection")
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	connection := dial(t, start(t, Options{HeaderBytes: 1 << 10}))
	response := get(t, connection, "X-Large: "+strings.Repeat("x", 16<<10)+"\r\n")
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// TestConnectionsBeyondTheLimitWait proves the bound: the second caller is served once the first has gone.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	server := start(t, Options{Connections: 1})
	first, second := dial(t, server), dial(t, server)
	assert.Equal(t, get(t, first, "").StatusCode, http.StatusOK)
	_, err := io.WriteString(second, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = second.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, first.Close())
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(patience)))
	_, err = second.Read(make([]byte, 1))
	assert.NilError(t, err)
}

func TestShutdownLetsARequestFinish(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	server := start(t, Options{Handler: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		close(started)
		<-proceed
		_, _ = io.WriteString(response, "whole")
	})})
	connection := dial(t, server)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-started
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	close(proceed)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, <-ended)
}

// TestShutdownServesWhoHoldsAnIdleConnection sends a request on an idle connection after a stop began. It is answered, as the
// last of its connection, and the stop then ends.
func TestShutdownServesWhoHoldsAnIdleConnection(t *testing.T) {
	server := start(t, Options{Linger: patience, Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last") != "" {
			response.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(response, "whole")
	})})
	connection := dial(t, server)
	first := get(t, connection, "")
	_, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	time.Sleep(2 * idlePoll)
	last := get(t, connection, "Last: yes\r\n")
	body, err := io.ReadAll(last.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, <-ended)
}

// TestShutdownServesWhoseConnectionTurnsIdle guards against a connection that is closed at once because its answer ended just after the
// stop began: its caller may already send the next request on it.
func TestShutdownServesWhoseConnectionTurnsIdle(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	server := start(t, Options{Linger: patience, Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last") != "" {
			response.Header().Set("Connection", "close")
			_, _ = io.WriteString(response, "last")
			return
		}
		close(begun)
		<-proceed
		_, _ = io.WriteString(response, "first")
	})})
	connection := dial(t, server)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	time.Sleep(2 * idlePoll)
	close(proceed)
	first, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first")
	time.Sleep(2 * idlePoll)
	last := get(t, connection, "Last: yes\r\n")
	body, err = io.ReadAll(last.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "last")
	assert.NilError(t, <-ended)
}

func TestTLSServesBothProtocols(t *testing.T) {
	borrowed := httptest.NewUnstartedServer(nil)
	borrowed.StartTLS()
	defer borrowed.Close()
	for _, protocol := range []string{"h2", "http/1.1"} {
		server := start(t, Options{TLS: &tls.Config{Certificates: borrowed.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}})
		transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: protocol == "h2"}
		response, err := (&http.Client{Transport: transport}).Get("https://" + server.Address())
		assert.NilError(t, err)
		assert.Equal(t, response.ProtoMajor == 2, protocol == "h2")
		assert.NilError(t, response.Body.Close())
	}
}

func TestDiagnosticsBesideTheAdminAPI(t *testing.T) {
	ready := error(nil)
	diagnostics := Diagnostics{
		Gatherer: prometheus.NewRegistry(),
		Ready:    func() error { return ready },
		Protect: func(handler http.Handler) http.Handler {
			return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
				if request.Header.Get("Authorization") == "" {
					response.WriteHeader(http.StatusForbidden)
					return
				}
				handler.ServeHTTP(response, request)
			})
		},
	}
	handler := diagnostics.Handler(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) { response.WriteHeader(http.StatusTeapot) }))
	ask := func(path, key string) int {
		request := httptest.NewRequest(http.MethodGet, path, nil)
		request.Header.Set("Authorization", key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Code
	}
	assert.Equal(t, ask("/healthz", ""), http.StatusOK)
	assert.Equal(t, ask("/readyz", ""), http.StatusOK)
	ready = errRefused
	assert.Equal(t, ask("/readyz", ""), http.StatusServiceUnavailable)
	assert.Equal(t, ask("/v1/admin/tenants", ""), http.StatusTeapot)
	for _, path := range []string{"/metrics", "/debug/pprof/", "/debug/pprof/heap", "/debug/pprof/cmdline"} {
		assert.Equal(t, ask(path, ""), http.StatusForbidden, path)
		assert.Equal(t, ask(path, "Bearer key"), http.StatusOK, path)
	}
}
