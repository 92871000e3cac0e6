package connpool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
)

// serve answers each request of a connection with the given bytes and says how many connections came.
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

func whole(headers string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok", headers)
		return err == nil
	}
}

type clock struct{ nanos atomic.Int64 }

func (c *clock) now() time.Time              { return time.Unix(0, c.nanos.Load()) }
func (c *clock) pass(duration time.Duration) { c.nanos.Add(int64(duration)) }

func newPool() (*connpool.Pool, *clock) {
	ticking := &clock{}
	return connpool.New(connpool.Options{DialTimeout: time.Second, IdleTimeout: 10 * time.Second, MaximumIdle: 2, Now: ticking.now}), ticking
}

func call(t *testing.T, pool *connpool.Pool, address string) (string, error) {
	t.Helper()
	answer, err := pool.Do(context.Background(), &connpool.Call{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("b")})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func TestConnectionIsKeptWithinItsTime(t *testing.T) {
	address, opened := serve(t, whole("Keep-Alive: timeout=5\r\n"))
	pool, ticking := newPool()
	for range 3 {
		body, err := call(t, pool, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, opened.Load(), int64(1))
	ticking.pass(4 * time.Second)
	_, err := call(t, pool, address)
	assert.NilError(t, err)
	assert.Equal(t, opened.Load(), int64(2), "a connection was used near the end of the time its other side told")
}

// TestConnectionThatSaysCloseIsNotKept and bytes behind an answer both end the use of a connection.
func TestConnectionsThatAreNotKept(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, *http.Request) bool{
		"close": whole("Connection: close\r\n"),
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

// TestFailuresSayWhetherTheRequestWasSent is what a promise of not having run rests on.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	pool, _ := newPool()
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = closed.Close()
	_, err = call(t, pool, closed.Addr().String())
	assert.ErrorIs(t, err, connpool.ErrNotSent)
	address, _ := serve(t, func(net.Conn, *http.Request) bool { return false })
	_, err = call(t, pool, address)
	assert.ErrorIs(t, err, connpool.ErrNoAnswer)
}

// TestConnectionsBesideASilentOneAreNotUsed has all kept connections fall silent without a reset, while new ones work. One
// call finds out; the next one gets its answer over a new connection, in place of waiting on each of the others in turn.
func TestConnectionsBesideASilentOneAreNotUsed(t *testing.T) {
	var silentUpTo, connections atomic.Int64
	var numbers sync.Map
	together := make(chan struct{}, 2)
	address, opened := serve(t, func(conn net.Conn, request *http.Request) bool {
		number, known := numbers.Load(conn)
		if !known {
			number = connections.Add(1)
			numbers.Store(conn, number)
		}
		if number.(int64) <= silentUpTo.Load() {
			_, _ = conn.Read(make([]byte, 1))
			return false
		}
		if request.URL.Path == "/together" {
			together <- struct{}{}
			for len(together) < cap(together) {
				time.Sleep(time.Millisecond)
			}
		}
		return whole("Keep-Alive: timeout=60\r\n")(conn, request)
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
	silentUpTo.Store(2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, &connpool.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.ErrorIs(t, err, connpool.ErrNoAnswer)
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, &connpool.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, opened.Load(), int64(3))
}

// TestEndOfTheCallClosesTheConnection: closing is how the other side learns to stop.
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
	assert.Assert(t, err != nil, "a body cut short looks whole")
}
