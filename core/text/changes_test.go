package text

import (
	"reflect"
	"strings"
	"testing"
)

func TestChanges(t *testing.T) {
	before, _ := Parse([]byte(validText(t)))
	raw := validText(t)
	raw = strings.Replace(raw, "RateTokensPerSecond: 5000", "RateTokensPerSecond: 6000", 1)
	raw = strings.Replace(raw, "Domains: [north, south]", "Domains: [north, south, east]", 1)
	raw = strings.Replace(raw, "Name: status,", "Name: state,", 1)
	raw = strings.Replace(raw, "Digest: 0001", "Withdrawn: true\n    Digest: 0001", 1)
	raw = strings.Replace(raw, "CutOffKeys: ServeLastKnown", "CutOffKeys: RefuseKeyed", 1)
	after, problems := Parse([]byte(raw))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var got []string
	for _, c := range Changes(before, after) {
		got = append(got, c.String())
	}
	want := []string{
		"+ Domains east",
		"+ Routes state",
		"- Routes status",
		"~ Organisations tuinhulp: RateTokensPerSecond 5000 -> 6000",
		"~ Keys planner: Withdrawn false -> true",
		"~ Policy: CutOffKeys ServeLastKnown -> RefuseKeyed",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("changes =\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if n := len(Changes(after, after)); n != 0 {
		t.Errorf("%d changes between equal texts", n)
	}
	if n := len(Changes(nil, before)); n != 14 {
		t.Errorf("%d entries added by the first text, want 14", n)
	}
}
