package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// ErrRefused means that the admin API refused the first configuration.
const ErrRefused = failure.Kind("fleet: configuration refused")

// Names of the first configuration.
const (
	// OnlineTenant and BatchTenant own the online requests and the batch jobs of the lab.
	OnlineTenant = "desk"
	BatchTenant  = "planning"
	// Service answers repeatable requests; OnceService runs each request at most once.
	Service     = "assistant"
	OnceService = "confirmation"

	configureWait   = 10 * time.Second
	maxErrorBytes   = 4096
	defaultMaximum  = 256
	modelBytes      = 1 << 30
	modelVersion    = "1"
	onlineWeight    = 2
	batchWeight     = 1
	minimumReplicas = 1
)

// Keys are the secrets of the first configuration.
type Keys struct {
	Admin, Online, Batch string
}

// Configure writes the first configuration through the admin API of a node and waits until it is in force.
func (f *Fleet) Configure(ctx context.Context, keys Keys) error {
	resources, err := FirstResources(f.Plan.Models, f.Plan.Zones, keys)
	if err != nil {
		return err
	}
	return Apply(ctx, f.client, f.AdminURL(f.Nodes[0]), keys.Admin, resources)
}

// FirstResources returns a configuration with two tenants, their keys, and two services on the first model.
func FirstResources(models []string, zones []Zone, keys Keys) ([]catalog.Resource, error) {
	typed := []any{
		&catalog.Tenant{Name: OnlineTenant, Weight: onlineWeight},
		&catalog.Tenant{Name: BatchTenant, Weight: batchWeight},
		&catalog.Key{ID: "online", Tenant: OnlineTenant, Role: catalog.RoleCaller, Digest: auth.Digest(keys.Online)},
		&catalog.Key{ID: "batch", Tenant: BatchTenant, Role: catalog.RoleCaller, Digest: auth.Digest(keys.Batch)},
	}
	for _, model := range models {
		typed = append(typed, &catalog.Model{Name: model, Version: modelVersion, MemoryBytes: modelBytes})
	}
	model := models[0]
	typed = append(typed, newService(Service, model, true), newService(OnceService, model, false))
	for _, zone := range zones {
		typed = append(typed, &catalog.Zone{Name: ident.Zone(zone.Name), Region: ident.Region(zone.Region)})
	}
	resources := make([]catalog.Resource, len(typed))
	for index, each := range typed {
		encoded, err := catalog.Encode(each)
		if err != nil {
			return nil, fmt.Errorf("encode first configuration: %w", err)
		}
		resources[index] = encoded
	}
	return resources, nil
}

func newService(name, model string, repeatable bool) *catalog.Service {
	return &catalog.Service{
		Name:       name,
		Model:      model,
		MaxTokens:  defaultMaximum,
		Repeatable: repeatable,
		MinCopies:  minimumReplicas,
	}
}

// Apply writes resources through the admin API at a base URL, over what is there, and waits until they are in force.
func Apply(ctx context.Context, client *http.Client, admin, key string, resources []catalog.Resource) error {
	body, err := json.Marshal(resources)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	query := url.Values{"overwrite": {"true"}, "wait": {configureWait.String()}}
	target := admin + "/admin/v1/apply?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Errorf("%w: %s: %s", ErrRefused, response.Status, detail)
}
