package strictyaml

import (
	"reflect"
	"strings"
)

// maxSuggestionDistance is the maximum edit distance from an unknown field name to
// a known one that is suggested instead.
const maxSuggestionDistance = 3

// FieldNames returns the YAML names of the fields of a struct type, in order.
func FieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// fieldsByName maps YAML names to field indexes.
func fieldsByName(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// yamlName returns the name of a field in YAML, or "" for a field that is not
// decoded.
func yamlName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	if name == "" {
		return f.Name
	}
	return name
}

// suggestField returns a remedy for an unknown field name: the known name that
// begins with it or is closest to it, or else a list of all known names.
func suggestField(name string, names []string) string {
	for _, candidate := range names {
		if strings.HasPrefix(strings.ToLower(candidate), strings.ToLower(name)) {
			return "write " + candidate
		}
	}
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range names {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate))
		if distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	if best != "" {
		return "write " + best
	}
	return "fields are " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			above := row[j]
			row[j] = min(above+1, row[j-1]+1, diagonal+cost)
			diagonal = above
		}
	}
	return row[len(b)]
}
