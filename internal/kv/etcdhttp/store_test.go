package etcdhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
)

// newService returns a stand-in and a client of it named "client".
func newService(t *testing.T, options ...etcdhttp.Option) (*kvsim.Server, *etcdhttp.Store, string) {
	t.Helper()
	service := kvsim.New(1)
	listener := httptest.NewServer(service.Handler())
	t.Cleanup(listener.Close)
	options = append([]etcdhttp.Option{etcdhttp.WithClientName("client")}, options...)
	store, err := etcdhttp.New([]string{listener.URL}, options...)
	assert.NilError(t, err)
	return service, store, listener.URL
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestContract runs the same calls against the adapter and the in-memory store, which must answer alike.
func TestContract(t *testing.T) {
	_, adapter, _ := newService(t)
	for name, store := range map[string]kv.Store{"etcdhttp": adapter, "kvtest": kvtest.New(1)} {
		t.Run(name, func(t *testing.T) {
			testCompareAndSwap(t, store)
			testWatchAndLease(t, store)
		})
	}
}

func testCompareAndSwap(t *testing.T, store kv.Store) {
	ctx := testContext(t)
	_, err := store.Get(ctx, "a/1")
	assert.ErrorIs(t, err, kv.ErrNotFound)

	first, err := store.Commit(ctx, []kv.Compare{{Key: "a/1"}}, []kv.Write{
		{Key: "a/1", Value: []byte{0, 255}}, {Key: "a/2"}, {Key: "b", Value: []byte("x")},
	})
	assert.NilError(t, err)
	assert.Assert(t, first.Succeeded)

	lost, err := store.Commit(ctx, []kv.Compare{{Key: "a/1"}}, []kv.Write{{Key: "a/1", Delete: true}})
	assert.NilError(t, err)
	assert.DeepEqual(t, lost, kv.TransactionResult{Revision: first.Revision})

	second, err := store.Commit(ctx, []kv.Compare{{Key: "a/1", ModRevision: first.Revision}},
		[]kv.Write{{Key: "a/1", Value: []byte("v")}, {Key: "b", Delete: true}})
	assert.NilError(t, err)
	assert.Assert(t, second.Succeeded && second.Revision > first.Revision)

	pairs, revision, err := store.List(ctx, "a/")
	assert.NilError(t, err)
	assert.Equal(t, revision, second.Revision)
	assert.DeepEqual(t, pairs[0], kv.Pair{
		Key: "a/1", Value: []byte("v"), CreateRevision: first.Revision, ModRevision: second.Revision,
	})
	assert.Equal(t, len(pairs), 2)
	_, err = store.Get(ctx, "b")
	assert.ErrorIs(t, err, kv.ErrNotFound)
}

func testWatchAndLease(t *testing.T, store kv.Store) {
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	_, revision, err := store.List(ctx, "w/")
	assert.NilError(t, err)
	lease, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	ttl, err := store.KeepAlive(ctx, lease)
	assert.NilError(t, err)
	assert.Equal(t, ttl, time.Minute)
	_, err = store.Commit(ctx, nil, []kv.Write{{Key: "w/held", Lease: lease}, {Key: "other"}})
	assert.NilError(t, err)
	assert.NilError(t, store.Revoke(ctx, lease))
	assert.ErrorIs(t, store.Revoke(ctx, lease), kv.ErrLeaseNotFound)
	_, err = store.KeepAlive(ctx, lease)
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)
	_, err = store.Commit(ctx, nil, []kv.Write{{Key: "w/late", Lease: lease}})
	assert.ErrorIs(t, err, kv.ErrLeaseNotFound)

	responses, err := store.Watch(ctx, "w/", revision)
	assert.NilError(t, err)
	events := collect(t, responses, 2)
	assert.Equal(t, events[0].Pair.Key, "w/held")
	assert.Equal(t, events[0].Pair.Lease, lease)
	assert.Assert(t, events[1].Deleted && events[1].Pair.ModRevision > events[0].Pair.ModRevision)
	cancel()
	for response := range responses {
		assert.NilError(t, response.Err)
	}
}

// collect reads events until it has the number wanted.
func collect(t *testing.T, responses <-chan kv.WatchResponse, want int) []kv.WatchEvent {
	t.Helper()
	var events []kv.WatchEvent
	for len(events) < want {
		response, open := <-responses
		assert.Assert(t, open, "watch closed after %d events", len(events))
		assert.NilError(t, response.Err)
		events = append(events, response.Events...)
	}
	return events
}

func TestFailuresOfAChange(t *testing.T) {
	write := []kv.Write{{Key: "k", Value: []byte("v")}}
	tests := []struct {
		name    string
		faults  kvsim.Faults
		want    error
		applied bool
	}{
		{"answer lost", kvsim.Faults{LoseNextAnswers: 1}, kv.ErrOutcomeUnknown, true},
		{"refused in an outage", kvsim.Faults{Outage: kvsim.OutageRefuse}, kv.ErrUnavailable, false},
		{"hanging in an outage", kvsim.Faults{Outage: kvsim.OutageHang}, kv.ErrOutcomeUnknown, false},
		{"cut off", kvsim.Faults{CutOffClients: []string{"client"}}, kv.ErrOutcomeUnknown, false},
		{"another client cut off", kvsim.Faults{CutOffClients: []string{"other"}}, nil, true},
		{"beyond the rate", kvsim.Faults{RatePerSecond: 1e-9}, kv.ErrRateLimited, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service, store, _ := newService(t, etcdhttp.WithCallTimeout(300*time.Millisecond))
			if test.faults.RatePerSecond > 0 {
				service.SetFaults(test.faults)
				_, err := store.Get(testContext(t), "uses up the burst")
				assert.ErrorIs(t, err, kv.ErrNotFound)
			} else {
				service.SetFaults(test.faults)
			}
			_, err := store.Commit(testContext(t), nil, write)
			assert.Assert(t, errors.Is(err, test.want), "got %v", err)
			_, _, exists := service.Data().Get("k")
			assert.Equal(t, exists, test.applied)
		})
	}
}

