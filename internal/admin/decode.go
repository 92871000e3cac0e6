package admin

import (
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/event"
)

// NewDecode returns how a node's replica makes the snapshot it serves from. Resources that this program cannot read
// are left out and logged: the node must go on serving the others.
//
// The replica calls it with one state after another, never at once, so that it may keep the snapshot it made last.
func NewDecode(logger zerolog.Logger) confsync.Decode {
	previous := catalog.Empty()
	return func(state *confsync.State) (*catalog.Snapshot, error) {
		snapshot, skipped := catalog.LoadAfter(previous, resourcesOf(state))
		for _, problem := range skipped {
			event.AdminResourceSkipped.Log(logger).Int64("revision", state.Revision).Stringer("problem", problem).Send()
		}
		// A deletion makes a revision that no resource has.
		snapshot.Revision = state.Revision
		previous = snapshot
		return snapshot, nil
	}
}

func resourcesOf(state *confsync.State) []catalog.Resource {
	stored := state.Resources()
	resources := make([]catalog.Resource, 0, len(stored))
	for _, resource := range stored {
		resources = append(resources, catalog.Resource{
			Kind:     resource.Kind,
			Name:     resource.Name,
			Revision: resource.Revision,
			Spec:     resource.Value,
		})
	}
	return resources
}
