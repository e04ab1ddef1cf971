package dynamic_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
)

// Guards against an audit trail that omits a change or reports one without
// effect.
func TestDiff(t *testing.T) {
	const base = `{"version":1,"fleet":{"defaults":{"timeoutMs":900}},"regions":{"finland":{"services":{"varasto":{"queue":{"maxWaitMs":50}},"maksu":{}}}}}`
	tests := []struct {
		desc, old, new string
		want           []string
	}{
		{"first tree", "", base, []string{"finland/maksu added", "finland/varasto added"}},
		{"service removed", base, `{"version":2,"fleet":{"defaults":{"timeoutMs":900}},"regions":{"finland":{"services":{"varasto":{"queue":{"maxWaitMs":50}}}}}}`, []string{"finland/maksu removed"}},
		{"inherited value", base, `{"version":2,"fleet":{"defaults":{"timeoutMs":800}},"regions":{"finland":{"services":{"varasto":{"queue":{"maxWaitMs":50}},"maksu":{}}}}}`,
			[]string{"finland/maksu timeoutMs 900 -> 800 (fleet)", "finland/varasto timeoutMs 900 -> 800 (fleet)"}},
		{"same value from another node", base, `{"version":2,"regions":{"finland":{"defaults":{"timeoutMs":900},"services":{"varasto":{"queue":{"maxWaitMs":50}},"maksu":{}}}}}`, nil},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			var old *dynamic.Tree
			if tc.old != "" {
				old = parse(t, tc.old)
			}
			var got []string
			for _, d := range dynamic.Diff(old, parse(t, tc.new)) {
				got = append(got, d.String())
			}
			require.Equal(t, tc.want, got)
		})
	}
	require.Equal(t, []string{"timeoutMs 900 -> 800 (fleet): finland/maksu finland/varasto"},
		dynamic.Summarize(dynamic.Diff(parse(t, base), parse(t, tests[2].new)), 5))
}

func parse(t *testing.T, text string) *dynamic.Tree {
	tree, err := dynamic.Parse([]byte(text))
	require.NoError(t, err)
	return tree
}

// Guards against a service that overwrites a list of its sibling, because both
// inherit the same slice from their region.
func TestSiblingsDoNotShareLists(t *testing.T) {
	tree := parse(t, `{"version":1,"regions":{"r":{"defaults":{"idempotentMethods":["GET","PUT","HEAD"]},`+
		`"services":{"a":{"idempotentMethods":["DELETE"]},"b":{},"c":{"idempotentMethods":["OPTIONS"]}}}}}`)
	require.Equal(t, []string{"GET", "PUT", "HEAD"}, tree.Lookup("r", "b").Service.IdempotentMethods)
	require.Equal(t, []string{"DELETE"}, tree.Lookup("r", "a").Service.IdempotentMethods)
}
