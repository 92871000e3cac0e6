package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failures of writing a configuration.
const (
	// ErrRefused means that the admin API refused the configuration for good.
	ErrRefused = failure.Kind("fleet: configuration refused")
	// ErrNotInForce means that the configuration was not taken, or not by every node, in the time allowed.
	ErrNotInForce = failure.Kind("fleet: configuration not in force")
)

// Names of the first configuration.
const (
	// OnlineTenant and BatchTenant own the online requests and the batch jobs of the lab.
	OnlineTenant = "desk"
	BatchTenant  = "planning"
	// Service answers repeatable requests; OnceService runs each request at most once.
	Service     = "assistant"
	OnceService = "confirmation"

	configureWait   = 10 * time.Second
	configurePause  = 500 * time.Millisecond
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
	return Encode(typed...)
}

// Encode returns resources of typed values, such as *catalog.Tenant, in their order.
func Encode(typed ...any) ([]catalog.Resource, error) {
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

// Apply writes resources through the admin API at a base URL, over what is there, and waits until they are in force. It
// tries again until ctx ends, unless the API refuses the resources themselves; then the error is ErrRefused.
func Apply(ctx context.Context, client *http.Client, base, key string, resources []catalog.Resource) error {
	body, err := json.Marshal(resources)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	api := adminAPI{client: client, base: base, key: key}
	for {
		err := api.attempt(ctx, body)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(configurePause):
		}
	}
}

// adminAPI calls the admin API of one node.
type adminAPI struct {
	client    *http.Client
	base, key string
}

// attempt writes encoded resources and waits once for their revision. It asks for the state apart from the write, since
// a write that changes nothing, such as one after a lost answer, is answered without it.
func (a adminAPI) attempt(ctx context.Context, body []byte) error {
	var written admin.ChangeResult
	if err := a.call(ctx, http.MethodPost, "/admin/v1/apply?overwrite=true", body, &written); err != nil {
		return err
	}
	query := url.Values{
		"revision": {strconv.FormatInt(written.Revision, 10)},
		"wait":     {configureWait.String()},
	}
	var status admin.ConfigurationStatus
	if err := a.call(ctx, http.MethodGet, "/admin/v1/status/configuration?"+query.Encode(), nil, &status); err != nil {
		return err
	}
	if !status.InForce {
		return fmt.Errorf("%w: revision %d", ErrNotInForce, written.Revision)
	}
	return nil
}

// call makes one call and decodes the answer. An answer that refuses the call itself is ErrRefused.
func (a adminAPI) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	switch {
	case refuses(response.StatusCode):
		return fmt.Errorf("%w: %s: %.500s", ErrRefused, response.Status, content)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s: %.500s", ErrNotInForce, response.Status, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	return nil
}

// refuses tells the statuses that another attempt would get too from those of a node that is starting or busy, or that
// another change came first.
func refuses(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
