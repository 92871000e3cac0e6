package admin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/kv"
)

func TestApplyReadAndDelete(t *testing.T) {
	f := newFixture(t)
	result := f.applySite()
	assert.Assert(t, result.Accepted)
	assert.Equal(t, result.Revision, int64(1))
	assert.Equal(t, len(result.Edits), 5)

	read := f.do(call{method: "GET", path: "/admin/v1/services/booking"})
	assert.Equal(t, read.Header().Get("ETag"), `"1"`)
	assert.Equal(t, len(decodeAnswer[ResourceList](t, f.do(call{method: "GET", path: "/admin/v1/models"})).Items), 1)
	f.refused(call{method: "GET", path: "/admin/v1/models/none"}, 404, "not_found")
	f.refused(call{method: "GET", path: "/admin/v1/status/nodes"}, 404, "not_found")

	drain := f.change(call{method: "PUT", path: "/admin/v1/drains/runner/10.0.0.1:9000", body: "{kind: drains, spec: {reason: disk}}", header: map[string]string{"If-None-Match": "*"}})
	assert.Equal(t, drain.Edits[0].Name, "runner/10.0.0.1:9000")
	assert.Equal(t, f.replica.Current().Drains["runner/10.0.0.1:9000"].Reason, "disk")
	removed := f.change(call{method: "DELETE", path: "/admin/v1/drains/runner/10.0.0.1:9000?wait=1s", header: map[string]string{"If-Match": "2"}})
	assert.Equal(t, removed.Edits[0].Action, ActionDelete)
	assert.Assert(t, *removed.InForce)
	assert.Equal(t, f.replica.Current().Revision, int64(3), "a deletion moves the revision too")
	status := decodeAnswer[ConfigurationStatus](t, f.do(call{method: "GET", path: "/admin/v1/status/configuration?wait=1s"}))
	assert.Assert(t, status.InForce)
	assert.Assert(t, strings.Contains(f.logs.String(), `"name":"admin_change_accepted","author":"bootstrap"`), f.logs.String())
}

func TestTwoOperatorsAtOneRevisionEndInOneConflict(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	const operators = 8
	answers := make([]int, operators)
	var group sync.WaitGroup
	for index := range operators {
		group.Add(1)
		go func() {
			defer group.Done()
			body := fmt.Sprintf("{kind: tenants, revision: 1, spec: {name: nurses, max_jobs: %d}}", index+1)
			answers[index] = f.do(call{method: "PUT", path: "/admin/v1/tenants/nurses", body: body}).Code
		}()
	}
	group.Wait()
	won := 0
	for index, status := range answers {
		if status == http.StatusOK {
			won++
			assert.Equal(t, f.replica.Current().Tenants["nurses"].MaxJobs, index+1, "the accepted write must be in force")
			continue
		}
		assert.Equal(t, status, http.StatusConflict)
	}
	assert.Equal(t, won, 1)
	assert.Equal(t, f.replica.Current().Revision, int64(2))
}

func TestAChangeBetweenCheckAndCommitIsNotOverwritten(t *testing.T) {
	for name, path := range map[string]string{
		"guarded":   "/admin/v1/apply",
		"overwrite": "/admin/v1/apply?overwrite=true",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.applySite()
			f.store.beforeCommit = func() {
				f.change(call{method: "PUT", path: "/admin/v1/tenants/nurses", body: "{kind: tenants, revision: 1, spec: {max_jobs: 7}}"})
			}
			body := "{kind: tenants, revision: 1, spec: {name: nurses, max_jobs: 8}}"
			if name == "overwrite" {
				body = "{kind: tenants, spec: {name: nurses, max_jobs: 8}}"
			}
			f.refused(call{method: "POST", path: path, body: body}, 409, "conflict")
			assert.Equal(t, f.replica.Current().Tenants["nurses"].MaxJobs, 7)
		})
	}
}

