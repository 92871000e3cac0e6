package enginesim

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
)

// A former owner's placement is refused even for a model that no newer owner has touched.
func TestPlacementIsFencedByTheOwnersEpoch(t *testing.T) {
	book := newOrderBook(Options{Models: []string{"m"}})
	assert.Assert(t, book.admit(dialect.Order{Kind: string(engine.OrderOwn), Epoch: 2, Node: "b"}))
	for _, kind := range []engine.OrderKind{
		engine.OrderLoadModel, engine.OrderUnloadModel, engine.OrderLoadAdapter, engine.OrderUnloadAdapter, engine.OrderRole,
	} {
		assert.Assert(t, !book.admit(dialect.Order{Kind: string(kind), Epoch: 1, Model: "m", Adapter: "a"}), string(kind))
		assert.Assert(t, book.admit(dialect.Order{Kind: string(kind), Epoch: 2, Model: "m", Adapter: "a"}), string(kind))
	}
	assert.Assert(t, book.admit(dialect.Order{Kind: string(engine.OrderLeave), Epoch: 1}))
}
