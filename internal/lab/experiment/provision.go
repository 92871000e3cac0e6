package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	tenant          = "lab"
	modelBytes      = 1 << 30
	maxAnswerTokens = 4096
	provisionPause  = 500 * time.Millisecond
	chatPath        = "/v1/chat/completions"
	// probeBody asks a node for one token: it serves once it has the configuration and knows a runner.
	probeBody = `{"model":"base","messages":[{"role":"user","content":"probe"}],"max_tokens":1}`
)

// provision writes the configuration that the load needs through the admin API, waits until it is in force, and then
// until every node serves, so that a phase measures a fleet that is up.
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
	write := func() error {
		return fleet.Apply(ctx, started.Client(), started.AdminURL(started.Nodes[0]), adminKey, resources)
	}
	if err := persist(ctx, write); err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	for _, node := range started.Nodes {
		url := started.CallerURL(node) + chatPath
		probe := func() error { return sendBy(ctx, started.Client(), http.MethodPost, url, probeBody, callerKey) }
		if err := persist(ctx, probe); err != nil {
			return fmt.Errorf("waiting for %s to serve: %w", node.ID, err)
		}
	}
	return nil
}

// persist calls until it succeeds or the context ends.
func persist(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		if !sleep(ctx, provisionPause) {
			return err
		}
	}
}
