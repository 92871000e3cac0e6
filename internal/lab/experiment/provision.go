package experiment

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	tenant          = "lab"
	modelBytes      = 1 << 30
	maxAnswerTokens = 4096
)

// provision writes the configuration that the load needs through the admin API and waits until it is in force.
func provision(ctx context.Context, started *fleet.Fleet) error {
	resources, err := fleet.Encode(
		&catalog.Tenant{Name: tenant, Weight: 1},
		&catalog.Key{ID: "lab-caller", Tenant: tenant, Role: catalog.RoleCaller, Digest: auth.Digest(callerKey)},
		&catalog.Model{Name: service, Version: "1", MemoryBytes: modelBytes},
		&catalog.Service{Name: service, Model: service, MaxTokens: maxAnswerTokens, Repeatable: true},
	)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	if err := fleet.Apply(ctx, started.Client(), started.AdminURL(started.Nodes[0]), adminKey, resources); err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	return nil
}
