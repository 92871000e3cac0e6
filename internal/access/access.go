// Package access finds out whose request it is: the tenant that holds the key which the request carries.
package access

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// checkEvery is the time between the beginnings of two readings: it bounds those that unknown keys cause.
	checkEvery = 100 * time.Millisecond
	// retryAfter is when a caller may come back to a node that could not find out whether its key is known.
	retryAfter = 500 * time.Millisecond
)

// Why a request is refused for its key.
const (
	ErrNoKey      = failure.Kind("access: no key")
	ErrUnknownKey = failure.Kind("access: unknown key")
	// ErrNotSure means that the newest configuration, which may have the key, could not be read.
	ErrNotSure = failure.Kind("access: the configuration could not be read")
)

// Gate tells tenants by their keys. Its exported fields are set before it is used; it is safe for concurrent use.
type Gate struct {
	Routes *routetable.Table
	// Refresh reads the newest configuration and puts it in force.
	Refresh func(ctx context.Context) error
	Logger  zerolog.Logger
	Now     func() time.Time

	mutex sync.Mutex
	// next is the reading that has not begun yet, or nil; last is the one that began last.
	next, last *check
}

// check is a reading of the configuration that requests wait for.
type check struct {
	// ended is closed when the others are set.
	ended chan struct{}
	began time.Time
	err   error
}

// Tenant returns the holder of a key, or nil where the configuration names no tenants, or the request needs no key and has none
// that is known. The error is a *failure.Error of a request that was not run. A nil Gate knows no tenants.
func (g *Gate) Tenant(ctx context.Context, key string, public bool) (*work.Tenant, error) {
	if g == nil {
		return nil, nil
	}
	if g.Routes.Catalog() == nil {
		// A node that has no configuration yet cannot tell whether keys are needed.
		if err := g.makeSure(ctx); err != nil {
			return nil, g.refuse(keyhash.Digest{}, fmt.Errorf("%w: %w", ErrNotSure, err))
		}
	}
	if !g.Routes.Keyed() {
		return nil, nil
	}
	if key == "" {
		if public {
			return nil, nil
		}
		return nil, g.refuse(keyhash.Digest{}, ErrNoKey)
	}
	digest := keyhash.Of(key)
	if holder := g.Routes.Holder(digest); holder != nil || public {
		return holder, nil
	}
	// A newer configuration may have the key.
	if err := g.makeSure(ctx); err != nil {
		return nil, g.refuse(digest, fmt.Errorf("%w: %w", ErrNotSure, err))
	}
	if holder := g.Routes.Holder(digest); holder != nil {
		return holder, nil
	}
	return nil, g.refuse(digest, ErrUnknownKey)
}

// refuse logs and returns the refusal of a request. Only one that can't be made sure of is invited again.
func (g *Gate) refuse(digest keyhash.Digest, cause error) *failure.Error {
	event.KeyRefused.Log(g.Logger).Str("key_hash", digest.Short()).Err(cause).Send()
	switch cause {
	case ErrNoKey, ErrUnknownKey:
		return failure.New(failure.CodeInvalidKey, "the request carries no key that is known").WithCause(cause)
	}
	return failure.New(failure.CodeConfigUnavailable, "this node cannot find out now whether the key is known").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// makeSure returns nil once a reading of the configuration that began after the call has ended. One serves all that wait for it.
func (g *Gate) makeSure(ctx context.Context) error {
	g.mutex.Lock()
	next := g.next
	if next == nil {
		next = &check{ended: make(chan struct{})}
		g.next = next
		// The reading is the others' too: it goes on where this caller leaves.
		last := g.last
		new(tomb.Tomb).Go(func() error { g.check(next, last); return nil })
	}
	g.mutex.Unlock()
	select {
	case <-next.ended:
		return next.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// check makes a reading when the last one has ended and its time has come. Whoever comes once it has begun waits for the one after.
func (g *Gate) check(next, last *check) {
	if last != nil {
		<-last.ended
		time.Sleep(checkEvery - g.Now().Sub(last.began))
	}
	g.mutex.Lock()
	g.next, g.last = nil, next
	g.mutex.Unlock()
	next.began = g.Now()
	next.err = g.Refresh(context.Background())
	close(next.ended)
}
