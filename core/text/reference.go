package text

import (
	_ "embed"
	"strings"

	"monsoonfork/core/fault"
)

// referencePage describes all types of the text in Markdown. A test generates it
// from the types and their comments, and checks that it is current.
//
//go:embed reference.md
var referencePage string

// sectionMark begins the section of a type.
const sectionMark = "### "

// Reference returns the description of all types of the text, in Markdown.
func Reference() string { return referencePage }

// TypeNames returns the types that the reference describes, in its order.
func TypeNames() []string {
	var names []string
	for _, line := range strings.Split(referencePage, "\n") {
		if name, ok := strings.CutPrefix(line, sectionMark); ok {
			names = append(names, name)
		}
	}
	return names
}

// TypeReference returns the description of one type. Errors have kind NotFound.
func TypeReference(name string) (string, error) {
	for _, section := range strings.Split("\n"+referencePage, "\n"+sectionMark)[1:] {
		title, _, _ := strings.Cut(section, "\n")
		if strings.EqualFold(title, name) {
			return sectionMark + strings.TrimRight(section, "\n") + "\n", nil
		}
	}
	return "", fault.New(fault.NotFound, "no type %q; types are %s", name, strings.Join(TypeNames(), ", "))
}
