package jobpeer_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

// writeForms names the folder of testdata/forms that samples of this build's wire formats are written to, once per release.
var writeForms = flag.String("write-forms", "", "folder of testdata/forms to write this build's samples to")

// forms returns the messages that processes of different builds exchange and the records that outlive a process, by sample
// name.
func forms() map[string]any {
	return map[string]any{
		"results":           &jobpeer.ResultsQuery{},
		"results-reply":     &jobpeer.ResultsReply{},
		"body":              &jobpeer.BodyQuery{},
		"body-reply":        &jobpeer.BodyReply{},
		"keep":              &jobpeer.KeepRequest{},
		"keep-reply":        &jobpeer.KeepReply{},
		"pending":           &jobpeer.PendingQuery{},
		"pending-reply":     &jobpeer.PendingReply{},
		"demand":            &demand.Report{},
		"demand-reply":      &demand.Answer{},
		"mirror":            &jobpeer.MirrorRequest{},
		"mirror-reply":      &jobpeer.MirrorReply{},
		"recall":            &jobpeer.RecallQuery{},
		"recall-reply":      &jobpeer.RecallReply{},
		"assign":            &jobpeer.AssignRequest{},
		"assign-reply":      &jobpeer.AssignReply{},
		"lend":              &lending.Request{},
		"lend-reply":        &lending.Reply{},
		"take-back":         &lending.Recall{},
		"live":              &jobpeer.LiveQuery{},
		"live-reply":        &jobpeer.LiveReply{},
		"ends":              &jobpeer.EndsRequest{},
		"ends-reply":        &jobpeer.EndsReply{},
		"quota":             &quota.NodeReport{},
		"quota-reply":       &quota.Answer{},
		"room":              &jobpeer.RoomRequest{},
		"room-reply":        &jobpeer.RoomReply{},
		"keep-origins":      &jobpeer.KeepOriginsRequest{},
		"find-origin":       &jobpeer.FindOriginQuery{},
		"find-origin-reply": &streamorigin.Answer{},
		"feed":              &fleetfeed.SnapshotRequest{},
		"feed-reply":        &fleetfeed.Snapshot{},
		"newest-reply":      &fleetfeed.Newest{},
		"job-header":        &jobrecord.Header{},
		"job-open":          &jobrecord.Open{},
		"job-result":        &jobrecord.StoredResult{},
		"job-on-disk":       &handoff.Entry{},
		"configuration":     &work.Catalog{},
		"registered-peers":  &jobrecord.Worker{},
		"output-on-disk":    &progress.Update{},
		"ends-on-disk":      &[]poison.Record{},
	}
}

// TestFormatsOfEarlierBuildsAreRead decodes the samples that earlier builds wrote with every field set, and checks that no value
// is lost. A renamed field, or one whose meaning changed, would be lost between two builds that run side by side.
func TestFormatsOfEarlierBuildsAreRead(t *testing.T) {
	if *writeForms != "" {
		write(t, filepath.Join("testdata/forms", *writeForms))
	}
	builds, err := filepath.Glob("testdata/forms/*")
	assert.NilError(t, err)
	assert.Assert(t, len(builds) > 0, "no samples")
	for _, build := range builds {
		for name, form := range forms() {
			sample, err := os.ReadFile(filepath.Join(build, name+".json"))
			if os.IsNotExist(err) {
				// The format is newer than the build.
				continue
			}
			assert.NilError(t, err)
			assert.NilError(t, json.Unmarshal(sample, form), "%s of %s", name, build)
			encoded, err := json.Marshal(form)
			assert.NilError(t, err)
			lost := missing(name, decoded(t, sample), decoded(t, encoded))
			assert.Assert(t, lost == "", "%s of build %s lost %s", name, build, lost)
		}
	}
}

// TestEachSampleHasItsFormat fails if a format of an earlier build is no longer read.
func TestEachSampleHasItsFormat(t *testing.T) {
	samples, err := filepath.Glob("testdata/forms/*/*.json")
	assert.NilError(t, err)
	known := forms()
	for _, sample := range samples {
		name := filepath.Base(sample)
		assert.Assert(t, known[name[:len(name)-len(".json")]] != nil, sample)
	}
}

// write writes the samples of this build.
func write(t *testing.T, folder string) {
	t.Helper()
	assert.NilError(t, os.MkdirAll(folder, 0o755))
	for name, form := range forms() {
		fill(reflect.ValueOf(form).Elem(), name)
		encoded, err := json.MarshalIndent(form, "", "\t")
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name+".json"), append(encoded, '\n'), 0o644))
	}
}

// fill sets each exported field of a value to content that differs from most other fields.
func fill(value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path)
	case reflect.Struct:
		for index := range value.NumField() {
			if field := value.Type().Field(index); field.IsExported() {
				fill(value.Field(index), path+"."+field.Name)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), path)
	case reflect.Array:
		fill(value.Index(0), path)
	case reflect.Map:
		key, content := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, path)
		fill(content, path)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, content)
	case reflect.String:
		value.SetString(path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(1.5 + float64(len(path)))
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(1 + len(path)))
	case reflect.Uint8:
		value.SetUint(1)
	}
}

func decoded(t *testing.T, encoded []byte) any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()
	var content any
	assert.NilError(t, decoder.Decode(&content))
	return content
}

// missing returns the path of the first value of an earlier encoding that a later one lacks, or an empty string.
func missing(path string, earlier, later any) string {
	switch earlier := earlier.(type) {
	case map[string]any:
		members, _ := later.(map[string]any)
		for name, value := range earlier {
			if lost := missing(path+"."+name, value, members[name]); lost != "" {
				return lost
			}
		}
		return ""
	case []any:
		elements, _ := later.([]any)
		if len(elements) != len(earlier) {
			return path
		}
		for index := range earlier {
			if lost := missing(fmt.Sprintf("%s[%d]", path, index), earlier[index], elements[index]); lost != "" {
				return lost
			}
		}
		return ""
	}
	if !reflect.DeepEqual(earlier, later) {
		return path
	}
	return ""
}
