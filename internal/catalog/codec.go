package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// MaxSpecBytes bounds the JSON of one resource.
const MaxSpecBytes = 256 << 10

// object is what every kind of resource implements.
type object interface {
	kind() Kind
	// name returns the name the resource is addressed by; setName fills it in where the spec leaves it out.
	name() string
	setName(name string)
	// applyDefaults replaces zero values that mean "the default".
	applyDefaults()
	// validate checks the resource by itself.
	validate(problems *problemList)
	// insert adds the resource to a snapshot under construction.
	insert(snapshot *Snapshot)
}

// newObject returns an empty object of the kind, or nil if there is no such kind.
func newObject(kind Kind) object {
	switch kind {
	case KindTenant:
		return &Tenant{}
	case KindKey:
		return &Key{}
	case KindService:
		return &Service{}
	case KindModel:
		return &Model{}
	case KindAdapter:
		return &Adapter{}
	case KindPolicy:
		return &Policy{}
	case KindZone:
		return &Zone{}
	case KindDrain:
		return &Drain{}
	default:
		return nil
	}
}

// Kinds returns every kind of resource, in the order they can be created.
func Kinds() []Kind {
	return []Kind{KindZone, KindTenant, KindKey, KindModel, KindAdapter, KindPolicy, KindService, KindDrain}
}

// Known says whether the kind exists.
func (k Kind) Known() bool { return newObject(k) != nil }

// Encode returns the stored form of a typed resource, for example &Tenant{...}.
func Encode(typed any) (Resource, error) {
	subject, known := typed.(object)
	if !known {
		problem := Problem{Message: fmt.Sprintf("%T is not a kind of resource", typed)}
		return Resource{}, &InvalidError{Problems: []Problem{problem}}
	}
	spec, err := json.Marshal(subject)
	if err != nil {
		return Resource{}, fmt.Errorf("encoding %s/%s: %w", subject.kind(), subject.name(), err)
	}
	return Resource{Kind: subject.kind(), Name: subject.name(), Spec: spec}, nil
}

// Decode returns the typed resource, for example *Tenant, with defaults filled in. It refuses unknown fields, wrong
// types and values out of range, and lists every problem in an *InvalidError.
func Decode(resource Resource) (any, error) {
	decoded, problems := decodeStrict(resource)
	if err := asError(problems); err != nil {
		return nil, err
	}
	return decoded, nil
}

// Normalize checks a resource by itself and returns it with its name, defaults and canonical JSON.
func Normalize(resource Resource) (Resource, error) {
	decoded, err := Decode(resource)
	if err != nil {
		return Resource{}, err
	}
	normal, err := Encode(decoded)
	if err != nil {
		return Resource{}, err
	}
	normal.Revision = resource.Revision
	return normal, nil
}

func decodeStrict(resource Resource) (object, []Problem) {
	subject, list := decodeFields(resource, true)
	if subject == nil {
		return nil, list.problems
	}
	checkName(subject, resource.Name, list)
	subject.applyDefaults()
	subject.validate(list)
	return subject, list.problems
}

// decodeLenient is for configuration that was accepted earlier, perhaps by a newer program: it skips unknown fields.
func decodeLenient(resource Resource) (object, []Problem) {
	subject, list := decodeFields(resource, false)
	if subject == nil {
		return nil, list.problems
	}
	checkName(subject, resource.Name, list)
	if len(list.problems) > 0 {
		return nil, list.problems
	}
	subject.applyDefaults()
	return subject, nil
}

func checkName(subject object, name string, list *problemList) {
	if subject.name() == "" {
		subject.setName(name)
	}
	list.name = subject.name()
	if name != "" && subject.name() != name {
		list.add(nameField(subject.kind()), "is %q but the resource is addressed as %q", subject.name(), name)
	}
}

// nameField returns the wire name of the field that names a resource of the kind.
func nameField(kind Kind) string {
	if kind == KindKey {
		return "id"
	}
	return "name"
}

// decodeFields decodes field by field, so that one wrong field does not hide another.
func decodeFields(resource Resource, strict bool) (object, *problemList) {
	list := &problemList{kind: resource.Kind, name: resource.Name}
	subject := newObject(resource.Kind)
	if subject == nil {
		list.add("kind", "there is no kind %q; the kinds are %s", resource.Kind, kindNames())
		return nil, list
	}
	if len(resource.Spec) > MaxSpecBytes {
		list.add("spec", "is %d bytes long; at most %d are allowed", len(resource.Spec), MaxSpecBytes)
		return nil, list
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(resource.Spec, &fields); err != nil {
		list.add("spec", "must be a JSON object: %v", err)
		return nil, list
	}
	if list.name == "" {
		// An undecodable name is reported as a problem of its field.
		_ = json.Unmarshal(fields[nameField(resource.Kind)], &list.name)
	}
	assignFields(subject, fields, strict, list)
	return subject, list
}

func assignFields(subject object, fields map[string]json.RawMessage, strict bool, list *problemList) {
	targets := fieldsByTag(subject)
	for _, field := range sortedKeys(fields) {
		target, known := targets[field]
		if !known && strict {
			list.add(field, "is not a field of %s; the fields are %s", list.kind, strings.Join(sortedKeys(targets), ", "))
		}
		if !known || bytes.Equal(fields[field], []byte("null")) {
			continue
		}
		if err := json.Unmarshal(fields[field], target.Addr().Interface()); err != nil {
			list.add(field, "%s", typeMessage(err, target.Type()))
		}
	}
}

func fieldsByTag(subject object) map[string]reflect.Value {
	value := reflect.ValueOf(subject).Elem()
	targets := make(map[string]reflect.Value, value.NumField())
	for index := range value.NumField() {
		tag, _, _ := strings.Cut(value.Type().Field(index).Tag.Get("json"), ",")
		targets[tag] = value.Field(index)
	}
	return targets
}

// typeMessage says what type a field must have, in the words of JSON.
func typeMessage(err error, wanted reflect.Type) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return err.Error()
	}
	return fmt.Sprintf("must be %s, not %s", jsonType(wanted), typeError.Value)
}

func jsonType(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each entry " + jsonType(wanted.Elem())
	case reflect.Map:
		return "an object, each value " + jsonType(wanted.Elem())
	default:
		return wanted.String()
	}
}

func kindNames() string {
	names := make([]string, 0, len(Kinds()))
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func sortedKeys[K ~string, V any](values map[K]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, string(key))
	}
	sort.Strings(keys)
	return keys
}

// NameOf returns the name of a resource, which may stand in its spec alone; empty if it stands nowhere.
func NameOf(resource Resource) string {
	if resource.Name != "" {
		return resource.Name
	}
	var fields map[string]json.RawMessage
	var name string
	// What cannot be decoded has no name; Decode says what is wrong with it.
	_ = json.Unmarshal(resource.Spec, &fields)
	_ = json.Unmarshal(fields[nameField(resource.Kind)], &name)
	return name
}