func TestNothingListening(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	listener.Close()
	store, err := etcdhttp.New([]string{listener.URL})
	assert.NilError(t, err)
	_, err = store.Commit(testContext(t), nil, []kv.Write{{Key: "k"}})
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, _, err = store.List(testContext(t), "k")
	assert.ErrorIs(t, err, kv.ErrUnavailable)

	_, _, live := newService(t)
	both, err := etcdhttp.New([]string{listener.URL, live})
	assert.NilError(t, err)
	_, err = both.Commit(testContext(t), nil, []kv.Write{{Key: "k"}})
	assert.NilError(t, err)
	_, err = etcdhttp.New(nil)
	assert.ErrorIs(t, err, etcdhttp.ErrNoEndpoint)
}

// TestEndpointThatHangsIsLeft has the first of two endpoints hang: the first call is lost, the next ones are not.
func TestEndpointThatHangsIsLeft(t *testing.T) {
	for _, outage := range []kvsim.Outage{kvsim.OutageHang, kvsim.OutageRefuse} {
		away, _, first := newService(t)
		away.SetFaults(kvsim.Faults{Outage: outage})
		_, _, second := newService(t)
		store, err := etcdhttp.New([]string{first, second}, etcdhttp.WithCallTimeout(300*time.Millisecond))
		assert.NilError(t, err)
		_, _, err = store.List(testContext(t), "k")
		assert.ErrorIs(t, err, kv.ErrUnavailable)
		for range 2 {
			_, err = store.Commit(testContext(t), nil, []kv.Write{{Key: "k"}})
			assert.NilError(t, err)
		}
	}
}

// TestErrorsAfterProposing checks that answers the service gives after it may have proposed a change stay unknown.
func TestErrorsAfterProposing(t *testing.T) {
	for _, body := range []string{
		`{"code":14,"message":"etcdserver: request timed out"}`,
		`{"code":14,"message":"etcdserver: leader changed"}`,
		"not JSON",
	} {
		listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(writer, body)
		}))
		store, err := etcdhttp.New([]string{listener.URL})
		assert.NilError(t, err)
		_, err = store.Commit(testContext(t), nil, []kv.Write{{Key: "k"}})
		assert.ErrorIs(t, err, kv.ErrOutcomeUnknown)
		_, err = store.Get(testContext(t), "k")
		assert.ErrorIs(t, err, kv.ErrUnavailable)
		listener.Close()
	}
}

// TestWatchResumes drops the watch between writes: every event must arrive once and in order.
func TestWatchResumes(t *testing.T) {
	service, store, _ := newService(t)
	ctx := testContext(t)
	responses, err := store.Watch(ctx, "w/", service.Data().Revision())
	assert.NilError(t, err)
	const writes = 9
	for i := range writes {
		_, err := store.Commit(ctx, nil, []kv.Write{{Key: "w/k", Value: fmt.Appendf(nil, "%d", i)}})
		assert.NilError(t, err)
		if i%3 == 2 {
			service.DropWatches()
		}
	}
	for i, event := range collect(t, responses, writes) {
		assert.Equal(t, string(event.Pair.Value), fmt.Sprint(i))
	}
}

func TestWatchCompacted(t *testing.T) {
	service, store, _ := newService(t)
	ctx := testContext(t)
	for range 3 {
		_, err := store.Commit(ctx, nil, []kv.Write{{Key: "w/k"}})
		assert.NilError(t, err)
	}
	service.Data().Compact(service.Data().Revision())
	responses, err := store.Watch(ctx, "w/", 1)
	assert.NilError(t, err)
	response := <-responses
	assert.ErrorIs(t, response.Err, kv.ErrCompacted)
	_, open := <-responses
	assert.Assert(t, !open)
}

// TestWireExamples sends the requests of the mapping's own documentation, in the fields' original spelling.
func TestWireExamples(t *testing.T) {
	_, _, url := newService(t)
	exchanges := []struct{ path, request, contains string }{
		{etcdwire.PathPut, `{"key": "Zm9v", "value": "YmFy"}`, `{"header":{"revision":"2"}}`},
		{etcdwire.PathRange, `{"key": "Zm9v"}`,
			`"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"`},
		{etcdwire.PathRange, `{"key": "Zm9v", "range_end": "Zm9w"}`, `"count":"1"`},
		{etcdwire.PathTxn, `{"compare":[{"target":"CREATE","key":"Zm9v","create_revision":"2"}],` +
			`"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`, `"succeeded":true`},
		{etcdwire.PathTxn, `{"compare":[{"version":"4","result":"EQUAL","target":"VERSION","key":"Zm9v"}],` +
			`"success":[{"request_range":{"key":"Zm9v"}}]}`, `{"header":{"revision":"3"}}`},
	}
	for _, exchange := range exchanges {
		response, err := http.Post(url+exchange.path, "application/json", strings.NewReader(exchange.request))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Assert(t, strings.Contains(string(body), exchange.contains), "%s: %s", exchange.path, body)
	}
}