func TestReferenceThatVanishesBetweenCheckAndCommitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	f.change(call{method: "POST", path: "/admin/v1/apply?overwrite=true", body: "{kind: models, spec: {name: spare, version: v1}}"})
	f.store.beforeCommit = func() {
		f.change(call{method: "DELETE", path: "/admin/v1/models/spare", header: map[string]string{"If-Match": "*"}})
	}
	body := "{kind: services, spec: {name: late, model: spare}}"
	detail := f.refused(call{method: "PUT", path: "/admin/v1/services/late", body: body, header: map[string]string{"If-None-Match": "*"}}, 400, "invalid_request")
	assert.Equal(t, detail.Problems[0].Message, `there is no model "spare"`)
	assert.Equal(t, detail.NotRun, "true")
}

func TestUnguardedChangesAreRefused(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	f.refused(call{method: "PUT", path: "/admin/v1/tenants/nurses", body: "{kind: tenants, spec: {weight: 2}}"}, 428, "revision_required")
	f.refused(call{method: "DELETE", path: "/admin/v1/tenants/nurses"}, 428, "revision_required")
	detail := f.refused(call{method: "POST", path: "/admin/v1/apply", body: site}, 428, "revision_required")
	assert.Assert(t, strings.Contains(detail.Message, "services/booking"), detail.Message)
	f.refused(call{method: "POST", path: "/admin/v1/apply", body: site, header: map[string]string{"If-Match": "0"}}, 409, "conflict")
	f.refused(call{method: "POST", path: "/admin/v1/apply?dryrun=true", body: site}, 400, "invalid_request")
}

func TestAllProblemsAreListedWithTheirLines(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	body := `kind: services
revision: 0
spec:
  name: chat
  model: gone
  colour: red
---
kind: policies
revision: 0
spec:
  name: bad
  priority: colour
  when_cut_off: '"stop"'
---
kind: models
revision: 1
spec: {name: medic, version: ""}
`
	detail := f.refused(call{method: "POST", path: "/admin/v1/apply", body: body}, 400, "invalid_request")
	var lines []string
	for _, problem := range detail.Problems {
		lines = append(lines, fmt.Sprintf("%d %s/%s %s", problem.Line, problem.Kind, problem.Name, problem.Field))
	}
	assert.DeepEqual(t, lines, []string{
		"17 models/medic version", "6 services/chat colour", "5 services/chat model",
		"12 policies/bad priority", "13 policies/bad when_cut_off",
	})
	inUse := f.refused(call{method: "DELETE", path: "/admin/v1/models/medic", header: map[string]string{"If-Match": "1"}}, 400, "invalid_request")
	assert.Equal(t, inUse.Problems[0].Name, "booking")
	assert.Equal(t, f.replica.Current().Revision, int64(1))
}

func TestDryRunAndRepeatedApplyChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	body := strings.ReplaceAll(site, "v1", "v2")
	dry := f.change(call{method: "POST", path: "/admin/v1/apply?dry_run=true&overwrite=true", body: body})
	assert.Assert(t, dry.DryRun && !dry.Accepted)
	actions := map[Action]int{}
	for _, edit := range dry.Edits {
		actions[edit.Action]++
	}
	assert.DeepEqual(t, actions, map[Action]int{ActionUpdate: 1, ActionUnchanged: 4})
	again := f.change(call{method: "POST", path: "/admin/v1/apply?overwrite=true", body: site})
	assert.Assert(t, !again.Accepted)
	assert.Equal(t, f.replica.Current().Revision, int64(1))
	changed := f.change(call{method: "POST", path: "/admin/v1/apply?overwrite=true", body: body})
	assert.Equal(t, changed.Revision, int64(2))
	assert.Equal(t, f.replica.Current().Revisions[catalog.Reference{Kind: "services", Name: "booking"}], int64(1), "an unchanged resource keeps its revision")
}

func TestLostAnswerIsResolvedByResending(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	put := call{method: "PUT", path: "/admin/v1/tenants/nurses", body: "{kind: tenants, revision: 1, spec: {weight: 2}}", header: map[string]string{"Change-Id": "first"}}
	first := f.change(put)
	resent := f.change(put)
	assert.DeepEqual(t, resent, first)
	assert.Equal(t, strings.Count(f.logs.String(), `"change_id":"bootstrap/first"`), 1, "an acceptance is logged once")
	assert.Equal(t, f.replica.Current().Revision, int64(2))
	put.header["Change-Id"] = "second"
	f.refused(put, 409, "conflict")
	put.header["Change-Id"] = "first"
	f.store.historyErr = kv.ErrUnavailable
	unresolved := f.refused(put, 504, "configuration_outcome_unknown")
	assert.Equal(t, unresolved.NotRun, "unknown", "without the history nobody knows whether the first send was accepted")
}

