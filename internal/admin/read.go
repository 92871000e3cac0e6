package admin

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// Bounds of a history listing.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 500
)

// list answers from this node's copy of the configuration.
func (s *server) list(r *request) (any, error) {
	kind, err := r.kind()
	if err != nil {
		return nil, err
	}
	snapshot := s.Source.Current()
	return ResourceList{Revision: snapshot.Revision, Items: snapshot.List(kind)}, nil
}

// get answers from this node's copy of the configuration. The ETag is what If-Match takes.
func (s *server) get(r *request) (any, error) {
	reference, err := r.reference()
	if err != nil {
		return nil, err
	}
	resource, err := s.Source.Current().Find(reference)
	if errors.Is(err, catalog.ErrNotFound) {
		return nil, notFound(reference, err)
	}
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", reference, err)
	}
	r.header.Set("ETag", strconv.Quote(strconv.FormatInt(resource.Revision, 10)))
	return resource, nil
}

func notFound(reference catalog.Reference, cause error) error {
	return failure.New(failure.CodeNotFound, "there is no %s", reference).WithCause(cause)
}

func (s *server) history(r *request) (any, error) {
	before, err := r.number(queryBefore, 0, math.MaxInt64)
	if err != nil {
		return nil, err
	}
	limit, err := r.number(queryLimit, defaultHistoryLimit, maxHistoryLimit)
	if err != nil {
		return nil, err
	}
	changes, err := s.Writer.History(r.Context(), before, int(limit))
	if err != nil {
		return nil, fmt.Errorf("reading the history: %w", err)
	}
	answer := HistoryList{Items: make([]HistoryEntry, 0, len(changes))}
	for _, change := range changes {
		answer.Items = append(answer.Items, historyEntry(change))
	}
	return answer, nil
}

func historyEntry(change confsync.Change) HistoryEntry {
	entry := HistoryEntry{
		Revision: change.Revision,
		ChangeID: change.ID,
		Author:   change.Author,
		Comment:  change.Comment,
		Time:     change.At,
		Edits:    make([]HistoryEdit, 0, len(change.Resources)),
	}
	for _, changed := range change.Resources {
		edit := HistoryEdit{EditResult: resultOf(changed)}
		if changed.Previous != nil {
			edit.Before = changed.Previous.Value
		}
		if !changed.Resource.Deleted {
			edit.After = changed.Resource.Value
		}
		entry.Edits = append(entry.Edits, edit)
	}
	return entry
}

func resultOf(changed confsync.ChangedResource) EditResult {
	result := EditResult{Kind: changed.Resource.Kind, Name: changed.Resource.Name, Action: ActionUpdate}
	switch {
	case changed.Resource.Deleted:
		result.Action = ActionDelete
	case changed.Previous == nil:
		result.Action = ActionCreate
	}
	return result
}

// configurationStatus tells where a revision, by default this node's, is in force.
func (s *server) configurationStatus(r *request) (any, error) {
	current := s.Source.Current().Revision
	revision, err := r.number(queryRevision, current, math.MaxInt64)
	if err != nil {
		return nil, err
	}
	wait, err := r.wait()
	if err != nil {
		return nil, err
	}
	if wait == 0 {
		return configurationStatus(current, s.Status.Status(r.Context(), revision)), nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	// An error only says that the time was over first; the status says the rest.
	status, _ := s.Status.WaitInForce(ctx, revision)
	return configurationStatus(s.Source.Current().Revision, status), nil
}

func configurationStatus(current int64, status confsync.Status) ConfigurationStatus {
	return ConfigurationStatus{
		Current:  current,
		Revision: status.Revision,
		InForce:  status.InForce(),
		Zones:    status.Zones,
	}
}

var errNoFleet = failure.New(failure.CodeNotFound, "this process does not know the fleet")

func (s *server) nodes(r *request) (any, error) {
	if s.Fleet == nil {
		return nil, errNoFleet
	}
	nodes, err := s.Fleet.Nodes(r.Context())
	if err != nil {
		return nil, fmt.Errorf("reading the state of nodes: %w", err)
	}
	return NodeList{Items: listed(nodes)}, nil
}

func (s *server) runners(r *request) (any, error) {
	if s.Fleet == nil {
		return nil, errNoFleet
	}
	runners, err := s.Fleet.Runners(r.Context())
	if err != nil {
		return nil, fmt.Errorf("reading the state of runners: %w", err)
	}
	return RunnerList{Items: listed(runners)}, nil
}

// listed returns the list, which must not be null in JSON when it is empty.
func listed[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
