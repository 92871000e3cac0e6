package catalog_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const site = `
kind: zones
spec: {name: palermo, region: sicily, distance: {catania: 2.5}}
---
kind: zones
name: catania
spec: {region: sicily}
---
- kind: tenants
  spec: {name: nurses}
- kind: models
  spec:
    name: medic-8b
    version: 2026-11-01
    memory_bytes: 17179869184
- kind: adapters
  spec: {name: donors, model: medic-8b, version: v1}
- kind: policies
  spec: {name: online-first, when_cut_off: '"serve"'}
- kind: keys
  spec: {id: k1, tenant: nurses, role: caller, digest: ` + someDigest + `}
- kind: services
  spec: {name: booking, model: medic-8b, adapter: donors, policy: online-first, tenants: [nurses], zones: [palermo]}
- kind: drains
  spec: {name: runner/10.0.0.1:9000, reason: disk}
`

const someDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func parse(t testing.TB, text string) []catalog.Resource {
	t.Helper()
	manifests, err := catalog.ParseManifests([]byte(text))
	assert.NilError(t, err)
	var resources []catalog.Resource
	for _, manifest := range manifests {
		resources = append(resources, manifest.Resource)
	}
	return resources
}

func problemsOf(t testing.TB, err error) string {
	t.Helper()
	var invalid *catalog.InvalidError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	assert.ErrorIs(t, err, catalog.ErrInvalid)
	var lines []string
	for _, problem := range invalid.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func TestBuildTakesAWholeSite(t *testing.T) {
	snapshot, err := catalog.Build(parse(t, site))
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Models["medic-8b"].Version, "2026-11-01", "a date-like version stays as written")
	assert.Equal(t, snapshot.Tenants["nurses"].Weight, 1.0)
	assert.Equal(t, snapshot.Services["booking"].MaxTokens, 1024)
	assert.Equal(t, snapshot.Zones["catania"].Region, snapshot.Zones["palermo"].Region)
	assert.Equal(t, len(snapshot.Resources()), 9)
}

func TestEveryProblemIsListedAtOnce(t *testing.T) {
	_, err := catalog.Build(parse(t, `
- {kind: tenants, spec: {name: -x, weight: -1, colour: red, burst: lots}}
- {kind: services, spec: {name: chat, model: gone, adapter: gone, policy: gone, tenants: [gone], zones: [gone]}}
- {kind: keys, spec: {id: k, role: caller, tenant: gone, digest: `+someDigest+`}}
- {kind: keys, spec: {id: l, role: owner, digest: `+someDigest+`}}
- {kind: teams, spec: {}}
- {kind: drains, spec: {name: rack/7}}
- {kind: models, name: a, spec: {name: b, version: v}}
`))
	assert.Equal(t, problemsOf(t, err), `drains/rack/7: name: "rack/7" must be runner/ID or node/ID
keys/k: tenant: there is no tenant "gone"
keys/l: digest: is that of key "k" too; every key needs its own secret
keys/l: role: is "owner"; it must be caller, viewer, operator or admin
models/b: name: is "b" but the resource is addressed as "a"
services/chat: adapter: there is no adapter "gone"
services/chat: model: there is no model "gone"
services/chat: policy: there is no policy "gone"
services/chat: tenants: there is no tenant "gone"
services/chat: zones: there is no zone "gone"
teams/: kind: there is no kind "teams"; the kinds are zones, tenants, keys, models, adapters, policies, services, drains
tenants/-x: burst: must be a number, not string
tenants/-x: colour: is not a field of tenants; the fields are burst, job_retention_hours, max_in_flight, max_job_bytes, max_jobs, name, requests_per_second, tokens_per_second, weight
tenants/-x: name: "-x" must consist of letters, digits, '.', '_' and '-', and begin and end with a letter or digit
tenants/-x: weight: is -1; it must be from 0 to 1e+06`)
}

