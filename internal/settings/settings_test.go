package settings

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const minimal = `node: {id: palermo-1, zone: palermo, region: sicily}
platform:
  kv_endpoints: ["127.0.0.1:2379"]
  machine_list: 127.0.0.1:2380
`

func TestEveryFieldIsDescribed(t *testing.T) {
	for _, field := range Fields() {
		assert.Assert(t, field.Doc != "" && !strings.Contains(field.Doc, "\n"), "%s has no line of documentation", field.Path)
		assert.Assert(t, !strings.HasSuffix(field.Path, ".") && field.Path != "", "a field has no name")
		numeric := field.Type == "integer" || field.Type == "number" || field.Type == "duration" || field.Type == "size"
		if numeric {
			assert.Assert(t, field.Minimum != "" && field.Maximum != "", "%s has no range", field.Path)
			assert.Assert(t, field.Default != "" || field.Required, "%s has no default", field.Path)
			assert.Assert(t, field.Unit != "", "%s has no unit", field.Path)
		}
	}
}

func TestReferencePageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Reference(), "run: mallowlatch config reference > docs/SETTINGS.md")
}

func TestMinimalFileTakesDefaults(t *testing.T) {
	settings, err := Parse("node.yaml", []byte(minimal), nil)
	assert.NilError(t, err)
	assert.Equal(t, settings.Listen.Caller, Address("127.0.0.1:8080"))
	assert.Equal(t, settings.Limits.BodyBytes, 4*mebibyte)
	assert.Equal(t, settings.Jobs.LeaseTTL, 10*time.Second)
	assert.Equal(t, settings.DataDir, Path(""))
	assert.DeepEqual(t, settings.Platform.KVEndpoints, []Address{"127.0.0.1:2379"})
}

func TestOverrideWinsOverFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(minimal+"jobs: {shards: 4}\n"), 0o600))
	settings, err := Load(path, []Override{{"jobs.shards", "16"}, {"listen.seeds", "127.0.0.1:1, 127.0.0.1:2"}})
	assert.NilError(t, err)
	assert.Equal(t, settings.Jobs.Shards, 16)
	assert.DeepEqual(t, settings.Listen.Seeds, []Address{"127.0.0.1:1", "127.0.0.1:2"})
}

func TestEveryProblemIsReportedAtOnceWithItsPlace(t *testing.T) {
	content := `node:
  id: palermo 1
  zone: palermo
  colour: red
listen:
  caller: gateway.local:8080
  admin: 127.0.0.1:8082
  peer: 0.0.0.0:8082
  seeds: [127.0.0.1:1, nowhere]
jobs:
  shards: 0
  replicas: 2
  lease_ttl: soon
  shards: 3
limits: 7
log: {level: loud}
lease_ttl: 5s
data_dir:
`
	overrides := []Override{{"jobs.retention", "-1s"}, {"no.such", "1"}}
	_, err := Parse("node.yaml", []byte(content), overrides)
	assert.ErrorIs(t, err, ErrInvalid)
	expected := []string{
		`--jobs.retention: jobs.retention: bad value: -1s is outside 1m to 8760h`,
		`--no.such: no.such: unknown field`,
		`node.yaml: node.region: required field is missing`,
		`node.yaml: platform.kv_endpoints: required field is missing`,
		`node.yaml: platform.machine_list: required field is missing`,
		`node.yaml: listen.advertise: must be given when listen.peer stands for every address of the machine`,
		`node.yaml: tls.peer.cert: required: listen.peer is reachable from other machines`,
		`node.yaml: jobs.minimum_copies: is larger than jobs.replicas, so no job could ever be accepted`,
		`node.yaml:2: node.id: bad value: "palermo 1" is not a name: 1 to 63 letters, digits, dots, dashes or underscores, first a letter or digit`,
		`node.yaml:4: node.colour: unknown field`,
		`node.yaml:6: listen.caller: bad value: "gateway.local:8080" is not an IP address and port such as 10.0.0.1:8080 or [fd00::1]:8080`,
		`node.yaml:9: listen.seeds: bad value: "nowhere" is not an IP address and port such as 10.0.0.1:8080 or [fd00::1]:8080`,
		`node.yaml:11: jobs.shards: bad value: 0 is outside 1 to 1024`,
		`node.yaml:13: jobs.lease_ttl: bad value: "soon" is not a duration such as 250ms, 5s or 10m`,
		`node.yaml:14: jobs.shards: given twice, first on line 11`,
		`node.yaml:15: limits: must be a mapping of fields`,
		`node.yaml:16: log.level: bad value: "loud" is none of debug, info, warn, error`,
		`node.yaml:17: lease_ttl: unknown field; did you mean jobs.lease_ttl?`,
		`node.yaml:18: data_dir: has no value; leave the field out to keep its default`,
	}
	assert.DeepEqual(t, strings.Split(err.Error(), "\n")[1:], expected)
}

