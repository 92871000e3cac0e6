package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

type noPeers struct{}

func (noPeers) Peers() []confsync.Peer { return nil }

// oneNode is a fleet whose only node with a disk is n1.
type oneNode struct{}

func (oneNode) Nodes(context.Context) ([]admin.NodeStatus, error) {
	return []admin.NodeStatus{{Name: "n1", State: "alive", Storage: true, Shards: 3, SoleShards: 2}}, nil
}

func (oneNode) Runners(context.Context) ([]admin.RunnerStatus, error) { return nil, nil }

// site is an administration API over the real configuration writer, and the command line that calls it.
type site struct {
	t       *testing.T
	folder  string
	replica *confsync.Replica
	// loseAnswers is how many answers to changes are lost after they took effect.
	loseAnswers atomic.Int32
	// outage makes the server refuse every change that comes after a lost answer.
	outage atomic.Bool
}

func newSite(t *testing.T) *site { return newSiteOf(t, nil) }

// newSiteOf returns a site that knows the state of a fleet.
func newSiteOf(t *testing.T, fleet admin.Fleet) *site {
	t.Helper()
	store := kvtest.New(1)
	replica, err := confsync.NewReplica(confsync.Options{
		Self: confsync.Peer{Node: "n1", Zone: "palermo"}, Store: store, Peers: noPeers{}, Decode: admin.NewDecode(zerolog.Nop()),
	})
	assert.NilError(t, err)
	handler, err := admin.New(admin.Options{
		Source: replica, Writer: confsync.NewWriter(store, replica), Status: replica, Fleet: fleet,
		BootstrapDigest: auth.Digest("bootstrap"), Logger: zerolog.Nop(),
	})
	assert.NilError(t, err)
	s := &site{t: t, folder: t.TempDir(), replica: replica}
	server := httptest.NewServer(s.lossy(handler))
	t.Cleanup(server.Close)
	t.Setenv(envAdminServer, server.URL)
	t.Setenv(envAdminKey, "bootstrap")
	return s
}

