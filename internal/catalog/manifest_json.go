package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"gopkg.in/yaml.v3"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// maxJSONDepth bounds the nesting of a manifest; resources need three levels.
const maxJSONDepth = 16

// ParseJSONManifests is ParseManifests for JSON: one manifest or a list of them. YAML is nearly a superset of JSON,
// but its parser refuses some escapes and states lines less exactly.
func ParseJSONManifests(text []byte) ([]Manifest, error) {
	reader := &jsonReader{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	reader.decoder.UseNumber()
	root, err := reader.node(0)
	if err == nil {
		err = reader.end()
	}
	if err != nil {
		problem := Problem{Line: reader.lineOf(err), Message: "invalid JSON: " + err.Error()}
		return nil, &InvalidError{Problems: []Problem{problem}}
	}
	parser := &manifestParser{}
	parser.document(&yaml.Node{Kind: yaml.DocumentNode, Content: []*yaml.Node{root}})
	if err := asError(parser.problems); err != nil {
		return nil, err
	}
	return parser.manifests, nil
}

const (
	errJSONDepth    = failure.Kind("nested too deeply")
	errJSONTrailing = failure.Kind("text after the end of the value")
)

// jsonReader reads JSON into the node tree the YAML parser would give, with lines.
type jsonReader struct {
	text    []byte
	decoder *json.Decoder
}

// line returns the one-based line the decoder has read up to.
func (r *jsonReader) line() int { return r.lineAt(r.decoder.InputOffset()) }

func (r *jsonReader) lineAt(offset int64) int {
	offset = min(offset, int64(len(r.text)))
	return 1 + bytes.Count(r.text[:offset], []byte("\n"))
}

// lineOf returns the line of a syntax error.
func (r *jsonReader) lineOf(err error) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return r.lineAt(syntax.Offset)
	}
	return r.line()
}

// end checks that nothing follows the value.
func (r *jsonReader) end() error {
	_, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("after the value: %w", err)
	}
	return errJSONTrailing
}

func (r *jsonReader) node(depth int) (*yaml.Node, error) {
	if depth > maxJSONDepth {
		return nil, errJSONDepth
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	node := &yaml.Node{Kind: yaml.ScalarNode, Line: r.line()}
	switch value := token.(type) {
	case json.Delim:
		return r.collection(node, value, depth)
	case string:
		node.Tag, node.Value = "!!str", value
	case json.Number:
		node.Tag, node.Value = numberTag(value), value.String()
	case bool:
		node.Tag, node.Value = "!!bool", fmt.Sprint(value)
	default:
		node.Tag, node.Value = "!!null", "null"
	}
	return node, nil
}

func numberTag(number json.Number) string {
	if _, err := number.Int64(); err == nil {
		return "!!int"
	}
	return "!!float"
}

// collection reads the entries of an object or a list; the keys of an object are entries too, as in YAML's tree.
func (r *jsonReader) collection(node *yaml.Node, opening json.Delim, depth int) (*yaml.Node, error) {
	node.Kind, node.Tag = yaml.SequenceNode, "!!seq"
	if opening == '{' {
		node.Kind, node.Tag = yaml.MappingNode, "!!map"
	}
	for r.decoder.More() {
		entry, err := r.node(depth + 1)
		if err != nil {
			return nil, err
		}
		node.Content = append(node.Content, entry)
	}
	if _, err := r.decoder.Token(); err != nil {
		return nil, unexpectedEnd(err)
	}
	return node, nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
