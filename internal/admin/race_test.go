package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// operator raises the tenant's job limit by one, again and again, over one node of several, with lost answers, lost
// requests, rate limits and stale reads. If the limit at the end is the number of raises it was told are accepted, no
// update was lost, none was applied twice, and none of those it was told are refused took effect.
type operator struct {
	name     string
	handler  http.Handler
	accepted int
	failure  string
}

func newOperator(name string, data *kvtest.Data, faults kvtest.Faults, timeout time.Duration, seed uint64) (*operator, error) {
	store := kvtest.NewStore(data, seed)
	replica, err := confsync.NewReplica(confsync.Options{
		Self: confsync.Peer{Node: "n", Zone: "z"}, Store: store, Peers: noPeers{}, Decode: NewDecode(zerolog.Nop()), Seed: seed,
	})
	if err != nil {
		return nil, err
	}
	quick := func(ctx context.Context, _ time.Duration) error {
		time.Sleep(100 * time.Microsecond)
		return ctx.Err()
	}
	writer := confsync.NewWriter(store, replica, confsync.WithApplyTimeout(timeout), confsync.WithClock(time.Now, quick, func(bound time.Duration) time.Duration { return bound }))
	handler, err := New(Options{Source: replica, Writer: writer, Status: replica, BootstrapDigest: auth.Digest(bootstrapSecret), Logger: zerolog.Nop()})
	store.SetFaults(faults)
	return &operator{name: name, handler: handler}, err
}

func (o *operator) send(method, path, body, id string) (int, []byte) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+bootstrapSecret)
	request.Header.Set(headerChangeID, id)
	answer := httptest.NewRecorder()
	o.handler.ServeHTTP(answer, request)
	return answer.Code, answer.Body.Bytes()
}

// raise tries one raise. An unknown outcome is resolved by sending the change again under its id.
func (o *operator) raise(round int) {
	status, body := o.send("GET", "/admin/v1/tenants/shared", "", "")
	read := catalog.Resource{Spec: json.RawMessage(`{"name":"shared"}`)}
	if status == http.StatusOK && json.Unmarshal(body, &read) != nil {
		o.failure = "unreadable: " + string(body)
		return
	}
	var tenant catalog.Tenant
	if err := json.Unmarshal(read.Spec, &tenant); err != nil {
		o.failure = err.Error()
		return
	}
	put := fmt.Sprintf(`{"kind":"tenants","revision":%d,"spec":{"name":"shared","max_jobs":%d}}`, read.Revision, tenant.MaxJobs+1)
	id := fmt.Sprintf("%s-%d", o.name, round)
	// After an unknown outcome, an outage says nothing about the earlier send: only an answer from the history does.
	uncertain := false
	for {
		status, body = o.send("PUT", "/admin/v1/tenants/shared", put, id)
		var refused ErrorBody
		_ = json.Unmarshal(body, &refused)
		switch {
		case status == http.StatusOK:
			o.accepted++
			return
		case refused.Error.NotRun == "unknown":
			uncertain = true
		case status == http.StatusServiceUnavailable && uncertain:
		case status == http.StatusConflict || status == http.StatusServiceUnavailable:
			return
		default:
			o.failure = fmt.Sprintf("%d %s", status, body)
			return
		}
	}
}

func TestNoUpdateIsLostUnderRacesAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := kvtest.NewData(time.Now)
		var operators []*operator
		for index := range rapid.IntRange(2, 4).Draw(t, "operators") {
			faults := kvtest.Faults{
				RateLimited: rapid.Float64Range(0, 0.3).Draw(t, "rate limited"),
				LoseAnswer:  rapid.Float64Range(0, 0.5).Draw(t, "lose answer"),
				LoseRequest: rapid.Float64Range(0, 0.3).Draw(t, "lose request"),
			}
			timeout := rapid.SampledFrom([]time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 20 * time.Millisecond}).Draw(t, "timeout")
			created, err := newOperator(fmt.Sprint("operator", index), data, faults, timeout, rapid.Uint64().Draw(t, "seed"))
			assert.NilError(t, err)
			operators = append(operators, created)
		}
		rounds := rapid.IntRange(1, 8).Draw(t, "rounds")
		var group sync.WaitGroup
		for _, racing := range operators {
			group.Add(1)
			go func() {
				defer group.Done()
				for round := range rounds {
					racing.raise(round)
				}
			}()
		}
		group.Wait()
		accepted := 0
		for _, done := range operators {
			assert.Equal(t, done.failure, "")
			accepted += done.accepted
		}
		assert.Equal(t, finalLimit(t, data), accepted)
	})
}

// finalLimit reads the limit through a node without faults.
func finalLimit(t *rapid.T, data *kvtest.Data) int {
	t.Helper()
	reader, err := newOperator("reader", data, kvtest.Faults{}, time.Second, 1)
	assert.NilError(t, err)
	// A dry run makes the node read the newest configuration.
	status, _ := reader.send("POST", "/admin/v1/apply?dry_run=true&overwrite=true", `{"kind":"zones","spec":{"name":"z","region":"r"}}`, "")
	assert.Equal(t, status, http.StatusOK)
	status, body := reader.send("GET", "/admin/v1/tenants/shared", "", "")
	if status == http.StatusNotFound {
		return 0
	}
	var read catalog.Resource
	assert.NilError(t, json.Unmarshal(body, &read))
	var tenant catalog.Tenant
	assert.NilError(t, json.Unmarshal(read.Spec, &tenant))
	return tenant.MaxJobs
}