// lossy breaks the connection after a change was handled, as long as answers are to be lost.
func (s *site) lossy(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isChange := r.Method != http.MethodGet && !r.URL.Query().Has("dry_run")
		if isChange && s.loseAnswers.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if isChange && s.outage.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"configuration_service_unavailable","message":"away","not_run":"true"}}`)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *site) file(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func run(arguments ...string) (code int, stdout, stderr string) {
	var out, errors bytes.Buffer
	code = Execute(arguments, &out, &errors)
	return code, out.String(), errors.String()
}

func succeed(t *testing.T, arguments ...string) string {
	t.Helper()
	code, stdout, stderr := run(arguments...)
	assert.Equal(t, code, ExitOK, "%v: %s", arguments, stderr)
	return stdout
}

func fail(t *testing.T, wanted int, arguments ...string) string {
	t.Helper()
	code, _, stderr := run(arguments...)
	assert.Equal(t, code, wanted, "%v: %s", arguments, stderr)
	return stderr
}

const tenants = `kind: tenants
spec: {name: nurses}
---
kind: models
spec: {name: medic, version: v1}
`

func TestApplyGetEditAndApplyAgain(t *testing.T) {
	s := newSite(t)
	file := s.file("site.yaml", tenants)
	assert.Assert(t, strings.Contains(succeed(t, "apply", "-f", file, "--dry-run"), "dry run"))
	assert.Assert(t, strings.Contains(succeed(t, "apply", "-f", file, "--wait", "5s"), "accepted as revision 1"))
	assert.Assert(t, strings.Contains(succeed(t, "apply", "-f", file), "nothing to change"))

	changed := s.file("changed.yaml", strings.ReplaceAll(tenants, "v1", "v2"))
	refusal := fail(t, ExitConflict, "apply", "-f", changed)
	assert.Assert(t, strings.Contains(refusal, "models/medic would be replaced"), refusal)
	edited := s.file("edited.yaml", strings.ReplaceAll(succeed(t, "get", "models", "medic", "-o", "yaml"), "v1", "v3"))
	succeed(t, "apply", "-f", changed, "--overwrite")
	fail(t, ExitConflict, "apply", "-f", edited)
	assert.Equal(t, s.replica.Current().Models["medic"].Version, "v2")

	table := succeed(t, "get", "models")
	assert.Assert(t, strings.HasSuffix(table, "version=v2\n"), table)
	all := s.file("all.json", succeed(t, "get", "models", "-o", "json"))
	assert.Assert(t, strings.Contains(succeed(t, "apply", "-f", all), "nothing to change"), "the output of get can be applied")
	succeed(t, "rollback", "1", "--comment", "undo")
	assert.Equal(t, s.replica.Current().Models["medic"].Version, "v1")
	history := succeed(t, "history", "--limit", "1")
	assert.Assert(t, strings.Contains(history, "update models/medic") && strings.Contains(history, "undo"), history)
	succeed(t, "delete", "models", "medic")
	fail(t, ExitNotFound, "get", "models", "medic")
	fail(t, ExitNotFound, "delete", "models", "medic")
}

func TestProblemsOfAFileAreAllPrintedWithTheirLines(t *testing.T) {
	s := newSite(t)
	file := s.file("bad.yaml", "kind: services\nspec:\n  name: chat\n  model: gone\n  colour: red\n")
	stderr := fail(t, ExitInvalid, "apply", "-f", file)
	assert.Assert(t, strings.Contains(stderr, "line 4: services/chat: model"), stderr)
	assert.Assert(t, strings.Contains(stderr, "line 5: services/chat: colour"), stderr)
	fail(t, ExitInvalid, "apply", "-f", s.file("syntax.yaml", "kind: [\n"))
}

func TestLostAnswersAreResolved(t *testing.T) {
	s := newSite(t)
	s.loseAnswers.Store(1)
	stdout := succeed(t, "apply", "-f", s.file("site.yaml", tenants))
	assert.Assert(t, strings.Contains(stdout, "accepted as revision 1"), stdout)
	s.loseAnswers.Store(resendAttempts)
	stderr := fail(t, ExitUnknown, "delete", "models", "medic")
	assert.Assert(t, strings.Contains(stderr, "mallowlatch history"), stderr)
	s.outage.Store(true)
	s.loseAnswers.Store(1)
	fail(t, ExitUnknown, "delete", "tenants", "nurses")
	fail(t, ExitUnavailable, "runner", "drain", "r1")
	_, exists := s.replica.Current().Models["medic"]
	assert.Assert(t, !exists, "the deletion took effect though its answers were lost")
}

func TestExitCodesTellWhatToDo(t *testing.T) {
	s := newSite(t)
	fail(t, ExitUsage, "get")
	fail(t, ExitUsage, "get", "models", "--colour")
	fail(t, ExitUsage, "nothing")
	fail(t, ExitUsage, "job", "nothing")
	fail(t, ExitUsage, "apply", "-f", s.folder+"/none.yaml")
	fail(t, ExitUsage, "get", "models", "-o", "xml")
	fail(t, ExitUsage, "get", "models", "--server", "not a URL")
	fail(t, ExitDenied, "get", "models", "--key", "wrong")
	fail(t, ExitNotFound, "node", "status")
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	fail(t, ExitUnavailable, "get", "models", "--server", closed.URL)
	succeed(t, "version")
	succeed(t, "completion", "bash")
	assert.Assert(t, strings.HasPrefix(succeed(t, "events", "-o", "markdown"), "# Log events"))
}

func TestKeysAndDrains(t *testing.T) {
	s := newSiteOf(t, oneNode{})
	succeed(t, "apply", "-f", s.file("site.yaml", tenants))
	secret := strings.TrimSpace(succeed(t, "key", "create", "viewer", "--role", "viewer"))
	succeed(t, "get", "models", "--key", secret)
	fail(t, ExitDenied, "delete", "models", "medic", "--key", secret)
	fail(t, ExitConflict, "key", "create", "viewer", "--role", "viewer")
	fail(t, ExitInvalid, "key", "create", "caller")
	succeed(t, "runner", "drain", "10.0.0.1:9000", "--reason", "disk")
	assert.Equal(t, s.replica.Current().Drains["runner/10.0.0.1:9000"].Reason, "disk")
	succeed(t, "runner", "drain", "10.0.0.1:9000", "--undo")
	code, _, warning := run("node", "drain", "n1")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(warning, "2 of the 3 job shards on n1"), "%q", warning)
	assert.Equal(t, len(s.replica.Current().Drains), 1)
}

const samplePolicy = `kind: policies
spec:
  name: p
  priority: '(tenant == "trucks" && service == "match" ? 1000.0 : 0.0) + age_seconds - deadline_seconds + waiting_items - tenant_share'
  may_wait: 'queue_length < 3 && estimated_wait_seconds < deadline_seconds && repeatable && tenant == "t" && service == "s"'
  when_cut_off: 'zone == "z" && region == "r" && service == "s" && cut_off_seconds > 60 && reachable_zones < total_zones ? "refuse_batch" : "serve"'
