package connpool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
)

// serve answers the requests of each connection with the given function until it returns false. It returns the
// address and the number of accepted connections.
func serve(t *testing.T, answer func(conn net.Conn, request *http.Request) bool) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	opened := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !answer(conn, request) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), opened
}

func fixedResponse(headers string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok", headers)
		return err == nil
	}
}

type fakeClock struct{ nanos atomic.Int64 }

func (c *fakeClock) now() time.Time                 { return time.Unix(0, c.nanos.Load()) }
func (c *fakeClock) advance(duration time.Duration) { c.nanos.Add(int64(duration)) }

func newPool() (*connpool.Pool, *fakeClock) {
	fakeTime := &fakeClock{}
	return connpool.New(connpool.Options{DialTimeout: time.Second, IdleTimeout: 10 * time.Second, MaxIdlePerAddress: 2, Now: fakeTime.now}), fakeTime
}

func call(t *testing.T, pool *connpool.Pool, address string) (string, error) {
	t.Helper()
	answer, err := pool.Do(context.Background(), &connpool.Call{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("b"),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func TestConnectionIsKeptWithinItsTime(t *testing.T) {
	address, opened := serve(t, fixedResponse("Keep-Alive: timeout=5\r\n"))
	pool, fakeTime := newPool()
	for range 3 {
		body, err := call(t, pool, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, opened.Load(), int64(1))
	fakeTime.advance(4 * time.Second)
	_, err := call(t, pool, address)
	assert.NilError(t, err)
	assert.Equal(t, opened.Load(), int64(2), "a connection was reused close to the keep-alive timeout of the server")
}

// TestConnectionsThatAreNotKept checks that a connection is not reused after "Connection: close" or after surplus
// bytes behind a response.
func TestConnectionsThatAreNotKept(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, *http.Request) bool{
		"close": fixedResponse("Connection: close\r\n"),
		"surplus": func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
			return err == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, opened := serve(t, answer)
			pool, _ := newPool()
			for range 3 {
				body, err := call(t, pool, address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, opened.Load(), int64(3))
		})
	}
}

// TestFailuresSayWhetherTheRequestWasSent checks the distinction that callers rely on when they report that a request
// was not executed.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	pool, _ := newPool()
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = closed.Close()
	_, err = call(t, pool, closed.Addr().String())
	assert.ErrorIs(t, err, connpool.ErrNotSent)
	address, _ := serve(t, func(net.Conn, *http.Request) bool { return false })
	_, err = call(t, pool, address)
	assert.ErrorIs(t, err, connpool.ErrNoResponse)
}

// TestIdleConnectionsAreDroppedAfterATimeout makes all open connections unresponsive without a reset, while new ones
// work. The first call times out; the next one must use a new connection, not the remaining idle one.
func TestIdleConnectionsAreDroppedAfterATimeout(t *testing.T) {
	var unresponsiveUpTo, connections atomic.Int64
	var numbers sync.Map
	together := make(chan struct{}, 2)
	address, opened := serve(t, func(conn net.Conn, request *http.Request) bool {
		number, known := numbers.Load(conn)
		if !known {
			number = connections.Add(1)
			numbers.Store(conn, number)
		}
		if number.(int64) <= unresponsiveUpTo.Load() {
			_, _ = conn.Read(make([]byte, 1))
			return false
		}
		if request.URL.Path == "/together" {
			together <- struct{}{}
			for len(together) < cap(together) {
				time.Sleep(time.Millisecond)
			}
		}
		return fixedResponse("Keep-Alive: timeout=60\r\n")(conn, request)
	})
	pool, _ := newPool()
	var both sync.WaitGroup
	for range cap(together) {
		both.Go(func() {
			answer, err := pool.Do(context.Background(), &connpool.Call{Address: address, Method: http.MethodGet, Target: "/together", Host: "h"})
			if err == nil {
				_, _ = io.ReadAll(answer.Body)
			}
		})
	}
	both.Wait()
	assert.Equal(t, opened.Load(), int64(2))
	unresponsiveUpTo.Store(2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, &connpool.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.ErrorIs(t, err, connpool.ErrNoResponse)
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, &connpool.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, opened.Load(), int64(3))
}

// TestEndOfTheCallClosesTheConnection checks that canceling a call closes its connection, which signals the server to
// stop.
func TestEndOfTheCallClosesTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	address, _ := serve(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, err := conn.Read(make([]byte, 1))
		ended <- err
		return false
	})
	pool, _ := newPool()
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := pool.Do(ctx, &connpool.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	cancel()
	assert.Assert(t, <-ended != nil)
	_, err = io.ReadAll(answer.Body)
	assert.Assert(t, err != nil, "a truncated body was returned without an error")
}

// TestRequestThatIsHeldBackIsNotWritten guards against a request that is written though it was held back once its connection was open, and
// against the loss of that connection.
func TestRequestThatIsHeldBackIsNotWritten(t *testing.T) {
	var reached atomic.Int64
	address, opened := serve(t, func(conn net.Conn, request *http.Request) bool {
		reached.Add(1)
		return fixedResponse("")(conn, request)
	})
	pool, _ := newPool()
	heldBack := fmt.Errorf("the runner leaves")
	for range 3 {
		_, err := pool.Do(context.Background(), &connpool.Call{
			Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("b"), BeforeSend: func() error { return heldBack },
		})
		assert.ErrorIs(t, err, connpool.ErrNotSent)
		assert.ErrorIs(t, err, heldBack)
	}
	body, err := call(t, pool, address)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, reached.Load(), int64(1))
	assert.Equal(t, opened.Load(), int64(1))
}

// TestHeadIsBounded guards against a head of an answer that fills the memory: a long one arrives whole, one without end is given up, after a bounded
// number of bytes.
func TestHeadIsBounded(t *testing.T) {
	const long, without = 48 << 10, 64 << 20
	for name, c := range map[string]struct {
		head  string
		bytes int
		whole bool
	}{
		"one long line":         {"X-Long: " + strings.Repeat("x", long) + "\r\n", 0, true},
		"many lines":            {strings.Repeat("X-More: more\r\n", long/14), 0, true},
		"a line without end":    {"X-Long: " + strings.Repeat("x", 1<<10), without, false},
		"lines without end":     {strings.Repeat("X-More: more\r\n", 100), without, false},
		"interim without end":   {"", without, false},
		"a first line too long": {strings.Repeat("x", 1<<10), without, false},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			address, _ := serve(t, func(conn net.Conn, _ *http.Request) bool {
				head, more := "HTTP/1.1 200 OK\r\n"+c.head, c.head
				if name == "interim without end" {
					head, more = "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)
				}
				if name == "a first line too long" {
					head = c.head
				}
				if c.whole {
					_, err := io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
					return err == nil
				}
				for next := head; written.Load() < int64(c.bytes); next = more {
					count, err := io.WriteString(conn, next)
					written.Add(int64(count))
					if err != nil {
						return false
					}
				}
				return false
			})
			pool, _ := newPool()
			body, err := call(t, pool, address)
			if c.whole {
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				return
			}
			assert.ErrorIs(t, err, connpool.ErrNoResponse)
			assert.Assert(t, written.Load() < without, "all was read")
		})
	}
}
