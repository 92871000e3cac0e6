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
	"mallowlatch.example/mallowlatch/internal/sharedread"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// checkEvery is the time between the beginnings of two readings: it bounds those that unknown keys cause.
	checkEvery = 100 * time.Millisecond
	// lookEvery is the time between two looks of a waiting request at the configuration in force.
	lookEvery = 30 * time.Millisecond
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

	once sync.Once
	// readings are those that requests wait for.
	readings *sharedread.Readings
}

// Tenant returns the holder of a key, or nil where the configuration names no tenants, or the request needs no key and has none
// that is known. The error is a *failure.Error of a request that was not run. A nil Gate knows no tenants.
func (g *Gate) Tenant(ctx context.Context, key string, public bool) (*work.Tenant, error) {
	if g == nil {
		return nil, nil
	}
	if g.Routes.Catalog() == nil {
		// A node that has no configuration yet cannot tell whether keys are needed.
		if err := g.makeSure(ctx, func() bool { return g.Routes.Catalog() != nil }); err != nil {
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
	if err := g.makeSure(ctx, func() bool { return g.Routes.Holder(digest) != nil }); err != nil {
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

// makeSure returns nil once a reading of the configuration that began after the call has ended, or what the caller waits for is in
// force: the configuration may come another way before a reading begins.
func (g *Gate) makeSure(ctx context.Context, inForce func() bool) error {
	g.once.Do(func() { g.readings = &sharedread.Readings{Read: g.Refresh, Every: checkEvery, Now: g.Now} })
	reading := g.readings.Ask()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-reading.Ended:
			return reading.Err
		case <-look.C:
			if inForce() {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
