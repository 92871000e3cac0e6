package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const bootstrapSecret = "bootstrap-secret"

type noPeers struct{}

func (noPeers) Peers() []confsync.Peer { return nil }

// fixture is an administration API over the real configuration writer and a key-value service in memory.
type fixture struct {
	t       testing.TB
	store   *faultyStore
	replica *confsync.Replica
	handler http.Handler
	logs    *syncBuffer
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// faultyStore lets a test choose the answer to the next commits.
type faultyStore struct {
	kv.Store
	beforeCommit func()
	// commitErr is returned instead of the answer; applied says whether the commit takes effect all the same.
	commitErr error
	applied   bool
	// historyErr is the answer to readings of the history.
	historyErr error
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if s.historyErr != nil && strings.Contains(prefix, "/changes/") {
		return nil, 0, s.historyErr
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	if before := s.beforeCommit; before != nil {
		s.beforeCommit = nil
		before()
	}
	if s.commitErr != nil && !s.applied {
		return kv.TransactionResult{}, s.commitErr
	}
	result, err := s.Store.Commit(ctx, compares, writes)
	if s.commitErr != nil {
		return kv.TransactionResult{}, s.commitErr
	}
	return result, err
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{t: t, store: &faultyStore{Store: kvtest.New(1)}, logs: &syncBuffer{}}
	logger := zerolog.New(f.logs)
	replica, err := confsync.NewReplica(confsync.Options{
		Self:   confsync.Peer{Node: "n1", Zone: "palermo"},
		Store:  f.store,
		Peers:  noPeers{},
		Dialer: transport.Dialer(nil),
		Decode: NewDecode(logger),
	})
	assert.NilError(t, err)
	f.replica = replica
	f.handler, err = New(Options{
		Source:          replica,
		Writer:          confsync.NewWriter(f.store, replica, confsync.WithApplyTimeout(200*time.Millisecond)),
		Status:          replica,
		BootstrapDigest: auth.Digest(bootstrapSecret),
		Logger:          logger,
	})
	assert.NilError(t, err)
	return f
}

type call struct {
	method, path, body, secret string
	header                     map[string]string
}

// do sends a request and checks the answer against the description.
func (f *fixture) do(c call) *httptest.ResponseRecorder {
	f.t.Helper()
	request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	secret := c.secret
	if secret == "" {
		secret = bootstrapSecret
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/yaml")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	f.handler.ServeHTTP(answer, request)
	readDescription(f.t).checkAnswer(f.t, c.method, templateOf(request.URL.Path), answer)
	return answer
}

func templateOf(path string) string {
	parts := strings.SplitN(strings.TrimPrefix(path, "/admin/v1/"), "/", 2)
	if parts[0] == "status" || !catalog.Kind(parts[0]).Known() {
		return path
	}
	if len(parts) == 1 {
		return "/admin/v1/{kind}"
	}
	return "/admin/v1/{kind}/{name}"
}

func decodeAnswer[T any](t testing.TB, answer *httptest.ResponseRecorder) T {
	t.Helper()
	var decoded T
	assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &decoded))
	return decoded
}

func (f *fixture) change(c call) ChangeResult {
	f.t.Helper()
	answer := f.do(c)
	assert.Equal(f.t, answer.Code, http.StatusOK, answer.Body.String())
	return decodeAnswer[ChangeResult](f.t, answer)
}

func (f *fixture) refused(c call, status int, code string) ErrorDetail {
	f.t.Helper()
	answer := f.do(c)
	detail := decodeAnswer[ErrorBody](f.t, answer).Error
	assert.Equal(f.t, answer.Code, status, answer.Body.String())
	assert.Equal(f.t, string(detail.Code), code)
	return detail
}

const site = `
- {kind: zones, spec: {name: palermo, region: sicily}}
- {kind: tenants, spec: {name: nurses}}
- {kind: models, spec: {name: medic, version: v1, memory_bytes: 1}}
- {kind: policies, spec: {name: calm, priority: "age_seconds"}}
- {kind: services, spec: {name: booking, model: medic, policy: calm, tenants: [nurses]}}
`

func (f *fixture) applySite() ChangeResult {
	f.t.Helper()
	return f.change(call{method: "POST", path: "/admin/v1/apply", body: site, header: map[string]string{"If-Match": `"0"`}})
}
