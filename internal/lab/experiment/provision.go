package experiment

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	provisionPause = 500 * time.Millisecond
	chatPath       = "/v1/chat/completions"
	// probeBody asks a node for one token: it serves once it has the configuration and knows a runner.
	probeBody      = `{"model":"base","messages":[{"role":"user","content":"probe"}],"max_tokens":1}`
	manifestFormat = `kind: tenants
spec: {name: lab, weight: 1}
---
kind: keys
spec: {id: lab-caller, tenant: lab, role: caller, digest: %s}
---
kind: models
spec: {name: %s, version: "1", memory_bytes: 1073741824}
---
kind: services
spec: {name: %s, model: %s, max_tokens: 4096, repeatable: true}
`
)

// provision writes the configuration that the load needs through the admin API, waits until it is in force, and then
// until every node serves, so that a phase measures a fleet that is up.
func provision(ctx context.Context, started *fleet.Fleet) error {
	digest := sha256.Sum256([]byte(callerKey))
	manifest := fmt.Appendf(nil, manifestFormat, hex.EncodeToString(digest[:]), service, service, service)
	url := started.AdminURL(started.Nodes[0]) + "/admin/v1/apply?overwrite=true&wait=20s"
	if err := persist(ctx, func() error { return apply(ctx, started.Client(), url, manifest) }); err != nil {
		return err
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

func apply(ctx context.Context, client *http.Client, url string, manifest []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(manifest))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	request.Header.Set("Authorization", "Bearer "+adminKey)
	request.Header.Set("Content-Type", "application/yaml")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	var result admin.ChangeResult
	if err := json.Unmarshal(content, &result); err != nil || response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w: configuration answered %d: %.500s", ErrSetup, response.StatusCode, content)
	}
	if result.InForce == nil || !*result.InForce {
		return fmt.Errorf("%w: configuration is not in force: %.500s", ErrSetup, content)
	}
	return nil
}
