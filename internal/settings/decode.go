package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

var (
	fieldByPath = indexFields()
	groups      = indexGroups()
)

func indexFields() map[string]Field {
	index := make(map[string]Field, len(fields))
	for _, field := range fields {
		index[field.Path] = field
	}
	return index
}

// indexGroups returns every dotted prefix that holds fields.
func indexGroups() map[string]bool {
	index := map[string]bool{}
	for _, field := range fields {
		parts := strings.Split(field.Path, ".")
		for length := 1; length < len(parts); length++ {
			index[strings.Join(parts[:length], ".")] = true
		}
	}
	return index
}

// position is where a field was given.
type position struct {
	source string
	line   int
}

// decoding collects values, their positions and every problem of one settings file.
type decoding struct {
	file     string
	settings Settings
	// positions holds where each field was given, so that a later check can name the line.
	positions map[string]position
	// faulty holds the fields that already have a problem: one fault is reported once.
	faulty map[string]bool
	// unreadable says that the file is not YAML, so that what it lacks means nothing.
	unreadable bool
	problems   Problems
}

func newDecoding(file string) *decoding {
	return &decoding{file: file, settings: Default(), positions: map[string]position{}, faulty: map[string]bool{}}
}

func (d *decoding) add(line int, field, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	d.problems = append(d.problems, Problem{Source: d.file, Line: line, Field: field, Message: message})
	d.faulty[field] = true
}

// addChecked adds what a check of the whole found, with the position of each field that was given.
func (d *decoding) addChecked(found Problems) {
	for _, problem := range found {
		if d.faulty[problem.Field] {
			continue
		}
		problem.Source = d.file
		if at, given := d.positions[problem.Field]; given {
			problem.Source, problem.Line = at.source, at.line
		}
		d.problems = append(d.problems, problem)
	}
}

func (d *decoding) document(content []byte) {
	decoder := yaml.NewDecoder(strings.NewReader(string(content)))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if len(strings.TrimSpace(string(content))) > 0 && err.Error() != "EOF" {
			line, message := syntaxProblem(err)
			d.add(line, "", "not YAML: %s", message)
			d.unreadable = true
		}
		return
	}
	var second yaml.Node
	if decoder.Decode(&second) == nil {
		d.add(second.Line, "", "a settings file holds one document")
	}
	if len(document.Content) == 1 {
		d.group(document.Content[0], "")
	}
}

var syntaxLine = regexp.MustCompile(`^yaml: line ([0-9]+): (.*)$`)

func syntaxProblem(err error) (int, string) {
	match := syntaxLine.FindStringSubmatch(err.Error())
	if match == nil {
		return 0, strings.TrimPrefix(err.Error(), "yaml: ")
	}
	line, parseErr := strconv.Atoi(match[1])
	if parseErr != nil {
		return 0, match[2]
	}
	return line, match[2]
}

func (d *decoding) group(node *yaml.Node, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(node.Line, path, "must be a mapping of fields")
		return
	}
	seen := map[string]int{}
	for index := 0; index+1 < len(node.Content); index += 2 {
		key, value := node.Content[index], node.Content[index+1]
		if first, twice := seen[key.Value]; twice {
			d.add(key.Line, join(path, key.Value), "given twice, first on line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		d.member(key, value, join(path, key.Value))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoding) member(key, value *yaml.Node, path string) {
	if groups[path] {
		d.group(value, path)
		return
	}
	field, known := fieldByPath[path]
	if !known {
		d.add(key.Line, path, "unknown field%s", suggestion(path))
		return
	}
	d.positions[path] = position{source: d.file, line: key.Line}
	if field.IsList() {
		d.list(field, value)
		return
	}
	d.scalar(field, value)
}

func (d *decoding) scalar(field Field, node *yaml.Node) {
	text, usable := d.text(field, node)
	if !usable {
		return
	}
	if err := field.set(&d.settings, text); err != nil {
		d.add(node.Line, field.Path, "%v", err)
	}
}

func (d *decoding) list(field Field, node *yaml.Node) {
	if node.Kind != yaml.SequenceNode {
		d.add(node.Line, field.Path, "must be a %s", field.Type)
		return
	}
	texts := make([]string, 0, len(node.Content))
	for _, element := range node.Content {
		text, usable := d.text(field, element)
		if !usable {
			continue
		}
		if err := field.setList(&d.settings, []string{text}); err != nil {
			d.add(element.Line, field.Path, "%v", err)
			continue
		}
		texts = append(texts, text)
	}
	if err := field.setList(&d.settings, texts); err != nil {
		d.add(node.Line, field.Path, "%v", err)
	}
}

const nullTag = "!!null"

func (d *decoding) text(field Field, node *yaml.Node) (string, bool) {
	if node.Kind != yaml.ScalarNode {
		d.add(node.Line, field.Path, "must be a %s", strings.TrimPrefix(field.Type, "list of "))
		return "", false
	}
	if node.Tag == nullTag || node.Value == "" {
		d.add(node.Line, field.Path, "has no value; leave the field out to keep its default")
		return "", false
	}
	return node.Value, true
}

// suggestion names the known field with the same last part, if there is exactly one.
func suggestion(path string) string {
	last := path[strings.LastIndex(path, ".")+1:]
	var found []string
	for _, field := range fields {
		if field.Path == last || strings.HasSuffix(field.Path, "."+last) {
			found = append(found, field.Path)
		}
	}
	if len(found) != 1 {
		return ""
	}
	return "; did you mean " + found[0] + "?"
}
