package text

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says whether an entry is added, removed or changed.
type ChangeKind int

// The kinds of change.
const (
	Added ChangeKind = iota
	Removed
	Changed
)

// MarshalText returns the name of a kind of change.
func (k ChangeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind of change.
func (k *ChangeKind) UnmarshalText(b []byte) error { return parseEnum(k, string(b), Changed) }

// Change is one added, removed or changed entry between two texts.
type Change struct {
	Kind    ChangeKind
	Section string // Name of a field of Text, such as "Engines".
	Name    string // Name of the entry; empty for a section that is not a list.
	Fields  []FieldChange
}

// FieldChange is the old and the new value of a changed field.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// String formats the change in one line.
func (c Change) String() string {
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	line := sign + " " + c.Section
	if c.Name != "" {
		line += " " + c.Name
	}
	fields := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Field, f.Old, f.New))
	}
	if len(fields) > 0 {
		line += ": " + strings.Join(fields, ", ")
	}
	return line
}

// Changes returns the changes from one text to another, section by section. If
// from is nil, every entry of to is added.
func Changes(from, to *Text) []Change {
	if from == nil {
		from = &Text{}
	}
	var changes []Change
	a, b := reflect.ValueOf(*from), reflect.ValueOf(*to)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		changes = append(changes, sectionChanges(field.Name, a.Field(i), b.Field(i))...)
	}
	return changes
}

// sectionChanges compares one section. Entries of a list are matched by name.
func sectionChanges(section string, a, b reflect.Value) []Change {
	if a.Kind() == reflect.Struct {
		if fields := fieldChanges(a, b); len(fields) > 0 {
			return []Change{{Changed, section, "", fields}}
		}
		return nil
	}
	var changes []Change
	old := map[string]reflect.Value{}
	for i := range a.Len() {
		old[entryName(a.Index(i))] = a.Index(i)
	}
	kept := map[string]bool{}
	for i := range b.Len() {
		name := entryName(b.Index(i))
		kept[name] = true
		before, found := old[name]
		if !found {
			changes = append(changes, Change{Kind: Added, Section: section, Name: name})
			continue
		}
		if before.Kind() != reflect.Struct {
			continue
		}
		if fields := fieldChanges(before, b.Index(i)); len(fields) > 0 {
			changes = append(changes, Change{Changed, section, name, fields})
		}
	}
	for i := range a.Len() {
		if name := entryName(a.Index(i)); !kept[name] {
			changes = append(changes, Change{Kind: Removed, Section: section, Name: name})
		}
	}
	return changes
}

// entryName returns the name of an entry. An entry that is a string is its own
// name.
func entryName(v reflect.Value) string {
	if v.Kind() == reflect.Struct {
		return v.FieldByName("Name").String()
	}
	return v.String()
}

// fieldChanges compares the fields of two structs of one type.
func fieldChanges(a, b reflect.Value) []FieldChange {
	var changes []FieldChange
	for i := range a.NumField() {
		before, after := formatValue(a.Field(i)), formatValue(b.Field(i))
		if before == after {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, FieldChange{name, before, after})
	}
	return changes
}

// formatValue formats a value for operators.
func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.String && v.String() == "" {
		return `""`
	}
	return fmt.Sprint(v.Interface())
}
