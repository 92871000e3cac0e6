package httpstore_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/weightsim"
	"mallowlatch.example/mallowlatch/internal/weight"
	"mallowlatch.example/mallowlatch/internal/weight/httpstore"
)

func TestReservationsShareTheRate(t *testing.T) {
	now := time.Unix(1000, 0)
	service := weightsim.New(weightsim.Faults{BytesPerSecond: 100}, func() time.Time { return now })
	listener := httptest.NewServer(service.Handler())
	defer listener.Close()
	store := httpstore.New(listener.URL, nil)
	ctx := context.Background()
	artifact := weight.Artifact{Name: "base", Version: "v1", Bytes: 500}

	_, err := store.Describe(ctx, "base", "v1")
	assert.ErrorIs(t, err, weight.ErrNotFound)
	service.Put(artifact)
	described, err := store.Describe(ctx, "base", "v1")
	assert.NilError(t, err)
	assert.DeepEqual(t, described, artifact)

	for i, want := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
		permit, err := store.Reserve(ctx, artifact)
		assert.NilError(t, err)
		assert.Equal(t, permit.NotBefore, want, "reservation %d", i)
	}
	now = now.Add(12 * time.Second)
	permit, err := store.Reserve(ctx, artifact)
	assert.NilError(t, err)
	assert.Equal(t, permit.NotBefore, 3*time.Second)

	service.SetFaults(weightsim.Faults{CallsPerSecond: 1})
	_, err = store.Reserve(ctx, artifact)
	assert.NilError(t, err)
	_, err = store.Reserve(ctx, artifact)
	assert.ErrorIs(t, err, weight.ErrUnavailable)
}
