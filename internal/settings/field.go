package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field describes one setting. Fields are derived from the tags of Settings, so they cannot disagree with it.
type Field struct {
	// Path is the dotted name, as in "jobs.lease_ttl".
	Path string
	// Type is the type in the words of the documentation.
	Type string
	// Unit is the unit of the value, or empty for text.
	Unit string
	// Default is the value of an absent field, as one would write it; empty means none.
	Default string
	// Minimum and Maximum bound the value; empty means unbounded.
	Minimum, Maximum string
	// OneOf lists the permitted words; empty means any.
	OneOf []string
	// Required marks a field that must be given.
	Required bool
	// Doc is one line of documentation.
	Doc string

	index []int
}

var fields = collectFields(reflect.TypeFor[Settings](), "", nil)

// Fields returns the description of every setting in the order of the file.
func Fields() []Field { return append([]Field(nil), fields...) }

func collectFields(group reflect.Type, prefix string, index []int) []Field {
	var collected []Field
	for position := range group.NumField() {
		member := group.Field(position)
		path := prefix + member.Tag.Get("yaml")
		at := append(append([]int(nil), index...), position)
		if member.Type.Kind() == reflect.Struct {
			collected = append(collected, collectFields(member.Type, path+".", at)...)
			continue
		}
		collected = append(collected, newField(member, path, at))
	}
	return collected
}

func newField(member reflect.StructField, path string, index []int) Field {
	name, unit := describeType(member.Type)
	if stated := member.Tag.Get("unit"); stated != "" {
		unit = stated
	}
	return Field{
		Path:     path,
		Type:     name,
		Unit:     unit,
		Default:  member.Tag.Get("default"),
		Minimum:  member.Tag.Get("min"),
		Maximum:  member.Tag.Get("max"),
		OneOf:    strings.Fields(member.Tag.Get("oneof")),
		Required: member.Tag.Get("required") == "true",
		Doc:      member.Tag.Get("doc"),
		index:    index,
	}
}

func describeType(kind reflect.Type) (name, unit string) {
	switch kind {
	case reflect.TypeFor[time.Duration]():
		return "duration", "time, as in 250ms, 5s, 10m"
	case reflect.TypeFor[Size]():
		return "size", "bytes, KiB, MiB or GiB"
	case reflect.TypeFor[Address]():
		return "address", "IP:port"
	case reflect.TypeFor[[]Address]():
		return "list of addresses", "IP:port"
	case reflect.TypeFor[Path]():
		return "path", ""
	case reflect.TypeFor[Name]():
		return "name", ""
	case reflect.TypeFor[Digest]():
		return "digest", "hexadecimal"
	}
	switch kind.Kind() {
	case reflect.Int:
		return "integer", ""
	case reflect.Float64:
		return "number", ""
	case reflect.Bool:
		return "boolean", ""
	default:
		return "word", ""
	}
}

// IsList says whether the field takes several values.
func (f Field) IsList() bool { return strings.HasPrefix(f.Type, "list") }

func (f Field) value(settings *Settings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
}

// set parses text into the field and checks its range. On an error the field keeps its value.
func (f Field) set(settings *Settings, text string) error {
	target := f.value(settings)
	parsed, err := parseScalar(target.Type(), text)
	if err != nil {
		return err
	}
	if err := f.checkRange(parsed, text); err != nil {
		return err
	}
	target.Set(parsed)
	return nil
}

// setList parses every text into the list field.
func (f Field) setList(settings *Settings, texts []string) error {
	target := f.value(settings)
	list := reflect.MakeSlice(target.Type(), 0, len(texts))
	for _, text := range texts {
		parsed, err := parseScalar(target.Type().Elem(), text)
		if err != nil {
			return err
		}
		list = reflect.Append(list, parsed)
	}
	target.Set(list)
	return nil
}

func (f Field) checkRange(parsed reflect.Value, text string) error {
	if len(f.OneOf) > 0 && !slices.Contains(f.OneOf, text) {
		return fmt.Errorf("%w: %q is none of %s", ErrBadValue, text, strings.Join(f.OneOf, ", "))
	}
	below := f.Minimum != "" && less(parsed, mustParse(parsed.Type(), f.Minimum))
	above := f.Maximum != "" && less(mustParse(parsed.Type(), f.Maximum), parsed)
	if below || above {
		return fmt.Errorf("%w: %s is outside %s to %s", ErrBadValue, text, f.Minimum, f.Maximum)
	}
	return nil
}

func less(first, second reflect.Value) bool {
	if first.Kind() == reflect.Float64 {
		return first.Float() < second.Float()
	}
	return first.Int() < second.Int()
}

// mustParse parses a value from a tag; a tag that does not parse is a programming error.
func mustParse(kind reflect.Type, text string) reflect.Value {
	parsed, err := parseScalar(kind, text)
	if err != nil {
		panic(err)
	}
	return parsed
}

func parseScalar(kind reflect.Type, text string) (reflect.Value, error) {
	parsed, err := parseAny(kind, text)
	if err != nil {
		return reflect.Value{}, err
	}
	return reflect.ValueOf(parsed).Convert(kind), nil
}

func parseAny(kind reflect.Type, text string) (any, error) {
	switch kind {
	case reflect.TypeFor[time.Duration]():
		return parseDuration(text)
	case reflect.TypeFor[Size]():
		return parseSize(text)
	case reflect.TypeFor[Address]():
		return parseAddress(text)
	case reflect.TypeFor[Path]():
		return parsePath(text)
	case reflect.TypeFor[Name]():
		return parseName(text)
	case reflect.TypeFor[Digest]():
		return parseDigest(text)
	}
	switch kind.Kind() {
	case reflect.Int:
		return parseInteger(text)
	case reflect.Float64:
		return parseNumber(text)
	case reflect.Bool:
		return parseBoolean(text)
	default:
		return text, nil
	}
}

func parseDuration(text string) (time.Duration, error) {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not a duration such as 250ms, 5s or 10m", ErrBadValue, text)
	}
	return parsed, nil
}

func parseInteger(text string) (int, error) {
	parsed, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not an integer", ErrBadValue, text)
	}
	return parsed, nil
}

func parseNumber(text string) (float64, error) {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || parsed != parsed {
		return 0, fmt.Errorf("%w: %q is not a number", ErrBadValue, text)
	}
	return parsed, nil
}

func parseBoolean(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%w: %q is neither true nor false", ErrBadValue, text)
}
