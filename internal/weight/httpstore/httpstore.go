// Package httpstore reads the platform's weight store as JSON over HTTP and implements weight.Store.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"mallowlatch.example/mallowlatch/internal/weight"
)

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * time.Second

const maxAnswerBytes = 1 << 20

// Store is a weight.Store over HTTP. It is safe for concurrent use.
type Store struct {
	endpoint string
	client   *http.Client
}

var _ weight.Store = (*Store)(nil)

// New returns a Store at an endpoint, "http://IP:PORT". A nil client means the default one.
func New(endpoint string, client *http.Client) *Store {
	if client == nil {
		client = &http.Client{Timeout: DefaultTimeout}
	}
	return &Store{endpoint: endpoint, client: client}
}

// Describe implements weight.Store. Failures wrap weight.ErrNotFound or weight.ErrUnavailable.
func (s *Store) Describe(ctx context.Context, name, version string) (weight.Artifact, error) {
	var artifact weight.Artifact
	path := "/artifacts/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	if err := s.call(ctx, http.MethodGet, path, nil, &artifact); err != nil {
		return weight.Artifact{}, fmt.Errorf("describe %s %s: %w", name, version, err)
	}
	return artifact, nil
}

// reservation is the service's answer to a reservation.
type reservation struct {
	NotBeforeMilliseconds int64 `json:"not_before_ms"`
}

// Reserve implements weight.Store. A reservation whose answer was lost stays booked: its cost is a longer wait for
// others, never a load above the rate. Failures wrap weight.ErrUnavailable.
func (s *Store) Reserve(ctx context.Context, artifact weight.Artifact) (weight.Permit, error) {
	body, err := json.Marshal(artifact)
	if err != nil {
		return weight.Permit{}, fmt.Errorf("encode reservation: %v: %w", err, weight.ErrUnavailable)
	}
	var answer reservation
	if err := s.call(ctx, http.MethodPost, "/reservations", body, &answer); err != nil {
		return weight.Permit{}, fmt.Errorf("reserve %s %s: %w", artifact.Name, artifact.Version, err)
	}
	return weight.Permit{NotBefore: time.Duration(answer.NotBeforeMilliseconds) * time.Millisecond}, nil
}

func (s *Store) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, s.endpoint+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %v: %w", err, weight.ErrUnavailable)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("call: %v: %w", err, weight.ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return fmt.Errorf("call: status %d: %w", response.StatusCode, weight.ErrNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call: status %d: %w", response.StatusCode, weight.ErrUnavailable)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %v: %w", err, weight.ErrUnavailable)
	}
	return nil
}
