package strictyaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder decodes a tree of YAML nodes into a value of a Go type.
type decoder struct {
	doc      *Document
	problems Problems
}

// Decode decodes raw into out, a pointer to a struct whose fields have yaml tags.
// It continues after a problem, so that one call reports all problems.
func Decode(raw []byte, out any) (*Document, Problems) {
	d := &decoder{doc: &Document{lines: map[string]int{}}}
	yamlDecoder := yaml.NewDecoder(bytes.NewReader(raw))
	var root yaml.Node
	err := yamlDecoder.Decode(&root)
	if errors.Is(err, io.EOF) {
		d.add(&yaml.Node{Line: 1}, "", "the document is empty", "write at least one field")
		return d.doc, d.problems
	}
	if err != nil {
		d.doc.InvalidSyntax = true
		d.addSyntaxError(err)
		return d.doc, d.problems
	}
	var second yaml.Node
	if yamlDecoder.Decode(&second) == nil {
		d.add(&second, "", "a second document begins here", "write one document without ---")
	}
	d.decode(root.Content[0], reflect.ValueOf(out).Elem(), "")
	sortByLine(d.problems)
	return d.doc, d.problems
}

// add records a problem at the line of a node.
func (d *decoder) add(n *yaml.Node, path, message, remedy string) {
	d.problems = append(d.problems, Problem{Line: n.Line, Path: path, Message: message, Remedy: remedy})
}

// addSyntaxError records an error of the YAML parser. The parser gives the line only
// in its message, and omits it for line 1.
func (d *decoder) addSyntaxError(err error) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if n, scanErr := fmt.Sscanf(message, "line %d:", &line); n == 1 && scanErr == nil {
		_, message, _ = strings.Cut(message, ": ")
	}
	d.problems = append(d.problems, Problem{Line: line, Message: "not YAML: " + message, Remedy: "correct the syntax"})
}

// decode sets v to the value of n, whose field path is path.
func (d *decoder) decode(n *yaml.Node, v reflect.Value, path string) {
	d.doc.lines[path] = n.Line
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.add(n, path, "anchors and aliases are not allowed", "write the value out")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	case reflect.Map:
		d.decodeMap(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

// decodeText sets a value that has an UnmarshalText method of its own.
func (d *decoder) decodeText(n *yaml.Node, u encoding.TextUnmarshaler, path string) {
	if n.Kind != yaml.ScalarNode {
		d.add(n, path, "this is not a single value", "write one string")
		return
	}
	err := u.UnmarshalText([]byte(n.Value))
	if err == nil {
		return
	}
	var valueErr *ValueError
	if errors.As(err, &valueErr) {
		d.add(n, path, valueErr.Message, valueErr.Remedy)
		return
	}
	d.add(n, path, err.Error(), "")
}

// decodeStruct sets the fields of a struct from a mapping.
func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.add(n, path, "this is not a set of fields", "fields are "+strings.Join(FieldNames(v.Type()), ", "))
		return
	}
	fields := fieldsByName(v.Type())
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := join(path, key.Value)
		index, known := fields[key.Value]
		if !known {
			d.add(key, fieldPath, fmt.Sprintf("%q is not a field", key.Value),
				suggestField(key.Value, FieldNames(v.Type())))
			continue
		}
		if first, duplicate := seen[key.Value]; duplicate {
			d.add(key, fieldPath, fmt.Sprintf("this field is already on line %d", first), "write it once")
			continue
		}
		seen[key.Value] = key.Line
		d.decode(value, v.Field(index), fieldPath)
	}
}

// decodeSlice sets a slice from a sequence. An empty value leaves the slice nil.
func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, path string) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.SequenceNode {
		d.add(n, path, "this is not a list", `write entries that begin with "- ", or [a, b]`)
		return
	}
	s := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, entry := range n.Content {
		d.decode(entry, s.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(s)
}

// decodeMap sets a map whose keys are strings from a mapping. An empty value leaves the map nil.
func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.add(n, path, "this is not a mapping", "write entries such as name: value")
		return
	}
	m := reflect.MakeMapWithSize(v.Type(), len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, entry := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		key.SetString(n.Content[i].Value)
		if m.MapIndex(key).IsValid() {
			d.add(n.Content[i], join(path, key.String()), "this entry occurs twice", "write it once")
			continue
		}
		d.decode(n.Content[i+1], entry, join(path, key.String()))
		m.SetMapIndex(key, entry)
	}
	v.Set(m)
}

// decodeScalar sets a string, number or boolean.
func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.add(n, path, "this is not a single value", "write "+kindDescription(v.Kind()))
		return
	}
	if isNull(n) {
		d.add(n, path, "the value is missing", "write "+kindDescription(v.Kind())+" or leave the field out")
		return
	}
	// yaml.v3 would truncate the fraction without an error.
	if v.CanInt() && n.Tag == "!!float" {
		d.add(n, path, fmt.Sprintf("%q is not a whole number", n.Value), "write a whole number")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.add(n, path, fmt.Sprintf("%q has the wrong type or range", n.Value), "write "+kindDescription(v.Kind()))
	}
}

// isNull reports whether n is an empty scalar.
func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// kindDescription describes the values of a kind of scalar for operators.
func kindDescription(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

// join appends a field name to a field path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// sortByLine sorts problems by line and keeps the order of those in one line.
func sortByLine(ps Problems) {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
}
