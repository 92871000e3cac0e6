package storemeter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/reachability"
	"mallowlatch.example/mallowlatch/internal/storemeter"
)

// silentStore answers nothing to every call.
type silentStore struct{}

func (silentStore) Get(context.Context, string) (kv.Pair, int64, error) {
	return kv.Pair{}, 0, kv.ErrNotFound
}

func (silentStore) ListPage(context.Context, string, kv.PageOptions) (kv.Page, error) {
	return kv.Page{}, nil
}

func (silentStore) Changes(context.Context, string, int64, time.Duration) (kv.WatchResponse, error) {
	return kv.WatchResponse{}, kv.ErrUnavailable
}

func (silentStore) Commit(context.Context, []kv.Compare, []kv.Write) (kv.TransactionResult, error) {
	return kv.TransactionResult{}, kv.ErrRateLimited
}

func (silentStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) { return 7, nil }

func (silentStore) KeepAlive(context.Context, kv.LeaseID) (time.Duration, error) { return 0, nil }

func (silentStore) Revoke(context.Context, kv.LeaseID) error { return nil }

// TestCallsAreCountedByKind counts each call once, refused ones too, and forgets what was taken.
func TestCallsAreCountedByKind(t *testing.T) {
	ctx := context.Background()
	meter := storemeter.New(silentStore{})
	_, _, err := meter.Get(ctx, "job/data/one/header")
	assert.ErrorIs(t, err, kv.ErrNotFound)
	_, _, _ = meter.Get(ctx, "job/data/two/header")
	_, _ = meter.ListPage(ctx, "fleet/", kv.PageOptions{})
	_, err = meter.Changes(ctx, "job/live/", 0, 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = meter.Commit(ctx, nil, []kv.Write{{Key: "job/result/one/000"}, {Key: "job/left/one"}})
	assert.ErrorIs(t, err, kv.ErrRateLimited)
	lease, _ := meter.Grant(ctx, time.Second)
	assert.Equal(t, lease, kv.LeaseID(7))
	_, _ = meter.KeepAlive(ctx, lease)
	_ = meter.Revoke(ctx, lease)
	assert.DeepEqual(t, meter.Take(), map[string]int{
		"get job/data": 2, "list fleet/": 1, "watch job/live": 1, "commit job/result": 1, "grant": 1, "renew": 1, "revoke": 1,
	})
	assert.Equal(t, len(meter.Take()), 0)
}

// TestAnswersOfTheStoreAreNoted takes a refusal for an answer, and a call that its caller gave up for neither.
func TestAnswersOfTheStoreAreNoted(t *testing.T) {
	ctx := context.Background()
	meter := storemeter.New(silentStore{})
	meter.Heard = &reachability.Watch{}
	later := func() time.Time { return time.Now().Add(time.Minute) }
	fail := func(ctx context.Context) {
		for range 3 {
			_, err := meter.Changes(ctx, "job/live/", 0, 0)
			assert.ErrorIs(t, err, kv.ErrUnavailable)
		}
	}
	given, giveUp := context.WithCancel(ctx)
	giveUp()
	fail(given)
	assert.Assert(t, !meter.Heard.Partitioned(later()), "given up by the caller")
	fail(ctx)
	assert.Assert(t, meter.Heard.Partitioned(later()))
	_, err := meter.Commit(ctx, nil, nil)
	assert.ErrorIs(t, err, kv.ErrRateLimited)
	assert.Assert(t, !meter.Heard.Partitioned(later()), "a refusal is an answer")
}
