package node

import (
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/event"
)

// catalogDecoder makes the catalog snapshot of an accepted configuration. Resources that this program cannot decode are
// left out and logged: an old node goes on serving a configuration that a newer one accepted.
func catalogDecoder(logger zerolog.Logger) confsync.Decode {
	return func(state *confsync.State) (*catalog.Snapshot, error) {
		snapshot, problems := catalog.Load(storedResources(state))
		for _, problem := range problems {
			event.CatalogLeftOut.Log(logger).Int64("revision", state.Revision).Str("problem", problem.String()).Send()
		}
		snapshot.Revision = state.Revision
		return snapshot, nil
	}
}

func storedResources(state *confsync.State) []catalog.Resource {
	stored := state.Resources()
	resources := make([]catalog.Resource, len(stored))
	for index, resource := range stored {
		resources[index] = catalog.Resource{
			Kind:     resource.Kind,
			Name:     resource.Name,
			Revision: resource.Revision,
			Spec:     resource.Value,
		}
	}
	return resources
}
