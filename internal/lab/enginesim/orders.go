package enginesim

import (
	"net/http"
	"slices"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Roles of an engine.
const (
	roleMixed  = "mixed"
	roleOnline = "online"
	roleBatch  = "batch"
)

// orderBook is what fenced orders have made of the engine. The engine's lock guards it.
type orderBook struct {
	// epochs holds the highest accepted epoch by subject.
	epochs   map[string]uint64
	owner    string
	models   []dialect.Model
	adapters []string
	role     string
	leaving  bool
}

const ownerSubject = "owner"

func newOrderBook(options Options) orderBook {
	book := orderBook{epochs: map[string]uint64{}, role: roleMixed, adapters: slices.Clone(options.Adapters)}
	for _, model := range options.Models {
		book.models = append(book.models, dialect.Model{Name: model, Version: "1"})
	}
	return book
}

// subject returns what the order's epoch fences; an unknown kind gives an empty subject.
func subject(order dialect.Order) string {
	switch engine.OrderKind(order.Kind) {
	case engine.OrderOwn:
		return ownerSubject
	case engine.OrderLoadModel, engine.OrderUnloadModel:
		return "model/" + order.Model
	case engine.OrderLoadAdapter, engine.OrderUnloadAdapter:
		return "adapter/" + order.Adapter
	case engine.OrderRole:
		return "role"
	case engine.OrderLeave, engine.OrderStay:
		return "leave"
	default:
		return ""
	}
}

// placement says whether the order is the owner's to give, so that its claim's epoch fences it whatever its subject.
func placement(order dialect.Order) bool {
	switch engine.OrderKind(order.Kind) {
	case engine.OrderLoadModel, engine.OrderUnloadModel, engine.OrderLoadAdapter, engine.OrderUnloadAdapter, engine.OrderRole:
		return true
	default:
		return false
	}
}

// admit checks the order's epoch and books it. It returns false if the order is stale: a lower epoch than one seen,
// another node's claim at the owner's epoch, or placement by a node whose claim has been overtaken.
func (b *orderBook) admit(order dialect.Order) bool {
	about := subject(order)
	seen := b.epochs[about]
	if order.Epoch < seen {
		return false
	}
	if placement(order) && order.Epoch < b.epochs[ownerSubject] {
		return false
	}
	if about == ownerSubject && order.Epoch == seen && seen > 0 && order.Node != b.owner {
		return false
	}
	b.epochs[about] = order.Epoch
	return true
}

// apply changes the engine's state as the order says.
func (b *orderBook) apply(order dialect.Order) {
	switch engine.OrderKind(order.Kind) {
	case engine.OrderOwn:
		b.owner = order.Node
	case engine.OrderLoadModel:
		b.unloadModel(order.Model)
		b.models = append(b.models, dialect.Model{Name: order.Model, Version: order.Version})
	case engine.OrderUnloadModel:
		b.unloadModel(order.Model)
	case engine.OrderLoadAdapter:
		b.unloadAdapter(order.Adapter)
		b.adapters = append(b.adapters, order.Adapter)
	case engine.OrderUnloadAdapter:
		b.unloadAdapter(order.Adapter)
	case engine.OrderRole:
		b.role = order.Role
	case engine.OrderLeave:
		b.leaving = true
	case engine.OrderStay:
		b.leaving = false
	}
}

func (b *orderBook) unloadModel(name string) {
	b.models = slices.DeleteFunc(b.models, func(model dialect.Model) bool { return model.Name == name })
}

func (b *orderBook) unloadAdapter(name string) {
	b.adapters = slices.DeleteFunc(b.adapters, func(adapter string) bool { return adapter == name })
}

func (b *orderBook) reply() dialect.OrderReply {
	return dialect.OrderReply{Epoch: b.epochs[ownerSubject], Owner: b.owner}
}

// refuse says why a submission may not run here, or returns nil.
func (b *orderBook) refuse(submitted submission) *refusal {
	if b.leaving {
		return &refusal{http.StatusServiceUnavailable, dialect.CodeLeaving, "the engine is leaving", 1}
	}
	if submitted.class == inference.Batch && submitted.ownerEpoch < b.epochs[ownerSubject] {
		return &refusal{http.StatusConflict, dialect.CodeFenced, "the owner epoch is stale", 0}
	}
	if b.role != roleMixed && b.role != submitted.class.String() {
		return &refusal{http.StatusTooManyRequests, dialect.CodeBusy, "the engine's role excludes the class", 1}
	}
	if !b.hasModel(submitted.prompt.Model) {
		return &refusal{http.StatusNotFound, dialect.CodeModelNotLoaded, "the model is not loaded", 0}
	}
	if submitted.adapter != "" && !slices.Contains(b.adapters, submitted.adapter) {
		return &refusal{http.StatusNotFound, dialect.CodeModelNotLoaded, "the adapter is not loaded", 0}
	}
	return nil
}

func (b *orderBook) hasModel(name string) bool {
	return slices.ContainsFunc(b.models, func(model dialect.Model) bool { return model.Name == name })
}
