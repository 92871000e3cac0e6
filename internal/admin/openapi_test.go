package admin

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gopkg.in/yaml.v3"
	"gotest.tools/v3/assert"
)

const descriptionFile = "../../docs/openapi-admin.yaml"

type schema struct {
	Ref                  string             `yaml:"$ref"`
	Type                 string             `yaml:"type"`
	Enum                 []string           `yaml:"enum"`
	Required             []string           `yaml:"required"`
	Properties           map[string]*schema `yaml:"properties"`
	Items                *schema            `yaml:"items"`
	AdditionalProperties *bool              `yaml:"additionalProperties"`
}

type media map[string]struct{ Schema *schema }

type operation struct {
	Permission string `yaml:"x-permission"`
	Parameters []struct{ Name, In, Ref string }
	Responses  map[string]struct{ Content media }
}

type description struct {
	Paths map[string]struct {
		Get, Put, Post, Delete *operation
	}
	Components struct {
		Schemas   map[string]*schema
		Responses map[string]struct{ Content media }
	}
}

func readDescription(t testing.TB) description {
	t.Helper()
	text, err := os.ReadFile(descriptionFile)
	assert.NilError(t, err)
	var read description
	assert.NilError(t, yaml.Unmarshal(text, &read))
	return read
}

func (d description) operations() map[string]*operation {
	listed := map[string]*operation{}
	for path, item := range d.Paths {
		for method, found := range map[string]*operation{"GET": item.Get, "PUT": item.Put, "POST": item.Post, "DELETE": item.Delete} {
			if found != nil {
				listed[method+" "+path] = found
			}
		}
	}
	return listed
}

var pathParameter = regexp.MustCompile(`[:*](\w+)`)

func TestDescriptionListsEveryRouteWithItsPermissionAndParameters(t *testing.T) {
	described := readDescription(t).operations()
	for _, route := range (&server{}).routes() {
		name := route.method + " " + pathParameter.ReplaceAllString(route.path, "{$1}")
		operation := described[name]
		assert.Assert(t, operation != nil, "%s is not described", name)
		assert.Equal(t, operation.Permission, string(route.permission), name)
		var query []string
		for _, parameter := range operation.Parameters {
			if parameter.In == "query" {
				query = append(query, parameter.Name)
			}
		}
		slices.Sort(query)
		handled := slices.Sorted(slices.Values(route.query))
		assert.Equal(t, strings.Join(query, " "), strings.Join(handled, " "), name)
		delete(described, name)
	}
	assert.Equal(t, len(described), 0, "described but not served: %v", described)
}

// checkAnswer fails the test if the answer is not what the description says of the operation.
func (d description) checkAnswer(t testing.TB, method, template string, answer *httptest.ResponseRecorder) {
	t.Helper()
	operation := d.operations()[method+" "+template]
	assert.Assert(t, operation != nil, "%s %s is not described", method, template)
	content := operation.Responses["200"].Content
	if answer.Code != 200 {
		content = d.Components.Responses["Error"].Content
	}
	var value any
	assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &value))
	for _, mismatch := range d.mismatches("", content["application/json"].Schema, value) {
		t.Errorf("%s %s answered %d: %s", method, template, answer.Code, mismatch)
	}
}

// mismatches checks the few words of JSON Schema that the description uses.
func (d description) mismatches(at string, wanted *schema, value any) []string {
	if wanted.Ref != "" {
		return d.mismatches(at, d.Components.Schemas[strings.TrimPrefix(wanted.Ref, "#/components/schemas/")], value)
	}
	switch typed := value.(type) {
	case map[string]any:
		return append(mismatchedType(at, wanted, "object"), d.mismatchedFields(at, wanted, typed)...)
	case []any:
		found := mismatchedType(at, wanted, "array")
		for index, entry := range typed {
			found = append(found, d.mismatches(fmt.Sprintf("%s[%d]", at, index), wanted.Items, entry)...)
		}
		return found
	case string:
		if len(wanted.Enum) > 0 && !slices.Contains(wanted.Enum, typed) {
			return []string{fmt.Sprintf("%s: %q is not one of %v", at, typed, wanted.Enum)}
		}
		return mismatchedType(at, wanted, "string")
	case float64:
		return mismatchedType(at, wanted, "integer")
	case bool:
		return mismatchedType(at, wanted, "boolean")
	default:
		return []string{at + ": null"}
	}
}

func mismatchedType(at string, wanted *schema, found string) []string {
	if wanted.Type == found {
		return nil
	}
	return []string{fmt.Sprintf("%s: is %s, described as %s", at, found, wanted.Type)}
}

func (d description) mismatchedFields(at string, wanted *schema, fields map[string]any) []string {
	var found []string
	for _, name := range wanted.Required {
		if _, given := fields[name]; !given {
			found = append(found, at+"."+name+": missing")
		}
	}
	closed := wanted.AdditionalProperties != nil && !*wanted.AdditionalProperties
	for name, value := range fields {
		property := wanted.Properties[name]
		if property != nil {
			found = append(found, d.mismatches(at+"."+name, property, value)...)
		} else if closed {
			found = append(found, at+"."+name+": not described")
		}
	}
	return found
}
