package text

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.yaml.in/yaml/v3"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// validText returns a text without problems, from which the tests derive others.
func validText(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestValidTextHasNoProblems(t *testing.T) {
	parsed, problems := Parse([]byte(validText(t)))
	if len(problems) > 0 {
		t.Fatalf("problems:\n%v", problems)
	}
	if got := parsed.Engines[0].OrderTimeoutMS; got != DefaultOrderTimeoutMS {
		t.Errorf("OrderTimeoutMS = %d, want the default", got)
	}
	if parsed.Routes[2].Priority != High || parsed.Engines[1].Role != Decode {
		t.Errorf("enums were not decoded: %+v", parsed.Routes[2])
	}
}

// TestProblemsOfInvalidTexts makes one change to the valid text in each case and
// checks that a problem is reported with its line and path.
func TestProblemsOfInvalidTexts(t *testing.T) {
	tests := []struct {
		name, old, new string
		path, want     string
	}{
		{"unknown field", "    Slots: 4\n", "    Slotss: 4\n", "Engines[0].Slotss", "write Slots"},
		{"unknown top field", "Policy:\n", "Politics:\n", "Politics", "write Policy"},
		{"duplicate field", "    Slots: 4\n", "    Slots: 4\n    Slots: 5\n", "Engines[0].Slots", "already on line 15"},
		{"duplicate engine", "Name: decode-north-1", "Name: prefill-north-1", "Engines[1].Name", "already on line 10"},
		{"duplicate endpoint", "Name: planning-south-1", "Name: planning-north-1", "Services[1].Endpoints[1].Name", "already"},
		{"duplicate address", "127.0.0.1:9102", "127.0.0.1:9001", "Services[1].Endpoints[1].Address", "already on line 12"},
		{"duplicate domain", "[north, south]", "[north, south, north]", "Domains[2]", "already"},
		{"dangling model", "    Models: [summary]\n    Slots: 4", "    Models: [drafting]\n    Slots: 4", "Engines[0].Models[0]", `"drafting" is not defined under Models`},
		{"dangling service", "Service: summaries", "Service: sums", "Routes[0].Service", "summaries, planning"},
		{"dangling dependency", "DependsOn: [summaries]", "DependsOn: [mail]", "Services[1].DependsOn[0]", "not defined under Services"},
		{"dependency cycle", "DependsOn: [summaries]", "DependsOn: [planning]", "Services[1].DependsOn", "depends on itself"},
		{"dangling domain", "    Domain: north\n    Address: 127.0.0.1:9001", "    Domain: west\n    Address: 127.0.0.1:9001", "Engines[0].Domain", "not defined under Domains"},
		{"missing domain", "    Domain: north\n    Address: 127.0.0.1:9001", "    Address: 127.0.0.1:9001", "Engines[0].Domain", "name is missing"},
		{"dangling organisation", "Organisation: tuinhulp", "Organisation: tatrasoft", "Keys[0].Organisation", "not defined under Organisations"},
		{"rate of zero", "RateTokensPerSecond: 5000", "RateTokensPerSecond: 0", "Organisations[0].RateTokensPerSecond", "above 0"},
		{"rate not a number", "RateTokensPerSecond: 5000", "RateTokensPerSecond: .nan", "Organisations[0].RateTokensPerSecond", "above 0"},
		{"infinite rate", "RateTokensPerSecond: 5000", "RateTokensPerSecond: .inf", "Organisations[0].RateTokensPerSecond", "above 0"},
		{"negative burst", "BurstTokens: 20000", "BurstTokens: -1", "Organisations[0].BurstTokens", "-1 is not above 0"},
		{"fraction for a whole number", "Slots: 4", "Slots: 4.5", "Engines[0].Slots", "a whole number"},
		{"two routes with one path and method", "Path: /visits/, Method: GET", "Path: /visits, Method: POST", "Routes[2].Path", `already route "book" on line`},
		{"unknown enum value", "Role: Prefill", "Role: Prefil", "Engines[0].Role", "write Prefill or Decode"},
		{"missing role", "    Role: Prefill\n", "", "Engines[0].Role", "role is missing"},
		{"list for an enum", "Role: Prefill", "Role: [Prefill]", "Engines[0].Role", "not a single value"},
		{"host name as address", "127.0.0.1:9001", "engine-1:9001", "Engines[0].Address", "IP address with a port"},
		{"address without port", "127.0.0.1:9001", "127.0.0.1", "Engines[0].Address", "IP address with a port"},
		{"no domains", "Domains: [north, south]", "Domains: []", "Domains", "no failure domain"},
		{"engine without model", "    Models: [summary]\n    Slots: 4", "    Slots: 4", "Engines[0].Models", "list of models is empty"},
		{"model without prefill engine", "Role: Prefill", "Role: Decode", "Services[0].Models[0]", "no Prefill engine"},
		{"model route not idempotent", "Service: summaries, Idempotent: true", "Service: summaries", "Routes[0].Idempotent", "Idempotent: true"},
		{"open model route", "Service: summaries, Idempotent: true", "Service: summaries, Idempotent: true, Access: Open", "Routes[0].Access", "Keyed"},
		{"open route with cost", "Access: Open", "Access: Open, CostTokens: 3", "Routes[4].CostTokens", "charged to no organisation"},
		{"cost above burst", "CostTokens: 10", "CostTokens: 20001", "Routes[1].CostTokens", "can never pay"},
		{"relative path", "Path: /status", "Path: status", "Routes[4].Path", "absolute path"},
		{"path with dots", "Path: /status", "Path: /a/../status", "Routes[4].Path", "absolute path"},
		{"wrong method", "Method: POST, Service: planning", "Method: post, Service: planning", "Routes[1].Method", "is not a method"},
		{"FirstTokenMS above TimeoutMS", "High, TimeoutMS: 2000", "High, TimeoutMS: 2000, FirstTokenMS: 3000", "Routes[2].FirstTokenMS", "above TimeoutMS"},
		{"short salt", "Salt: 000102030405060708090a0b0c0d0e0f", "Salt: 0001", "Keys[0].Salt", "key new"},
		{"key instead of digest", "Digest: 0001", "Digest: mf_planner_0001", "Keys[0].Digest", "key new"},
		{"name with a space", "Name: planner", "Name: the planner", "Keys[0].Name", "is not a name"},
		{"alias", "Domains: [north, south]", "Domains: &d [north, south]", "Domains", "anchors and aliases"},
		{"empty value", "    Slots: 4\n", "    Slots:\n", "Engines[0].Slots", "value is missing"},
		{"list for a struct", "Policy:\n  Placement: Paired\n  CutOffKeys: ServeLastKnown", "Policy: [1]", "Policy", "not a set of fields"},
		{"mapping for a list", "Domains: [north, south]", "Domains: {north: 1}", "Domains", "not a list"},
		{"tab", "    Slots: 4\n", "\tSlots: 4\n", "", "not YAML"},
		{"second document", "Policy:\n  Placement: Paired\n  CutOffKeys: ServeLastKnown", "---\nPolicy: {}", "", "second document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := validText(t)
			if !strings.Contains(before, test.old) {
				t.Fatalf("the valid text has no %q", test.old)
			}
			_, problems := Parse([]byte(strings.Replace(before, test.old, test.new, 1)))
			for _, p := range problems {
				if p.Path == test.path && strings.Contains(p.String(), test.want) && p.Line > 0 {
					return
				}
			}
			t.Errorf("no problem at %q with %q among:\n%v", test.path, test.want, problems)
		})
	}
}