func TestResendsOfOverwritesAndDeletionsAreResolvedToo(t *testing.T) {
	for name, resent := range map[string]call{
		"overwrite": {method: "PUT", path: "/admin/v1/tenants/nurses", body: "{kind: tenants, spec: {weight: 2}}"},
		"deletion":  {method: "DELETE", path: "/admin/v1/services/booking"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.applySite()
			resent.header = map[string]string{"Change-Id": "c", "If-Match": "*"}
			first := f.change(resent)
			assert.Assert(t, first.Accepted)
			assert.DeepEqual(t, f.change(resent), first)
		})
	}
}

func TestOutageIsDefiniteAndALostCommitIsUnknown(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	put := call{method: "PUT", path: "/admin/v1/tenants/nurses", body: "{kind: tenants, revision: 1, spec: {weight: 2}}", header: map[string]string{"Change-Id": "c"}}
	f.store.commitErr = kv.ErrUnavailable
	refused := f.refused(put, 503, "configuration_service_unavailable")
	assert.Equal(t, refused.NotRun, "true")
	f.store.commitErr = kv.ErrOutcomeUnknown
	unknown := f.refused(put, 504, "configuration_outcome_unknown")
	assert.Equal(t, unknown.NotRun, "unknown")
	assert.Assert(t, strings.Contains(f.logs.String(), "admin_change_unknown"))
	f.store.commitErr = kv.ErrUnavailable
	put.header["Change-Resend"] = "true"
	resent := f.refused(put, 504, "configuration_outcome_unknown")
	assert.Equal(t, resent.NotRun, "unknown", "the lost commit may still arrive")
	put.header["Change-Resend"] = "perhaps"
	f.refused(put, 400, "invalid_request")
	put.header["Change-Resend"] = "true"
	f.store.commitErr = kv.ErrOutcomeUnknown
	f.store.applied = true
	resolved := f.change(put)
	assert.Assert(t, resolved.Accepted, "the writer reads back what took effect")
	assert.Equal(t, f.replica.Current().Tenants["nurses"].Weight, 2.0)
}

func TestHistoryAndRollbackAsANewRevision(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	secret, digest, err := auth.Generate(bytes.NewReader(make([]byte, 32)))
	assert.NilError(t, err)
	key := fmt.Sprintf("{kind: keys, revision: 0, spec: {id: k, role: operator, digest: %s}}", digest)
	f.change(call{method: "PUT", path: "/admin/v1/keys/k", body: key})
	f.change(call{method: "PUT", path: "/admin/v1/models/medic?comment=try", body: "{kind: models, revision: 1, spec: {version: v2, memory_bytes: 1}}", secret: secret})
	f.change(call{method: "DELETE", path: "/admin/v1/keys/k", header: map[string]string{"If-Match": "2"}})

	history := decodeAnswer[HistoryList](t, f.do(call{method: "GET", path: "/admin/v1/history?limit=2"}))
	assert.Equal(t, len(history.Items), 2)
	assert.Equal(t, history.Items[1].Author, "k")
	assert.Equal(t, history.Items[1].Comment, "try")
	assert.Assert(t, strings.Contains(string(history.Items[1].Edits[0].Before), "v1"))

	rolledBack := f.change(call{method: "POST", path: "/admin/v1/rollback?revision=2"})
	assert.Equal(t, rolledBack.Revision, int64(5))
	assert.DeepEqual(t, rolledBack.Edits, []EditResult{{Kind: "models", Name: "medic", Action: ActionUpdate}})
	assert.Equal(t, f.replica.Current().Models["medic"].Version, "v1")
	f.refused(call{method: "GET", path: "/admin/v1/models", secret: secret}, 401, "invalid_api_key")
	withKeys := f.change(call{method: "POST", path: "/admin/v1/rollback?revision=2&include_keys=true&dry_run=true"})
	assert.Equal(t, withKeys.Edits[0].Name, "k")
	f.refused(call{method: "POST", path: "/admin/v1/rollback?revision=99"}, 404, "not_found")
	nothing := f.change(call{method: "POST", path: "/admin/v1/rollback?revision=5"})
	assert.Assert(t, !nothing.Accepted)
}