func TestSyntaxErrorIsTheOnlyProblemAndNamesTheLine(t *testing.T) {
	_, err := Parse("node.yaml", []byte("node:\n  id: a: b\n"), nil)
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].String(), "node.yaml:2: not YAML: mapping values are not allowed in this context")
}

func TestPeerWithoutTLSOnlyOnLoopback(t *testing.T) {
	settings := Default()
	settings.Listen.Peer = "10.0.0.1:8082"
	fieldsAtFault := map[string]bool{}
	for _, problem := range Check(settings) {
		fieldsAtFault[problem.Field] = true
	}
	assert.Assert(t, fieldsAtFault["tls.peer.cert"])
	settings.TLS.Peer = Certificate{Cert: "c", Key: "k", CA: "a"}
	settings.TLS.KeyValue = Certificate{Cert: "c", Key: "k"}
	assert.Assert(t, slices.ContainsFunc(Check(settings), func(problem Problem) bool { return problem.Field == "tls.key_value.ca" }))
	settings.TLS.KeyValue.CA = "a"
	for _, problem := range Check(settings) {
		assert.Assert(t, !strings.HasPrefix(problem.Field, "tls."), "%v", problem)
	}
}

func TestProcessSettingsFitTogether(t *testing.T) {
	for _, test := range []struct {
		processors, idle, memory string
		problem                  string
	}{
		{"0", "4", "0", ""},
		{"4", "4", "32MiB", ""},
		{"3", "4", "0", "process.idle_processors: is larger than process.processors"},
		{"0", "1", "31MiB", "process.memory_target: is below 32MiB"},
	} {
		_, err := Parse("node.yaml", []byte(minimal), []Override{
			{"process.processors", test.processors}, {"process.idle_processors", test.idle}, {"process.memory_target", test.memory},
		})
		if test.problem == "" {
			assert.NilError(t, err, "%v", test)
			continue
		}
		assert.ErrorContains(t, err, test.problem)
	}
}

func TestSizeIsReadBackAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SampledFrom([]Size{1, kibibyte, mebibyte, gibibyte}).Draw(t, "unit")
		size := Size(rapid.Int64Range(0, 1<<20).Draw(t, "count")) * unit
		parsed, err := parseSize(size.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, size)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("node: &a {id: x}\nlisten: *a\n---\n- b"))
	f.Add([]byte("jobs: {shards: !!binary aGk=}\n? [a]\n: b"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := Parse("node.yaml", content, nil)
		if err == nil {
			assert.Equal(t, len(Check(settings)), 0)
		}
	})
}

// An empty folder means none; it must not become the working directory, where a node without a disk would then write.
func TestEmptyPathStaysEmpty(t *testing.T) {
	overrides := []Override{{Field: "data_dir", Value: ""}}
	for _, field := range []string{"node.id", "node.zone", "node.region"} {
		overrides = append(overrides, Override{Field: field, Value: "name"})
	}
	for _, field := range []string{"platform.kv_endpoints", "platform.machine_list"} {
		overrides = append(overrides, Override{Field: field, Value: "127.0.0.1:1"})
	}
	parsed, err := Parse("test", nil, overrides)
	assert.NilError(t, err)
	assert.Equal(t, parsed.DataDir, Path(""))
}