func TestNothingInUseCanBeDeleted(t *testing.T) {
	snapshot, err := catalog.Build(parse(t, site))
	assert.NilError(t, err)
	for _, row := range []struct{ kind, name, wanted string }{
		{"models", "medic-8b", "adapters/donors: model: there is no model \"medic-8b\"\nservices/booking: model: there is no model \"medic-8b\""},
		{"tenants", "nurses", "keys/k1: tenant: there is no tenant \"nurses\"\nservices/booking: tenants: there is no tenant \"nurses\""},
		{"policies", "online-first", "services/booking: policy: there is no policy \"online-first\""},
		{"zones", "catania", "zones/palermo: distance.catania: there is no zone \"catania\""},
		{"drains", "runner/10.0.0.1:9000", ""},
	} {
		_, err := catalog.Build(without(snapshot, row.kind+"/"+row.name))
		if row.wanted == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, problemsOf(t, err), row.wanted)
	}
}

func without(snapshot *catalog.Snapshot, reference string) []catalog.Resource {
	return slices.DeleteFunc(snapshot.Resources(), func(resource catalog.Resource) bool {
		return resource.Reference().String() == reference
	})
}

func TestManifestProblemsNameTheLine(t *testing.T) {
	for text, wanted := range map[string]string{
		"kind: tenants\nspec:\n  name: a\n  name: b\n":     "line 4: name: stands twice",
		"kind: tenants\nmetadata: {}\nspec: {name: a}\n":   "line 2: metadata: is not a field of a manifest; the fields are kind, name, revision, spec",
		"kind: tenants\nspec: {name: a, weight: .inf}\n":   `line 2: ".inf" is not a finite number`,
		"kind: tenants\nspec: &x {name: a, y: *x}\n":       "line 2: aliases are not allowed",
		"kind: tenants\nspec: [\n":                         "line 2: yaml: line 2: did not find expected node content",
		"spec: {name: a}\n":                                "line 1: kind: must not be empty; the kinds are zones, tenants, keys, models, adapters, policies, services, drains",
		"just text":                                        "line 1: must be an object with kind, name and spec",
		"kind: tenants\nrevision: soon\nspec: {name: a}\n": "line 2: revision: yaml: unmarshal errors:\n  line 2: cannot unmarshal !!str `soon` into int64",
	} {
		_, err := catalog.ParseManifests([]byte(text))
		assert.Equal(t, problemsOf(t, err), wanted, text)
	}
}

func TestJSONManifestProblemsNameTheLine(t *testing.T) {
	for text, wanted := range map[string]string{
		"{\n\t\"kind\": \"tenants\",\n\t\"spec\": {\"a\": [}\n}\n":                 "line 3: invalid JSON: invalid character '}' looking for beginning of value",
		"[{\n\"kind\": \"tenants\",\n\"spec\": {\"a\": 1,\n \"a\": 2}}]":           "line 4: a: stands twice",
		"{\"kind\": \"tenants\",\n\"spec\": {\"name\": \"a\"}":                     "line 2: invalid JSON: unexpected EOF",
		"{\"kind\": \"tenants\",\n\"spec\": {\"name\": \"a\"}}\n{}":                "line 3: invalid JSON: text after the end of the value",
		strings.Repeat("[", 100_000):                                               "line 1: invalid JSON: nested too deeply",
		"{\"kind\": \"tenants\", \"spec\":\n{\"name\": \"a\", \"weight\": 1e999}}": `line 2: "1e999" is not a finite number`,
	} {
		_, err := catalog.ParseJSONManifests([]byte(text))
		assert.Equal(t, problemsOf(t, err), wanted, text)
	}
}

