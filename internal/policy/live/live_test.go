package live_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/policy"
	"mallowlatch.example/mallowlatch/internal/policy/live"
)

func publish(t *testing.T, holder *catalog.Holder, revision int64, source catalog.Policy) {
	t.Helper()
	snapshot := catalog.Empty()
	snapshot.Revision = revision
	snapshot.Policies["p"] = source
	snapshot.Services["chat"] = catalog.Service{Name: "chat", Policy: "p"}
	assert.NilError(t, holder.Publish(snapshot))
}

func TestEvaluatorFollowsTheConfigurationAndRateLimitsFailureLogs(t *testing.T) {
	var logs bytes.Buffer
	now := time.Unix(0, 0)
	holder := catalog.NewHolder()
	evaluator := live.New(holder, zerolog.New(&logs), func() time.Time { return now })
	works := []policy.Work{{UntilDeadline: time.Minute}}
	assert.DeepEqual(t, evaluator.Priorities("chat", works), []float64{-60})

	publish(t, holder, 1, catalog.Policy{Name: "p", Priority: "1.0 / waiting_items", MayWait: "false", WhenCutOff: `"refuse_all"`})
	for range 100 {
		assert.DeepEqual(t, evaluator.Priorities("chat", works), []float64{-60})
	}
	assert.Equal(t, strings.Count(logs.String(), "policy_failed"), 1)
	now = now.Add(time.Minute)
	evaluator.Priorities("chat", works)
	assert.Equal(t, strings.Count(logs.String(), "policy_failed"), 2)
	assert.Assert(t, !evaluator.MayWait(policy.Request{Service: "chat", UntilDeadline: time.Hour}))
	assert.Equal(t, evaluator.WhenCutOff(policy.Site{Service: "chat"}), policy.RefuseAll)

	publish(t, holder, 2, catalog.Policy{Name: "p", MayWait: "no such variable"})
	now = now.Add(time.Minute)
	assert.Assert(t, evaluator.MayWait(policy.Request{Service: "chat", UntilDeadline: time.Hour}))
	assert.Assert(t, strings.Contains(logs.String(), "policy_not_compiling"))
	assert.Equal(t, evaluator.WhenCutOff(policy.Site{Service: "chat"}), policy.Serve)
}