func TestRolesAreEnforcedOnEveryRoute(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	secrets := map[catalog.Role]string{}
	for index, role := range []catalog.Role{catalog.RoleCaller, catalog.RoleViewer, catalog.RoleOperator, catalog.RoleAdmin} {
		secret, digest, err := auth.Generate(bytes.NewReader(bytes.Repeat([]byte{byte(index + 1)}, 32)))
		assert.NilError(t, err)
		secrets[role] = secret
		key := fmt.Sprintf("{kind: keys, revision: 0, spec: {id: %s, tenant: nurses, role: %s, digest: %s}}", role, role, digest)
		f.change(call{method: "PUT", path: "/admin/v1/keys/" + string(role), body: key})
	}
	for _, row := range []struct {
		call    call
		allowed []catalog.Role
	}{
		{call{method: "GET", path: "/admin/v1/models"}, []catalog.Role{"viewer", "operator", "admin"}},
		{call{method: "GET", path: "/admin/v1/models/medic"}, []catalog.Role{"viewer", "operator", "admin"}},
		{call{method: "GET", path: "/admin/v1/history"}, []catalog.Role{"viewer", "operator", "admin"}},
		{call{method: "GET", path: "/admin/v1/status/configuration"}, []catalog.Role{"viewer", "operator", "admin"}},
		{call{method: "PUT", path: "/admin/v1/models/medic?dry_run=true", body: "{kind: models, revision: 1, spec: {version: v9}}"}, []catalog.Role{"operator", "admin"}},
		{call{method: "POST", path: "/admin/v1/apply?dry_run=true", body: "{kind: models, revision: 1, spec: {name: medic, version: v9}}"}, []catalog.Role{"operator", "admin"}},
		{call{method: "POST", path: "/admin/v1/rollback?revision=1&dry_run=true"}, []catalog.Role{"operator", "admin"}},
		{call{method: "PUT", path: "/admin/v1/tenants/nurses?dry_run=true", body: "{kind: tenants, revision: 1, spec: {weight: 3}}"}, []catalog.Role{"admin"}},
		{call{method: "POST", path: "/admin/v1/apply?dry_run=true", body: "{kind: tenants, revision: 1, spec: {name: nurses, weight: 3}}"}, []catalog.Role{"admin"}},
		{call{method: "DELETE", path: "/admin/v1/keys/caller?dry_run=true", header: map[string]string{"If-Match": "*"}}, []catalog.Role{"admin"}},
		{call{method: "POST", path: "/admin/v1/rollback?revision=1&include_keys=true&dry_run=true"}, []catalog.Role{"admin"}},
	} {
		for role, secret := range secrets {
			wanted := http.StatusForbidden
			for _, allowed := range row.allowed {
				if allowed == role {
					wanted = http.StatusOK
				}
			}
			row.call.secret = secret
			answer := f.do(row.call)
			assert.Equal(t, answer.Code, wanted, "%s %s as %s: %s", row.call.method, row.call.path, role, answer.Body)
		}
	}
	f.refused(call{method: "GET", path: "/admin/v1/models"}, 401, "invalid_api_key")
}

type fakeFleet struct {
	nodes   []NodeStatus
	runners []RunnerStatus
}

func (f fakeFleet) Nodes(context.Context) ([]NodeStatus, error)     { return f.nodes, nil }
func (f fakeFleet) Runners(context.Context) ([]RunnerStatus, error) { return f.runners, nil }

