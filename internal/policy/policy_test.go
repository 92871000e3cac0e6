package policy_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/policy"
)

func compile(t testing.TB, source catalog.Policy) *policy.Compiled {
	t.Helper()
	compiled, err := policy.Compile(source)
	assert.NilError(t, err)
	return compiled
}

func TestCompileRejectsInvalidPrograms(t *testing.T) {
	long := strings.Repeat(`tenant == "a" || `, 600) + "true"
	for _, row := range []struct {
		name   string
		source catalog.Policy
		wanted string
	}{
		{"unknown variable", catalog.Policy{Priority: "colour"}, "undeclared reference to 'colour'"},
		{"variable of another program", catalog.Policy{Priority: "queue_length"}, "undeclared reference"},
		{"number expected", catalog.Policy{Priority: `"high"`}, "must give a number, not string"},
		{"true or false expected", catalog.Policy{MayWait: "1.0"}, "must give true or false, not double"},
		{"whole numbers", catalog.Policy{Priority: "age_seconds * 2"}, "write numbers with a decimal point: 2.0"},
		{"cases of two types", catalog.Policy{Priority: `tenant == "a" ? 1 : age_seconds`}, "decimal point"},
		{"misspelt action", catalog.Policy{WhenCutOff: `zone == "a" ? "serve" : "refuse-batch"`}, `not "refuse-batch"`},
		{"computed action", catalog.Policy{WhenCutOff: `zone`}, "written out"},
		{"an action of another type", catalog.Policy{WhenCutOff: "true"}, "each case must be one of"},
		{"missing case", catalog.Policy{Priority: `{"a": 1.0}[tenant]`}, "undeclared reference to '_[_]'"},
		{"loop", catalog.Policy{MayWait: `["a"].exists(x, x == tenant)`}, "undeclared reference"},
		{"regular expression", catalog.Policy{MayWait: `tenant.matches("(a+)+$")`}, "undeclared reference to 'matches'"},
		{"cost", catalog.Policy{MayWait: long}, "at most 200 are allowed"},
		{"syntax", catalog.Policy{MayWait: "true &&"}, "Syntax error"},
		{"nesting", catalog.Policy{MayWait: strings.Repeat("!(", 100) + "true" + strings.Repeat(")", 100)}, "recursion limit"},
	} {
		t.Run(row.name, func(t *testing.T) {
			row.source.Name = "p"
			_, err := policy.Compile(row.source)
			assert.ErrorIs(t, err, catalog.ErrInvalid)
			assert.ErrorContains(t, err, row.wanted)
		})
	}
}

func TestCompileListsTheProblemsOfAllPrograms(t *testing.T) {
	_, err := policy.Compile(catalog.Policy{Name: "p", Priority: "x", MayWait: "y", WhenCutOff: "z"})
	var invalid *catalog.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	var fields []string
	for _, problem := range invalid.Problems {
		fields = append(fields, problem.Field)
	}
	assert.DeepEqual(t, fields, []string{"priority", "may_wait", "when_cut_off"})
}

func TestProgramsSeeTheirVariables(t *testing.T) {
	compiled := compile(t, catalog.Policy{
		Priority:   `(tenant == "rosters" ? 1000.0 : 0.0) + min(age_seconds, 60.0) - deadline_seconds / 10.0 + waiting_items - tenant_share + (service.startsWith("x") ? 1.0 : 0.0)`,
		MayWait:    `repeatable && queue_length < 10 && estimated_wait_seconds + 1.0 < deadline_seconds && tenant in ["a", "b"] && service != "s"`,
		WhenCutOff: `reachable_zones * 2.0 > total_zones ? "serve" : cut_off_seconds < 60 || zone == "z" || region == "r" || service == "s" ? "refuse_batch" : "refuse_all"`,
	})
	priorities, err := compiled.Priorities([]policy.Work{{
		Tenant: "rosters", Service: "xy", Age: 90 * time.Second, UntilDeadline: 100 * time.Second, WaitingItems: 7, TenantShare: 0.5,
	}})
	assert.NilError(t, err)
	assert.Equal(t, priorities[0], 1000.0+60-10+7-0.5+1)

	request := policy.Request{Tenant: "b", Repeatable: true, QueueLength: 9, EstimatedWait: time.Second, UntilDeadline: 3 * time.Second}
	mayWait, err := compiled.MayWait(request)
	assert.NilError(t, err)
	assert.Assert(t, mayWait)
	request.QueueLength = 10
	mayWait, err = compiled.MayWait(request)
	assert.NilError(t, err)
	assert.Assert(t, !mayWait)

	for site, wanted := range map[policy.Site]policy.CutOffAction{
		{ReachableZones: 2, TotalZones: 3}:                               policy.Serve,
		{ReachableZones: 1, TotalZones: 3}:                               policy.RefuseBatch,
		{ReachableZones: 1, TotalZones: 3, CutOff: 2 * time.Minute}:      policy.RefuseAll,
		{ReachableZones: 1, TotalZones: 2, CutOff: time.Hour, Zone: "z"}: policy.RefuseBatch,
	} {
		action, err := compiled.WhenCutOff(site)
		assert.NilError(t, err)
		assert.Equal(t, action, wanted, "%+v", site)
	}
}

func TestFailingProgramFallsBackToDefaultWithError(t *testing.T) {
	compiled := compile(t, catalog.Policy{Priority: "1.0 / waiting_items"})
	works := []policy.Work{{WaitingItems: 4}, {WaitingItems: 0, UntilDeadline: time.Minute}, {WaitingItems: 2}}
	priorities, err := compiled.Priorities(works)
	assert.ErrorIs(t, err, policy.ErrEvaluation)
	assert.DeepEqual(t, priorities, []float64{0.25, policy.DefaultPriority(works[1]), 0.5})
}

