// Package weight is the interface to the platform's weight store, which engines load from and which is rate-limited.
package weight

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the weight store.
const (
	ErrUnavailable = failure.Kind("weight store: unavailable")
	ErrNotFound    = failure.Kind("weight store: no such weights")
)

// Artifact describes the weights of a model or adapter version.
type Artifact struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Permit is a reservation to load weights at the store's rate.
type Permit struct {
	// NotBefore is how long to wait before ordering the load.
	NotBefore time.Duration
}

// Store describes weights and shares out the store's rate.
type Store interface {
	Describe(ctx context.Context, name, version string) (Artifact, error)
	Reserve(ctx context.Context, artifact Artifact) (Permit, error)
}