func TestStateOfTheFleetIsListed(t *testing.T) {
	for _, fleet := range []fakeFleet{
		{},
		{
			nodes:   []NodeStatus{{Name: "n1", Zone: "palermo", State: "alive", Address: "10.0.0.1:1", Version: "v1"}},
			runners: []RunnerStatus{{Name: "r1", Zone: "palermo", State: "ready", Owner: "n1", Model: "m", Adapters: []string{"a"}, Running: 3}},
		},
	} {
		f := newFixture(t)
		var err error
		f.handler, err = New(Options{Source: f.replica, Status: f.replica, Fleet: fleet, BootstrapDigest: auth.Digest(bootstrapSecret), Logger: zerolog.Nop()})
		assert.NilError(t, err)
		nodes := decodeAnswer[NodeList](t, f.do(call{method: "GET", path: "/admin/v1/status/nodes"}))
		assert.DeepEqual(t, nodes.Items, listed(fleet.nodes))
		runners := decodeAnswer[RunnerList](t, f.do(call{method: "GET", path: "/admin/v1/status/runners"}))
		assert.DeepEqual(t, runners.Items, listed(fleet.runners))
	}
}

func TestStrangersCannotFloodTheLog(t *testing.T) {
	f := newFixture(t)
	const requests = 500
	for range requests {
		request := httptest.NewRequest("GET", "/admin/v1/models", nil)
		f.handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	lines := strings.Count(f.logs.String(), "admin_unauthenticated")
	assert.Assert(t, lines >= 1 && lines < requests/2, "%d lines", lines)
}

func TestProtectServesOnlyKeysWithThePermission(t *testing.T) {
	f := newFixture(t)
	options := Options{Source: f.replica, BootstrapDigest: auth.Digest(bootstrapSecret), Logger: zerolog.Nop()}
	inner := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	for secret, wanted := range map[string]int{bootstrapSecret: http.StatusTeapot, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized} {
		request := httptest.NewRequest("GET", "/debug/pprof/", nil)
		request.Header.Set("Authorization", "Bearer "+secret)
		answer := httptest.NewRecorder()
		Protect(options, auth.PermissionRead, inner).ServeHTTP(answer, request)
		assert.Equal(t, answer.Code, wanted)
	}
	request := httptest.NewRequest("GET", "/debug/pprof/", nil)
	request.Header.Set("Authorization", "Bearer "+bootstrapSecret)
	answer := httptest.NewRecorder()
	Protect(options, auth.PermissionInfer, inner).ServeHTTP(answer, request)
	assert.Equal(t, answer.Code, http.StatusForbidden)
}

func TestFormOfRequestsIsChecked(t *testing.T) {
	f := newFixture(t)
	f.applySite()
	put := func(path, body string) call { return call{method: "PUT", path: path, body: body} }
	f.refused(put("/admin/v1/tenants/other", "{kind: tenants, spec: {name: nurses}}"), 428, "revision_required")
	f.refused(put("/admin/v1/tenants/other", "{kind: tenants, revision: 0, spec: {name: nurses}}"), 400, "invalid_request")
	f.refused(put("/admin/v1/tenants/other", "{kind: models, name: other, spec: {}}"), 400, "invalid_request")
	f.refused(put("/admin/v1/tenants/other", strings.Repeat("x", maxResourceBytes+1)), 413, "body_too_large")
	f.refused(put("/admin/v1/tenants/other?wait=1h", "{kind: tenants, revision: 0, spec: {}}"), 400, "invalid_request")
	f.refused(call{method: "GET", path: "/admin/v1/history?limit=-1"}, 400, "invalid_request")
	f.refused(call{method: "GET", path: "/admin/v1/history?limit=1&limit=2"}, 400, "invalid_request")
	f.refused(call{method: "POST", path: "/admin/v1/apply", body: "[]", header: map[string]string{"Content-Type": "text/html"}}, 400, "invalid_request")
	detail := f.refused(call{method: "POST", path: "/admin/v1/apply", body: "{\n\"kind\": }", header: map[string]string{"Content-Type": "application/json"}}, 400, "invalid_request")
	assert.Equal(t, detail.Line, 2)
	for _, path := range []string{"/admin/v1/teams", "/nothing"} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest("GET", path, nil)
		request.Header.Set("Authorization", "Bearer "+bootstrapSecret)
		f.handler.ServeHTTP(answer, request)
		assert.Equal(t, answer.Code, 404)
	}
	answer := httptest.NewRecorder()
	f.handler.ServeHTTP(answer, httptest.NewRequest("PATCH", "/admin/v1/tenants", nil))
	assert.Equal(t, answer.Code, 405)
}
