package gateway

import (
	"strconv"

	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	defaultPage = 20
	maximumPage = 100
	// maximumFilePage is larger because client libraries ask for long pages of files.
	maximumFilePage = 10_000
	defaultFilePage = 1000
)

// listObject is a page of objects.
type listObject[Object any] struct {
	Object  string   `json:"object"`
	Data    []Object `json:"data"`
	FirstID string   `json:"first_id,omitempty"`
	LastID  string   `json:"last_id,omitempty"`
	HasMore bool     `json:"has_more"`
}

// pageLimit reads the limit of a list.
func (e *exchange) pageLimit(byDefault, maximum int) (int, error) {
	given := e.request.URL.Query().Get("limit")
	if given == "" {
		return byDefault, nil
	}
	limit, err := strconv.Atoi(given)
	if err != nil || limit < 1 || limit > maximum {
		return 0, failure.New(failure.CodeInvalidRequest, "limit must be from 1 to %d", maximum).WithParam("limit")
	}
	return limit, nil
}

// after reads the name of the last object of the page before.
func (e *exchange) after() string { return e.request.URL.Query().Get("after") }
