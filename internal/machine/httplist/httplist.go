// Package httplist reads the platform's machine list as JSON over HTTP and implements machine.Lister.
package httplist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/machine"
)

// DefaultTimeout bounds one reading.
const DefaultTimeout = 2 * time.Second

// maxListBytes bounds the list: 1,000 runners take about 120 KB.
const maxListBytes = 4 << 20

// Lister is a machine.Lister over HTTP. It is safe for concurrent use.
type Lister struct {
	url    string
	client *http.Client
}

var _ machine.Lister = (*Lister)(nil)

// New returns a Lister that reads the URL of the list, "http://IP:PORT/machines". A nil client means the default one.
func New(url string, client *http.Client) *Lister {
	if client == nil {
		client = &http.Client{Timeout: DefaultTimeout}
	}
	return &Lister{url: url, client: client}
}

// List implements machine.Lister. Every failure wraps machine.ErrUnavailable.
func (l *Lister) List(ctx context.Context) (machine.List, error) {
	var list machine.List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return list, fmt.Errorf("make request: %v: %w", err, machine.ErrUnavailable)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return list, fmt.Errorf("read list: %v: %w", err, machine.ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("read list: status %d: %w", response.StatusCode, machine.ErrUnavailable)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return machine.List{}, fmt.Errorf("decode list: %v: %w", err, machine.ErrUnavailable)
	}
	return list, nil
}