func TestDefaultsAgreeWithTheirPrograms(t *testing.T) {
	compiled := compile(t, catalog.Policy{
		Priority: policy.DefaultPriorityProgram, MayWait: policy.DefaultMayWaitProgram, WhenCutOff: policy.DefaultWhenCutOffProgram,
	})
	rapid.Check(t, func(t *rapid.T) {
		work := drawWork(t)
		priorities, err := compiled.Priorities([]policy.Work{work})
		assert.NilError(t, err)
		assert.Assert(t, math.Abs(priorities[0]-policy.DefaultPriority(work)) < 1e-6)
		request := policy.Request{UntilDeadline: drawSeconds(t, "deadline"), EstimatedWait: drawSeconds(t, "wait")}
		mayWait, err := compiled.MayWait(request)
		assert.NilError(t, err)
		assert.Equal(t, mayWait, policy.DefaultMayWait(request))
		action, err := compiled.WhenCutOff(policy.Site{})
		assert.NilError(t, err)
		assert.Equal(t, action, policy.DefaultCutOffAction)
	})
}

// TestOrderIsAPermutationSortedByPriority also lists the same work in another order: the work comes in the same order, but
// for work that is equal in priority, deadline and age.
func TestOrderIsAPermutationSortedByPriority(t *testing.T) {
	compiled := &policy.Compiled{}
	rapid.Check(t, func(t *rapid.T) {
		works := rapid.SliceOfN(rapid.Custom(drawWork), 0, 20).Draw(t, "works")
		ranked, err := compiled.Order(works)
		assert.NilError(t, err)
		seen := map[int]bool{}
		for position, entry := range ranked {
			seen[entry.Index] = true
			assert.Assert(t, position == 0 || ranked[position-1].Priority >= entry.Priority)
		}
		assert.Equal(t, len(seen), len(works))
		relisted, err := compiled.Order(rapid.Permutation(works).Draw(t, "listed"))
		assert.NilError(t, err)
		for position, entry := range relisted {
			assert.Equal(t, sortKey(entry), sortKey(ranked[position]), "position %d depends on the listing", position)
		}
	})
}

// sortKey is what the order of work depends on.
func sortKey(ranked policy.Ranked) string {
	return fmt.Sprint(ranked.Priority, ranked.Work.UntilDeadline, ranked.Work.Age)
}

func drawWork(t *rapid.T) policy.Work {
	return policy.Work{
		Tenant:        ident.Tenant(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant")),
		Service:       "s",
		Age:           drawSeconds(t, "age"),
		UntilDeadline: drawSeconds(t, "until deadline"),
		WaitingItems:  rapid.IntRange(0, 130_000).Draw(t, "waiting"),
		TenantShare:   rapid.Float64Range(0, 10).Draw(t, "share"),
	}
}

func drawSeconds(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, label)) * time.Second
}

func TestCacheCompilesOncePerText(t *testing.T) {
	cache := policy.NewCache()
	snapshot := catalog.Empty()
	snapshot.Revision = 1
	snapshot.Services["chat"] = catalog.Service{Name: "chat", Policy: "p"}
	snapshot.Policies["p"] = catalog.Policy{Name: "p", Priority: "1.0"}
	first, err := cache.ForService(snapshot, "chat")
	assert.NilError(t, err)
	again, err := cache.ForService(snapshot, "chat")
	assert.NilError(t, err)
	assert.Assert(t, first == again)

	changed := catalog.Empty()
	changed.Revision = 2
	changed.Services = snapshot.Services
	changed.Policies["p"] = catalog.Policy{Name: "p", Priority: "not a program"}
	fallback, err := cache.ForService(changed, "chat")
	assert.ErrorIs(t, err, catalog.ErrInvalid)
	priorities, err := fallback.Priorities([]policy.Work{{UntilDeadline: time.Second}})
	assert.NilError(t, err)
	assert.Equal(t, priorities[0], -1.0)

	unset, err := cache.ForService(changed, "no such service")
	assert.NilError(t, err)
	assert.Assert(t, unset != nil)
}

func FuzzCompile(f *testing.F) {
	f.Add(policy.DefaultPriorityProgram)
	f.Add(`tenant in ["a"] ? max(age_seconds, 1.0) : -deadline_seconds`)
	f.Fuzz(func(t *testing.T, program string) {
		compiled, err := policy.Compile(catalog.Policy{Name: "p", Priority: program, MayWait: program, WhenCutOff: program})
		if err != nil {
			assert.ErrorIs(t, err, catalog.ErrInvalid)
			return
		}
		_, _ = compiled.Priorities([]policy.Work{{}})
	})
}

// BenchmarkPriorities compares a compiled program with the default, which is implemented in Go.
func BenchmarkPriorities(b *testing.B) {
	works := make([]policy.Work, 100)
	for index := range works {
		works[index] = policy.Work{Tenant: ident.Tenant(fmt.Sprint("t", index)), UntilDeadline: time.Hour, TenantShare: 1}
	}
	program := compile(b, catalog.Policy{Priority: policy.DefaultPriorityProgram + ` + (tenant == "rosters" ? 600.0 : 0.0)`})
	for name, compiled := range map[string]*policy.Compiled{"program": program, "default": {}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := compiled.Priorities(works); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(works)), "ns/evaluation")
		})
	}
}

func BenchmarkMayWait(b *testing.B) {
	compiled := compile(b, catalog.Policy{MayWait: "queue_length < 20 && " + policy.DefaultMayWaitProgram})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := compiled.MayWait(policy.Request{UntilDeadline: time.Second}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		compile(b, catalog.Policy{Name: "p", Priority: policy.DefaultPriorityProgram})
	}
}