func TestManifestTakesIndentedJSON(t *testing.T) {
	manifests, err := catalog.ParseJSONManifests([]byte("{\n\t\"kind\": \"tenants\",\n\t\"revision\": 0,\n\t\"spec\": {\n\t\t\"name\": \"a\\u00e9\\/\\ud83d\\ude00\",\n\t\t\"weight\": 1e2\n\t}\n}\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(manifests[0].Spec), `{"name":"aé/😀","weight":100}`)
	assert.Assert(t, manifests[0].Guarded)
	assert.Equal(t, manifests[0].Line("weight"), 6)
}

func TestLoadServesWhatANewerProgramWrote(t *testing.T) {
	resources := parse(t, site)
	resources = append(resources,
		catalog.Resource{Kind: "tenants", Name: "later", Revision: 9, Spec: json.RawMessage(`{"name":"later","colour":"red"}`)},
		catalog.Resource{Kind: "quotas", Name: "q", Revision: 10, Spec: json.RawMessage(`{}`)})
	_, err := catalog.Build(resources)
	assert.ErrorIs(t, err, catalog.ErrInvalid)
	snapshot, left := catalog.Load(resources)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].Name, "q")
	assert.Equal(t, snapshot.Revision, int64(9))
	assert.Equal(t, snapshot.Tenants["later"].Weight, 1.0)
}

func TestHolderRevisionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := catalog.NewHolder()
		newest := int64(0)
		for _, revision := range rapid.SliceOf(rapid.Int64Range(0, 20)).Draw(t, "revisions") {
			changed := holder.Changed(newest)
			err := holder.Publish(&catalog.Snapshot{Revision: revision})
			assert.Equal(t, errors.Is(err, catalog.ErrStaleRevision), revision < newest)
			assert.Equal(t, isClosed(changed), revision > newest)
			newest = max(newest, revision)
			assert.Equal(t, holder.Current().Revision, newest)
			assert.Assert(t, !isClosed(holder.Changed(newest)))
			assert.Assert(t, newest == 0 || isClosed(holder.Changed(newest-1)))
		}
	})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestLoadAfterEqualsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := map[catalog.Reference]catalog.Resource{}
		previous := catalog.Empty()
		for revision := int64(1); revision <= 12; revision++ {
			typed := drawResource(t)
			resource, err := catalog.Encode(typed)
			assert.NilError(t, err)
			resource.Revision = revision
			if rapid.Bool().Draw(t, "delete") {
				delete(stored, resource.Reference())
			} else {
				stored[resource.Reference()] = resource
			}
			resources := slices.Collect(maps.Values(stored))
			after, afterProblems := catalog.LoadAfter(previous, resources)
			fresh, freshProblems := catalog.Load(resources)
			assert.Equal(t, len(afterProblems), len(freshProblems))
			if len(freshProblems) == 0 {
				assert.DeepEqual(t, after, fresh)
				previous = after
			}
		}
	})
}

func drawResource(t *rapid.T) any {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.IntRange(1, 3).Draw(t, "number")
	return rapid.SampledFrom([]any{
		&catalog.Tenant{Name: ident.Tenant(name), Weight: float64(number)},
		&catalog.Key{ID: name, Role: catalog.RoleViewer, Digest: strings.Repeat(fmt.Sprint(number), 64)},
		&catalog.Service{Name: name, Model: name, MaxTokens: number},
		&catalog.Model{Name: name, Version: fmt.Sprint(number)},
		&catalog.Zone{Name: ident.Zone(name), Region: "r"},
		&catalog.Drain{Name: "node/" + name, Reason: fmt.Sprint(number)},
	}).Draw(t, "typed")
}

func FuzzParseManifests(f *testing.F) {
	f.Add([]byte(site))
	f.Add([]byte(`{"kind":"tenants","spec":{"name":"a","weight":1e400}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, parse := range []func([]byte) ([]catalog.Manifest, error){catalog.ParseManifests, catalog.ParseJSONManifests} {
			manifests, err := parse(text)
			if err != nil {
				assert.ErrorIs(t, err, catalog.ErrInvalid)
			}
			checkNormalization(t, manifests)
		}
	})
}

// checkNormalization checks that normalizing twice gives what normalizing once does.
func checkNormalization(t *testing.T, manifests []catalog.Manifest) {
	t.Helper()
	for _, manifest := range manifests {
		normal, err := catalog.Normalize(manifest.Resource)
		if err != nil {
			continue
		}
		again, err := catalog.Normalize(normal)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, normal)
	}
}
