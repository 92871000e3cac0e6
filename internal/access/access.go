// Package access authenticates requests by key and keeps tenants within their request limits. A Gate maps a
// request's key to the tenant that holds it. A Limiter admits or refuses a tenant's requests according to its
// limit over all nodes, which workers account for.
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
	"mallowlatch.example/mallowlatch/internal/sharedread"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// readInterval is the minimum time between the starts of two reads of the configuration. It limits the reads
	// that unknown keys cause.
	readInterval = 100 * time.Millisecond
	// pollInterval is the time between two checks by a waiting request of the configuration in force.
	pollInterval = 30 * time.Millisecond
	// retryAfter is the delay after which a caller may retry if the node could not verify its key.
	retryAfter = 500 * time.Millisecond
)

// Reasons for refusing a request because of its key.
const (
	ErrNoKey      = failure.Kind("access: no key")
	ErrUnknownKey = failure.Kind("access: unknown key")
	// ErrConfigUnavailable means that the newest configuration, which may contain the key, could not be read.
	ErrConfigUnavailable = failure.Kind("access: the configuration could not be read")
)

// Gate identifies tenants by their keys. Its exported fields are set before it is used; it is safe for concurrent
// use.
type Gate struct {
	Routes *routetable.Table
	// Refresh reads the newest configuration and puts it in force.
	Refresh func(ctx context.Context) error
	Logger  zerolog.Logger
	Now     func() time.Time

	once sync.Once
	// readings are the reads of the configuration that requests wait for.
	readings *sharedread.Readings
}

// Tenant returns the holder of a key. It returns nil if the configuration names no tenants, or if the request is
// public, which means that it needs no key, and its key is missing or unknown. The error is a *failure.Error of a
// request that was not run. A nil Gate identifies no tenants.
func (g *Gate) Tenant(ctx context.Context, key string, public bool) (*work.Tenant, error) {
	if g == nil {
		return nil, nil
	}
	if g.Routes.Catalog() == nil {
		// Without a configuration the node does not know whether keys are required.
		if err := g.awaitConfig(ctx, func() bool { return g.Routes.Catalog() != nil }); err != nil {
			return nil, g.refusal(keyhash.Digest{}, fmt.Errorf("%w: %w", ErrConfigUnavailable, err))
		}
	}
	if !g.Routes.Keyed() {
		return nil, nil
	}
	if key == "" {
		if public {
			return nil, nil
		}
		return nil, g.refusal(keyhash.Digest{}, ErrNoKey)
	}
	digest := keyhash.Of(key)
	if holder := g.Routes.Holder(digest); holder != nil || public {
		return holder, nil
	}
	// A newer configuration may contain the key.
	if err := g.awaitConfig(ctx, func() bool { return g.Routes.Holder(digest) != nil }); err != nil {
		return nil, g.refusal(digest, fmt.Errorf("%w: %w", ErrConfigUnavailable, err))
	}
	if holder := g.Routes.Holder(digest); holder != nil {
		return holder, nil
	}
	return nil, g.refusal(digest, ErrUnknownKey)
}

// refusal logs and returns the error of a refused request. It has a retry delay only if the key could not be
// verified.
func (g *Gate) refusal(digest keyhash.Digest, cause error) *failure.Error {
	event.KeyRefused.Log(g.Logger).Str("key_hash", digest.Short()).Err(cause).Send()
	switch cause {
	case ErrNoKey, ErrUnknownKey:
		return failure.New(failure.CodeInvalidKey, "the request carries no key that is known").WithCause(cause)
	}
	return failure.New(failure.CodeConfigUnavailable, "this node cannot find out now whether the key is known").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// awaitConfig returns nil once a read of the configuration that began after the call has succeeded, or once
// inForce returns true: the configuration may arrive in another way before a read begins. It returns the error of
// a failed read.
func (g *Gate) awaitConfig(ctx context.Context, inForce func() bool) error {
	g.once.Do(func() { g.readings = &sharedread.Readings{Read: g.Refresh, Every: readInterval, Now: g.Now} })
	reading := g.readings.Ask()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reading.Ended:
			return reading.Err
		case <-ticker.C:
			if inForce() {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
