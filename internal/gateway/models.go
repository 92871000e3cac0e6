package gateway

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/request"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

const modelOwner = "mallowlatch"

func newModelObject(service catalog.Service) modelObject {
	return modelObject{ID: service.Name, Object: "model", OwnedBy: modelOwner}
}

// listModels lists the services open to the tenant, by name.
func (g *Gateway) listModels(exchange *exchange) error {
	models := make([]modelObject, 0, len(exchange.snapshot.Services))
	for _, service := range exchange.snapshot.Services {
		if request.Allowed(service, exchange.key.Tenant) {
			models = append(models, newModelObject(service))
		}
	}
	slices.SortFunc(models, func(first, second modelObject) int { return cmp.Compare(first.ID, second.ID) })
	return exchange.answer(listObject[modelObject]{Object: "list", Data: models})
}

func (g *Gateway) getModel(exchange *exchange) error {
	service, err := request.Service(exchange.snapshot, exchange.key.Tenant, exchange.objectID())
	if err != nil {
		return err
	}
	return exchange.answer(newModelObject(service))
}
