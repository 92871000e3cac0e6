package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"gopkg.in/yaml.v3"
)

// MaxManifests bounds the resources of one apply.
const MaxManifests = 10_000

// Manifest is a resource as an operator writes it, in YAML or JSON: "kind", "name", "spec" and, to guard against a
// race, the "revision" the change is meant for.
type Manifest struct {
	Resource
	// Guarded says that Revision was written, and so must match; revision zero means "must not exist yet".
	Guarded bool
	// lines holds the one-based line of each field of the spec, and of the manifest itself under "".
	lines map[string]int
}

// Line returns the line of a field of the spec, or of the manifest if the field has no line of its own.
func (m Manifest) Line(field string) int {
	if line, known := m.lines[field]; known {
		return line
	}
	return m.lines[""]
}

// Locate returns the problem with the line of the field it names.
func (m Manifest) Locate(problem Problem) Problem {
	if problem.Line == 0 {
		problem.Line = m.Line(problem.Field)
	}
	return problem
}

// ParseManifests reads YAML documents. A document is one manifest or a list of them. Every problem of
// form is listed, with its line, in an *InvalidError; the specs themselves are checked by Decode.
func ParseManifests(text []byte) ([]Manifest, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	parser := &manifestParser{}
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			parser.fail(lineOfYAMLError(err), "", "%v", err)
			break
		}
		parser.document(&document)
	}
	if err := asError(parser.problems); err != nil {
		return nil, err
	}
	return parser.manifests, nil
}

var yamlErrorLine = regexp.MustCompile(`line (\d+)`)

// lineOfYAMLError finds the line in the parser's message; the library has no typed form of it.
func lineOfYAMLError(err error) int {
	match := yamlErrorLine.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

type manifestParser struct {
	manifests []Manifest
	problems  []Problem
}

func (p *manifestParser) fail(line int, field, format string, arguments ...any) {
	p.problems = append(p.problems, Problem{Line: line, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (p *manifestParser) document(document *yaml.Node) {
	if len(document.Content) == 0 {
		return
	}
	root := document.Content[0]
	if root.Kind == yaml.SequenceNode {
		for _, entry := range root.Content {
			p.manifest(entry)
		}
		return
	}
	if root.Tag == "!!null" {
		return
	}
	p.manifest(root)
}

func (p *manifestParser) manifest(node *yaml.Node) {
	if len(p.manifests) >= MaxManifests {
		p.fail(node.Line, "", "more than %d resources in one apply", MaxManifests)
		return
	}
	if node.Kind != yaml.MappingNode {
		p.fail(node.Line, "", "must be an object with kind, name and spec")
		return
	}
	before := len(p.problems)
	manifest := Manifest{lines: map[string]int{"": node.Line}}
	for index := 0; index+1 < len(node.Content); index += 2 {
		p.envelopeField(&manifest, node.Content[index], node.Content[index+1])
	}
	if len(p.problems) > before {
		return
	}
	if manifest.Kind == "" {
		p.fail(node.Line, "kind", "must not be empty; the kinds are %s", kindNames())
		return
	}
	if manifest.Spec == nil {
		p.fail(node.Line, "spec", "must not be empty")
		return
	}
	p.manifests = append(p.manifests, manifest)
}

func (p *manifestParser) envelopeField(manifest *Manifest, key, value *yaml.Node) {
	switch key.Value {
	case "kind":
		p.scalar(key, value, &manifest.Kind)
	case "name":
		p.scalar(key, value, &manifest.Name)
	case "revision":
		p.scalar(key, value, &manifest.Revision)
		manifest.Guarded = true
	case "spec":
		p.spec(manifest, value)
	default:
		p.fail(key.Line, key.Value, "is not a field of a manifest; the fields are kind, name, revision, spec")
	}
}

func (p *manifestParser) scalar(key, value *yaml.Node, target any) {
	if err := value.Decode(target); err != nil {
		p.fail(value.Line, key.Value, "%v", err)
	}
}

func (p *manifestParser) spec(manifest *Manifest, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		p.fail(node.Line, "spec", "must be an object")
		return
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		manifest.lines[node.Content[index].Value] = node.Content[index].Line
	}
	var encoded bytes.Buffer
	p.writeJSON(&encoded, node)
	manifest.Spec = encoded.Bytes()
}

// writeJSON writes the node as JSON. Aliases are refused: they let a small text stand for a huge value.
func (p *manifestParser) writeJSON(out *bytes.Buffer, node *yaml.Node) {
	switch node.Kind {
	case yaml.MappingNode:
		p.writeObject(out, node)
	case yaml.SequenceNode:
		p.writeList(out, node)
	case yaml.ScalarNode:
		p.writeScalar(out, node)
	default:
		p.fail(node.Line, "", "aliases are not allowed")
	}
}

func (p *manifestParser) writeObject(out *bytes.Buffer, node *yaml.Node) {
	seen := make(map[string]bool, len(node.Content)/2)
	out.WriteByte('{')
	for index := 0; index+1 < len(node.Content); index += 2 {
		key := node.Content[index]
		if key.Kind != yaml.ScalarNode {
			p.fail(key.Line, "", "a field name must be a string")
			continue
		}
		if seen[key.Value] {
			p.fail(key.Line, key.Value, "stands twice")
		}
		seen[key.Value] = true
		if index > 0 {
			out.WriteByte(',')
		}
		writeString(out, key.Value)
		out.WriteByte(':')
		p.writeJSON(out, node.Content[index+1])
	}
	out.WriteByte('}')
}

func (p *manifestParser) writeList(out *bytes.Buffer, node *yaml.Node) {
	out.WriteByte('[')
	for index, entry := range node.Content {
		if index > 0 {
			out.WriteByte(',')
		}
		p.writeJSON(out, entry)
	}
	out.WriteByte(']')
}

// writeScalar keeps what is not plainly a number, a truth value or null as the text the operator wrote: a date-like
// version stays a string.
func (p *manifestParser) writeScalar(out *bytes.Buffer, node *yaml.Node) {
	switch node.ShortTag() {
	case "!!null":
		out.WriteString("null")
	case "!!bool", "!!int", "!!float":
		p.writePlain(out, node)
	default:
		writeString(out, node.Value)
	}
}

func (p *manifestParser) writePlain(out *bytes.Buffer, node *yaml.Node) {
	var value any
	err := node.Decode(&value)
	encoded, encodeErr := json.Marshal(value)
	if err != nil || encodeErr != nil {
		p.fail(node.Line, "", "%q is not a finite number", node.Value)
		return
	}
	out.Write(encoded)
}

func writeString(out *bytes.Buffer, text string) {
	// Marshalling a string cannot fail.
	encoded, _ := json.Marshal(text)
	out.Write(encoded)
}
