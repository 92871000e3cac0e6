package kvtest_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

func TestLeaseLapses(t *testing.T) {
	now := time.Unix(0, 0)
	data := kvtest.NewData(func() time.Time { return now })
	store := kvtest.NewStore(data, 1)
	ctx := context.Background()
	lease, err := store.Grant(ctx, 10*time.Second)
	assert.NilError(t, err)
	_, err = store.Commit(ctx, nil, []kv.Write{{Key: "held", Lease: lease}})
	assert.NilError(t, err)

	now = now.Add(9 * time.Second)
	_, err = store.KeepAlive(ctx, lease)
	assert.NilError(t, err)
	now = now.Add(9 * time.Second)
	_, err = store.Get(ctx, "held")
	assert.NilError(t, err)
	now = now.Add(1 * time.Second)
	_, err = store.Get(ctx, "held")
	assert.ErrorIs(t, err, kv.ErrNotFound)
	_, err = store.KeepAlive(ctx, lease)
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)
}

func TestFaults(t *testing.T) {
	store := kvtest.New(1)
	ctx := context.Background()
	write := []kv.Write{{Key: "k"}}
	tests := []struct {
		faults  kvtest.Faults
		want    error
		applied bool
	}{
		{kvtest.Faults{Outage: true}, kv.ErrUnavailable, false},
		{kvtest.Faults{RateLimited: 1}, kv.ErrRateLimited, false},
		{kvtest.Faults{LoseRequest: 1}, kv.ErrOutcomeUnknown, false},
		{kvtest.Faults{LoseAnswer: 1}, kv.ErrOutcomeUnknown, true},
		{kvtest.Faults{LoseContact: true}, kv.ErrOutcomeUnknown, true},
	}
	for _, test := range tests {
		store.SetFaults(test.faults)
		_, err := store.Commit(ctx, nil, write)
		assert.ErrorIs(t, err, test.want)
		_, _, exists := store.Data().Get("k")
		assert.Equal(t, exists, test.applied)
	}
}
