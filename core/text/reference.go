package text

import (
	_ "embed"
	"strings"

	"monsoonfork/core/fault"
)

// referencePage is the reference of all types of the text in Markdown. A test
// generates it from the types and their comments, and checks that it is current.
//
//go:embed reference.md
var referencePage string

// sectionPrefix is the start of the heading of a type's section.
const sectionPrefix = "### "

// Reference returns the reference of all types of the text, in Markdown.
func Reference() string { return referencePage }

// TypeNames returns the names of the types in the reference, in their order.
func TypeNames() []string {
	var names []string
	for _, line := range strings.Split(referencePage, "\n") {
		if name, ok := strings.CutPrefix(line, sectionPrefix); ok {
			names = append(names, name)
		}
	}
	return names
}

// TypeReference returns the section of one type; the case of its name is ignored.
// Errors have kind NotFound.
func TypeReference(name string) (string, error) {
	for _, section := range strings.Split("\n"+referencePage, "\n"+sectionPrefix)[1:] {
		title, _, _ := strings.Cut(section, "\n")
		if strings.EqualFold(title, name) {
			return sectionPrefix + strings.TrimRight(section, "\n") + "\n", nil
		}
	}
	return "", fault.New(fault.NotFound, "no type %q; types are %s", name, strings.Join(TypeNames(), ", "))
}
