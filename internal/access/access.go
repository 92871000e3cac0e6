// Package access finds out whose request it is: the tenant that holds the key which the request carries.
package access

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// checkedFor is how long the configuration counts as the newest after it was read: it bounds the readings that unknown keys
	// cause, and for as long a key that was added since may be refused.
	checkedFor = time.Second
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
	// checked is when the last reading that brought an answer began.
	checked time.Time
	// checking is the reading in progress, or nil.
	checking *check
}

// check is a reading of the configuration that requests wait for.
type check struct {
	// ended is closed when err is set.
	ended chan struct{}
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

// makeSure returns nil once the configuration in force was the newest at, or shortly before, the call. One reading serves all
// requests that wait for it.
func (g *Gate) makeSure(ctx context.Context) error {
	g.mutex.Lock()
	now := g.Now()
	if !g.checked.IsZero() && now.Sub(g.checked) < checkedFor {
		g.mutex.Unlock()
		return nil
	}
	if running := g.checking; running != nil {
		g.mutex.Unlock()
		return running.wait(ctx)
	}
	running := &check{ended: make(chan struct{})}
	g.checking = running
	g.mutex.Unlock()
	// The reading is the others' too: it goes on where this caller leaves.
	running.err = g.Refresh(context.WithoutCancel(ctx))
	g.mutex.Lock()
	if running.err == nil {
		g.checked = now
	}
	g.checking = nil
	g.mutex.Unlock()
	close(running.ended)
	return running.err
}

func (c *check) wait(ctx context.Context) error {
	select {
	case <-c.ended:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
