// Package machine is the interface to the platform's list of machines. The list lags, so it is one hint among several
// and never the only reason to give or withhold work.
package machine

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ErrUnavailable means that the list could not be read; keep the last one.
const ErrUnavailable = failure.Kind("machine list: unavailable")

// State is the platform's view of a machine.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Runner is an engine as the platform lists it.
type Runner struct {
	ID   ident.Runner `json:"id"`
	Zone ident.Zone   `json:"zone"`
	// Address is the IP address and port of the engine's HTTP API.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is one reading of the machine list.
type List struct {
	// Version grows with every change.
	Version uint64   `json:"version"`
	Runners []Runner `json:"runners"`
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) (List, error)
}