`

const sampleWorkFile = `work:
- {tenant: books, service: match, deadline: 1h}
- {tenant: trucks, service: match, deadline: 2m, age: 10s, waiting_items: 5, tenant_share: 0.5}
requests:
- {queue_length: 2, deadline: 2s, estimated_wait: 1s, repeatable: true, tenant: t, service: s}
- {queue_length: 3, deadline: 2s, estimated_wait: 1s, repeatable: true, tenant: t, service: s}
sites:
- {zone: z, region: r, service: s, cut_off: 2m, reachable_zones: 1, total_zones: 2}
- {zone: z, region: r, service: s, cut_off: 2m, reachable_zones: 2, total_zones: 2}
`

func TestPolicyCheckAndTest(t *testing.T) {
	s := newSite(t)
	policies := s.file("policies.yaml", samplePolicy)
	assert.Assert(t, strings.Contains(succeed(t, "policy", "check", "-f", policies), "p "))
	sample := s.file("sample.yaml", sampleWorkFile)
	var results []policyTest
	assert.NilError(t, json.Unmarshal([]byte(succeed(t, "policy", "test", "-f", policies, "--sample", sample, "-o", "json")), &results))
	assert.Equal(t, results[0].Order[0].Sample, 2)
	assert.Equal(t, results[0].Order[0].Priority, 1000.0+10-120+5-0.5)
	assert.Assert(t, results[0].Requests[0].MayWait && !results[0].Requests[1].MayWait)
	assert.Equal(t, string(results[0].Sites[0].Action), "refuse_batch")
	assert.Equal(t, string(results[0].Sites[1].Action), "serve")
	stderr := fail(t, ExitInvalid, "policy", "check", "-f", s.file("bad.yaml", "kind: policies\nspec:\n  name: p\n  priority: colour\n"))
	assert.Assert(t, strings.Contains(stderr, "line 4"), stderr)
	fail(t, ExitInvalid, "policy", "test", "-f", policies, "--sample", s.file("typo.yaml", "wrok: []\n"))
	failing := s.file("failing.yaml", "kind: policies\nspec: {name: p, priority: 1.0 / waiting_items}\n")
	fail(t, ExitInvalid, "policy", "test", "-f", failing, "--sample", sample)
}

func TestJobsOverTheCallerAPI(t *testing.T) {
	var uploads, submissions, looks atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", func(w http.ResponseWriter, r *http.Request) {
		file, _, err := r.FormFile("file")
		if err != nil || uploads.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		defer file.Close()
		fmt.Fprintf(w, `{"id":"file-%s"}`, r.FormValue("purpose"))
	})
	mux.HandleFunc("POST /v1/batches", func(w http.ResponseWriter, r *http.Request) {
		submissions.Add(1)
		fmt.Fprintf(w, `{"id":"job-%s","status":"validating"}`, r.Header.Get("Idempotency-Key"))
	})
	mux.HandleFunc("GET /v1/batches/{id}", func(w http.ResponseWriter, r *http.Request) {
		status := "in_progress"
		if looks.Add(1) > 1 {
			status = "completed"
		}
		fmt.Fprintf(w, `{"id":%q,"status":%q,"output_file_id":"out"}`, r.PathValue("id"), status)
	})
	mux.HandleFunc("POST /v1/batches/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"job_storage_unavailable","message":"no leader","not_run":"true","param":null}}`)
	})
	mux.HandleFunc("GET /v1/files/out/content", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}\n") })
	server := httptest.NewServer(mux)
	defer server.Close()
	t.Setenv(envCallerServer, server.URL)

	file := filepath.Join(t.TempDir(), "items.jsonl")
	assert.NilError(t, os.WriteFile(file, []byte("{}\n"), 0o600))
	stdout := succeed(t, "job", "submit", file, "--idempotency-key", "k", "--wait", "10s")
	assert.Assert(t, strings.Contains(stdout, "job-k") && strings.Contains(stdout, "completed"), stdout)
	assert.Equal(t, uploads.Load(), int32(2), "the upload whose answer was lost is sent again")
	assert.Equal(t, submissions.Load(), int32(1))
	succeed(t, "job", "status", "job-k")
	fail(t, ExitUnavailable, "job", "cancel", "job-k")
	assert.Equal(t, succeed(t, "job", "results", "job-k"), "{}\n")
	target := filepath.Join(t.TempDir(), "results.jsonl")
	succeed(t, "job", "results", "job-k", "--output-file", target)
	fail(t, ExitNotFound, "job", "results", "job-k", "--errors")
}

func TestNoCommandStandsTwice(t *testing.T) {
	seen := map[string]bool{}
	for _, command := range newRoot().Commands() {
		assert.Assert(t, !seen[command.Name()], command.Name())
		seen[command.Name()] = true
		assert.Assert(t, command.Short != "", command.Name())
	}
}
