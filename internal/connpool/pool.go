// Package connpool makes HTTP/1.1 calls over pooled connections and reports for each failed call whether the server
// may have seen the request. The standard library's client cannot report this, because it retries requests and reads
// ahead on its own.
package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	// ErrNotSent means that no byte of the request was sent, so the request was not executed.
	ErrNotSent = failure.Kind("connection pool: request not sent")
	// ErrMalformed is wrapped together with ErrNotSent if what was to be sent is no HTTP request. It would not be sent by anyone.
	ErrMalformed = failure.Kind("connection pool: no HTTP request")
	// ErrNoResponse means that the request was sent, completely or in part, and no response to it was received.
	ErrNoResponse = failure.Kind("connection pool: no answer")
	// ErrTooLong is wrapped together with ErrNoResponse if the head of the answer exceeds its bound.
	ErrTooLong = failure.Kind("connection pool: answer too long")
	// ErrNotHTTP is wrapped together with ErrNoResponse if what was received is no head of an HTTP/1 answer.
	ErrNotHTTP = failure.Kind("connection pool: not an HTTP answer")
	// ErrConnectionRefused is wrapped together with ErrNotSent if the connection was refused: the host is reachable, but
	// no process listens at the address.
	ErrConnectionRefused = failure.Kind("connection pool: nobody listens")
)

// Options configure a pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is reused if the server does not announce a keep-alive timeout.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections per address.
	MaxIdlePerAddress int
	// Now returns the monotonic time; nil is clock.Now.
	Now func() time.Time
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*connection
	opened  int64
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.Now == nil {
		options.Now = clock.Now
	}
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1},
		idle:    map[string][]*connection{},
	}
}

// Opened returns how many connections the pool has opened.
func (p *Pool) Opened() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	pooled := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, idle := range pooled {
		_ = idle.conn.Close()
	}
}

// acquire returns a usable idle connection, or opens a new one.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		pooled := p.popIdle(address)
		if pooled == nil {
			return p.dial(ctx, address)
		}
		if pooled.usable(p.options.Now()) {
			return pooled, nil
		}
		_ = pooled.conn.Close()
	}
}

func (p *Pool) popIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pooled := p.idle[address]
	if len(pooled) == 0 {
		return nil
	}
	last := pooled[len(pooled)-1]
	p.idle[address] = pooled[:len(pooled)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrConnectionRefused, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	return newConnection(address, conn), nil
}

// release returns a connection to the pool after its response was read to the end.
func (p *Pool) release(returned *connection, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = p.options.IdleTimeout
	}
	returned.reused = true
	returned.expires = p.options.Now().Add(idleTimeout)
	p.keep(returned)
}

// putBack returns a connection to the pool that was acquired and not used.
func (p *Pool) putBack(unused *connection) {
	if unused.expires.IsZero() {
		unused.expires = p.options.Now().Add(p.options.IdleTimeout)
	}
	p.keep(unused)
}

// keep adds an idle connection to the pool, or closes it if the address already has the maximum number of them.
func (p *Pool) keep(returned *connection) {
	p.mutex.Lock()
	pooled := p.idle[returned.address]
	full := len(pooled) >= p.options.MaxIdlePerAddress
	if !full {
		p.idle[returned.address] = append(pooled, returned)
	}
	p.mutex.Unlock()
	if full {
		_ = returned.conn.Close()
	}
}

// CloseExpired closes expired idle connections. Callers run it periodically.
func (p *Pool) CloseExpired() {
	now := p.options.Now()
	var expiredConnections []*connection
	p.mutex.Lock()
	for address, pooled := range p.idle {
		var remaining []*connection
		for _, idle := range pooled {
			if idle.expires.After(now) {
				remaining = append(remaining, idle)
				continue
			}
			expiredConnections = append(expiredConnections, idle)
		}
		p.idle[address] = remaining
		if len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, expired := range expiredConnections {
		_ = expired.conn.Close()
	}
}
