// Package connpool makes HTTP/1.1 calls over kept connections and says of each failed call whether the other side may
// have seen it. The standard library's client retries and reads ahead by itself, so that it cannot say.
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
	// ErrNotSent means that no byte of the request reached the network: it did not run.
	ErrNotSent = failure.Kind("connection pool: request not sent")
	// ErrNoAnswer means that the request was sent, wholly or in part, and no answer of its own came.
	ErrNoAnswer = failure.Kind("connection pool: no answer")
	// ErrNobodyListens comes with ErrNotSent where the machine is there and no process of it listens at the address.
	ErrNobodyListens = failure.Kind("connection pool: nobody listens")
)

// Options shape a pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept where the other side does not say.
	IdleTimeout time.Duration
	// MaximumIdle bounds the kept connections to one address.
	MaximumIdle int
	// Now is the steady clock.
	Now func() time.Time
}

// Pool keeps connections by address. It is safe for concurrent use.
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

// Forget closes the kept connections to an address.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, idle := range kept {
		_ = idle.conn.Close()
	}
}

// take returns a kept connection that is still good, or opens one.
func (p *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		kept := p.takeIdle(address)
		if kept == nil {
			return p.dial(ctx, address)
		}
		if kept.usable(p.options.Now()) {
			return kept, nil
		}
		_ = kept.conn.Close()
	}
}

func (p *Pool) takeIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrNobodyListens, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	return newConnection(address, conn), nil
}

// keep takes back a connection whose answer was read to its end. A connection already past its time is closed.
func (p *Pool) keep(returned *connection, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = p.options.IdleTimeout
	}
	returned.reused = true
	returned.expires = p.options.Now().Add(idleTimeout)
	p.mutex.Lock()
	kept := p.idle[returned.address]
	full := len(kept) >= p.options.MaximumIdle
	if !full {
		p.idle[returned.address] = append(kept, returned)
	}
	p.mutex.Unlock()
	if full {
		_ = returned.conn.Close()
	}
}

// CloseExpired closes kept connections past their time; callers run it now and then.
func (p *Pool) CloseExpired() {
	now := p.options.Now()
	var closing []*connection
	p.mutex.Lock()
	for address, kept := range p.idle {
		var good []*connection
		for _, idle := range kept {
			if idle.expires.After(now) {
				good = append(good, idle)
				continue
			}
			closing = append(closing, idle)
		}
		p.idle[address] = good
		if len(good) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, expired := range closing {
		_ = expired.conn.Close()
	}
}
