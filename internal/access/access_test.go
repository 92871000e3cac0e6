package access_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/access"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// source is a configuration store that a gate reads from.
type source struct {
	routes   *routetable.Table
	newest   *work.Catalog
	err      error
	takes    time.Duration
	readings atomic.Int64
}

func (s *source) refresh(context.Context) error {
	s.readings.Add(1)
	time.Sleep(s.takes)
	if s.err == nil && s.newest != nil {
		s.routes.Adopt(s.newest)
	}
	return s.err
}

func catalog(version int64, tenant ident.Tenant, keys ...string) *work.Catalog {
	made := &work.Catalog{Version: version, Keyed: true, Tenants: []work.Tenant{{Name: tenant}}}
	for _, key := range keys {
		made.Tenants[0].Keys = append(made.Tenants[0].Keys, keyhash.Of(key))
	}
	return made
}

func newGate(known *work.Catalog) (*access.Gate, *source) {
	from := &source{routes: &routetable.Table{}, takes: 5 * time.Millisecond}
	if known != nil {
		from.routes.Adopt(known)
	}
	return &access.Gate{Routes: from.routes, Refresh: from.refresh, Logger: zerolog.Nop(), Now: time.Now}, from
}

func codeOf(err error) failure.Code { return failure.As(err).Code }

// TestUnknownKeyIsRefusedOnlyByTheNewestConfiguration uses a key that only a newer configuration has, and one that
// none has.
func TestUnknownKeyIsRefusedOnlyByTheNewestConfiguration(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		gate, from := newGate(catalog(1, "clinic", "old"))
		from.newest = catalog(2, "clinic", "old", "new")
		holder, err := gate.Tenant(t.Context(), "new", false)
		assert.NilError(t, err)
		assert.Equal(t, holder.Name, ident.Tenant("clinic"))
		_, err = gate.Tenant(t.Context(), "never", false)
		assert.Equal(t, codeOf(err), failure.CodeInvalidKey)
		// A recent read does not count for a key that was added since.
		for version := int64(3); version < 10; version++ {
			key := fmt.Sprint("key of version ", version)
			from.newest = catalog(version, "clinic", "old", key)
			_, err = gate.Tenant(t.Context(), key, false)
			assert.NilError(t, err)
		}
	})
}

// TestOneReadServesAllWaitingRequests uses many unknown keys at once, and then repeatedly. The number of reads
// that unknown keys cause must stay bounded.
func TestOneReadServesAllWaitingRequests(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		gate, from := newGate(catalog(1, "clinic", "old"))
		for range 50 {
			go func() {
				_, err := gate.Tenant(t.Context(), "never", false)
				assert.Check(t, codeOf(err) == failure.CodeInvalidKey)
			}()
		}
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Assert(t, from.readings.Load() <= 2, "%d reads for concurrent requests", from.readings.Load())
		before, began := from.readings.Load(), time.Now()
		for client := range 20 {
			go func() {
				for time.Since(began) < 10*time.Second {
					_, err := gate.Tenant(t.Context(), fmt.Sprint("never ", client), false)
					assert.Check(t, codeOf(err) == failure.CodeInvalidKey)
				}
			}()
		}
		time.Sleep(11 * time.Second)
		assert.Assert(t, from.readings.Load()-before <= 102, "%d reads in ten seconds", from.readings.Load()-before)
	})
}

// TestKeyThatCannotBeVerifiedIsRefusedTemporarily makes the configuration unreachable.
func TestKeyThatCannotBeVerifiedIsRefusedTemporarily(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		gate, from := newGate(catalog(1, "clinic", "old"))
		from.err = kv.ErrUnavailable
		_, err := gate.Tenant(t.Context(), "new", false)
		refusal := failure.As(err)
		assert.Equal(t, refusal.Code, failure.CodeConfigUnavailable)
		assert.Equal(t, refusal.Outcome, outcome.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		_, err = gate.Tenant(t.Context(), "old", false)
		assert.NilError(t, err)
		// A failed read is no evidence: the next key causes another read.
		from.err, from.newest = nil, catalog(2, "clinic", "new")
		_, err = gate.Tenant(t.Context(), "new", false)
		assert.NilError(t, err)
		_, err = gate.Tenant(t.Context(), "old", false)
		assert.Equal(t, codeOf(err), failure.CodeInvalidKey)
	})
}

// TestNodeWithoutAConfigurationReadsItFirst has a node refuse requests until it has read whether keys are
// required.
func TestNodeWithoutAConfigurationReadsItFirst(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		gate, from := newGate(nil)
		from.err = kv.ErrUnavailable
		_, err := gate.Tenant(t.Context(), "", false)
		assert.Equal(t, codeOf(err), failure.CodeConfigUnavailable)
		from.err, from.newest = nil, &work.Catalog{Version: 1}
		holder, err := gate.Tenant(t.Context(), "", false)
		assert.NilError(t, err)
		assert.Assert(t, holder == nil)
	})
}
