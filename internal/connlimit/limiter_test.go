package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patience bounds the wait of a test that hangs.
const patience = 20 * time.Second

// serve starts a server whose callers have the limits, and returns its address and its limiter.
func serve(t *testing.T, limits Limits, handler http.HandlerFunc) (string, *Limiter) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	limiter := New(limits, func() int64 { return 16 << 10 }, time.Now)
	server := &http.Server{Handler: Handler(handler), ConnContext: ConnContext, ConnState: ConnState}
	go func() { _ = server.Serve(limiter.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), limiter
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(patience))
	return connection
}

func status(t *testing.T, connection net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// awaitOpen waits until a number of connections is open.
func awaitOpen(t *testing.T, limiter *Limiter, wanted int) {
	t.Helper()
	for end := time.Now().Add(patience); limiter.TakeTally().Open != wanted; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the number of connections is never %d", wanted)
	}
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestRequestUnderWayIsKept fills all places with requests under way: a further connection is closed at once and unread, and all requests
// are answered.
func TestRequestUnderWayIsKept(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, Limits{Connections: 2, HeadBytes: 1 << 20}, func(response http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-finish
	})
	kept := []net.Conn{dial(t, address), dial(t, address)}
	for _, connection := range kept {
		_, err := io.WriteString(connection, request)
		assert.NilError(t, err)
		<-began
	}
	refused := dial(t, address)
	_, err := refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "timeout"), "a connection without a place stays open")
	close(finish)
	for _, connection := range kept {
		assert.Equal(t, status(t, connection), http.StatusOK)
	}
}

// TestNewCallerIsServedBesideSilentOnes fills all places with connections that send nothing.
func TestNewCallerIsServedBesideSilentOnes(t *testing.T) {
	address, limiter := serve(t, Limits{Connections: 4, HeadBytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {})
	for range 4 {
		dial(t, address)
	}
	awaitOpen(t, limiter, 4)
	caller := dial(t, address)
	_, err := io.WriteString(caller, request)
	assert.NilError(t, err)
	assert.Equal(t, status(t, caller), http.StatusOK)
}

// TestHeadAboveTheLimitIsRefused sends heads below and above the limit.
func TestHeadAboveTheLimitIsRefused(t *testing.T) {
	address, limiter := serve(t, Limits{Connections: 4, HeadBytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {})
	for size, wanted := range map[int]int{15 << 10: http.StatusOK, 60 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		caller := dial(t, address)
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("a", size)+"\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, status(t, caller), wanted)
	}
	assert.Equal(t, limiter.TakeTally().TooLarge, 1)
}

// TestClosedRequestIsNotHandledAsWhole closes a connection whose body has not come: the handler reads an error, and never the end of the body.
func TestClosedRequestIsNotHandledAsWhole(t *testing.T) {
	read, began := make(chan error, 1), make(chan struct{})
	address, _ := serve(t, Limits{Connections: 1, HeadBytes: 1 << 20}, func(_ http.ResponseWriter, request *http.Request) {
		if request.ContentLength > 0 {
			close(began)
			_, err := io.ReadAll(request.Body)
			read <- err
		}
	})
	unfinished := dial(t, address)
	_, err := io.WriteString(unfinished, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfive ")
	assert.NilError(t, err)
	<-began
	caller := dial(t, address)
	_, err = io.WriteString(caller, request)
	assert.NilError(t, err)
	assert.Equal(t, status(t, caller), http.StatusOK)
	assert.Assert(t, <-read != nil)
}

// TestReservationOfALateBodyIsGivenUp has a request take the memory reserved for a body that does not come.
func TestReservationOfALateBodyIsGivenUp(t *testing.T) {
	released, began := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, Limits{Connections: 4, HeadBytes: 1 << 20}, func(response http.ResponseWriter, request *http.Request) {
		if request.ContentLength > 0 {
			Reserved(request.Context(), func() { close(released) })
			close(began)
			_, _ = io.ReadAll(request.Body)
			return
		}
		for end := time.Now().Add(patience); !FreeLate(request.Context()); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				response.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		<-released
	})
	late := dial(t, address)
	_, err := io.WriteString(late, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	assert.NilError(t, err)
	<-began
	caller := dial(t, address)
	_, err = io.WriteString(caller, request)
	assert.NilError(t, err)
	assert.Equal(t, status(t, caller), http.StatusOK)
	assert.Assert(t, !FreeLate(context.Background()), "a request without a limiter frees nothing")
}