func TestSeveralProblemsAtOnce(t *testing.T) {
	raw := validText(t)
	raw = strings.Replace(raw, "RateTokensPerSecond: 5000", "RateTokensPerSecond: 0", 1)
	raw = strings.Replace(raw, "Role: Prefill", "Role: Prefil", 1)
	raw = strings.Replace(raw, "Service: summaries", "Service: sums", 1)
	_, err := ParseValid([]byte(raw))
	if !fault.Is(err, fault.BadText) {
		t.Fatalf("error = %v, want kind BadText", err)
	}
	for _, want := range []string{"line 13: Engines[0].Role", "Routes[0].Service", "Organisations[0].RateTokensPerSecond"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q:\n%v", want, err)
		}
	}
}

func TestEmptyAndOversizedTexts(t *testing.T) {
	for _, raw := range []string{"", "# only a remark\n", "[]", "plain", strings.Repeat("#", MaxBytes+1), strings.Repeat("[", 20_000)} {
		if _, problems := Parse([]byte(raw)); len(problems) == 0 {
			t.Errorf("no problem reported for a text of %d bytes", len(raw))
		}
	}
}

// TestMarshalRoundTrip checks that texts with random values are unchanged after they
// are marshalled and parsed again.
func TestMarshalRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a marshalled text parses to the same text", prop.ForAll(
		func(slots, pieces int, rate float64, priority, state, cutOff int, fencing bool) bool {
			before, problems := Parse([]byte(validText(t)))
			if len(problems) > 0 {
				return false
			}
			before.Engines[0].Slots = slots
			before.Engines[0].MemoryPieces = ident.Pieces(pieces)
			before.Engines[0].ChecksFencing = fencing
			before.Engines[1].State = EndpointState(state)
			before.Organisations[0].Rate = ident.TokensPerSecond(rate)
			before.Routes[1].Priority = Priority(priority)
			before.Policy.CutOffKeys = CutOffKeys(cutOff)
			written, err := yaml.Marshal(before)
			if err != nil {
				return false
			}
			after, problems := Parse(written)
			if len(problems) > 0 {
				t.Log(problems)
				return false
			}
			before.index, after.index = nil, nil
			return reflect.DeepEqual(formatted(before), formatted(after))
		},
		gen.IntRange(1, 1000), gen.IntRange(1, 1000000), gen.Float64Range(0.001, 1e6),
		gen.IntRange(0, 1), gen.IntRange(0, 1), gen.IntRange(0, 1), gen.Bool(),
	))
	properties.TestingRun(t)
}

// formatted prints a text so that empty and absent lists are equal.
func formatted(t *Text) string { return fmt.Sprintf("%+v", *t) }

// TestParseNeverPanics parses texts in which a random part is replaced.
func TestParseNeverPanics(t *testing.T) {
	raw := validText(t)
	properties := gopter.NewProperties(nil)
	properties.Property("a damaged text is parsed without a panic", prop.ForAll(
		func(cut, length int, insert string) bool {
			cut %= len(raw)
			end := min(len(raw), cut+length)
			parsed, err := Parse([]byte(raw[:cut] + insert + raw[end:]))
			return parsed != nil || err != nil
		},
		gen.IntRange(0, 1<<20), gen.IntRange(0, 40), gen.AnyString(),
	))
	properties.TestingRun(t)
}
