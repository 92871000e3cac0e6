package settings

import (
	"fmt"
	"os"
	"strings"
)

// maximumFileBytes bounds the settings file.
const maximumFileBytes = 1 << 20

// Override is a value given by a flag; it wins over the file. A list is separated by commas.
type Override struct {
	// Field is the dotted name of the field.
	Field string
	Value string
}

// Default returns the settings of an empty file. Required fields are empty, so Check finds them missing.
func Default() Settings {
	var settings Settings
	for _, field := range fields {
		if field.Default == "" {
			continue
		}
		if err := field.set(&settings, field.Default); err != nil {
			panic(err)
		}
	}
	return settings
}

// Load reads the file at path (none if empty), applies the overrides and checks the whole. The error wraps
// ErrUnreadable, or is a Problems with every fault found.
func Load(path string, overrides []Override) (Settings, error) {
	if path == "" {
		return Parse("", nil, overrides)
	}
	content, err := readBounded(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, content, overrides)
}

func readBounded(path string) ([]byte, error) {
	information, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if information.Size() > maximumFileBytes {
		return nil, fmt.Errorf("%w: %s is larger than %d bytes", ErrUnreadable, path, maximumFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return content, nil
}

// Parse decodes the content of a settings file, applies the overrides and checks the whole. name is the file's name
// in problems. The error is a Problems.
func Parse(name string, content []byte, overrides []Override) (Settings, error) {
	decoding := newDecoding(name)
	decoding.document(content)
	for _, override := range overrides {
		decoding.override(override)
	}
	if !decoding.unreadable {
		decoding.addChecked(Check(decoding.settings))
	}
	return decoding.settings, decoding.problems.asError()
}

func (d *decoding) override(override Override) {
	source := "--" + override.Field
	field, known := fieldByPath[override.Field]
	if !known {
		d.problems = append(d.problems, Problem{Source: source, Field: override.Field, Message: "unknown field"})
		return
	}
	d.positions[field.Path] = position{source: source}
	if err := setText(field, &d.settings, override.Value); err != nil {
		d.problems = append(d.problems, Problem{Source: source, Field: field.Path, Message: err.Error()})
		d.faulty[field.Path] = true
	}
}

func setText(field Field, settings *Settings, text string) error {
	if !field.IsList() {
		return field.set(settings, text)
	}
	texts := strings.Split(text, ",")
	for index := range texts {
		texts[index] = strings.TrimSpace(texts[index])
	}
	return field.setList(settings, texts)
}
