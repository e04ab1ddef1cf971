package dynamic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/schema"
)

const sample = `{"version": 3,
 "fleet": {"defaults": {"timeoutMs": 900, "queue": {"maxWaitMs": 50}}},
 "regions": {"finland": {"defaults": {"queue": {"maxRequests": 10}},
   "services": {"varasto": {"timeoutMs": 300}, "maksu": {}}}}}`

// Guards against a child that loses or wrongly overrides inherited values.
func TestInheritance(t *testing.T) {
	tree, err := dynamic.Parse([]byte(sample))
	require.NoError(t, err)
	require.Equal(t, []string{"maksu", "varasto"}, tree.Services("finland"))
	r := tree.Lookup("finland", "varasto")
	require.Equal(t, 300, r.Service.TimeoutMS)
	require.Equal(t, 10, r.Service.Queue.MaxRequests)
	require.Equal(t, 50, r.Service.Queue.MaxWaitMS)
	require.Equal(t, "region/finland/service/varasto", r.Values()["timeoutMs"].Origin)
	require.Equal(t, "region/finland", r.Values()["queue.maxRequests"].Origin)
	require.Equal(t, "fleet", r.Values()["queue.maxWaitMs"].Origin)
	require.Equal(t, dynamic.BuiltIn, r.Values()["keys.grantMs"].Origin)
	require.Equal(t, 900, tree.Lookup("finland", "maksu").Service.TimeoutMS)
	require.Nil(t, tree.Lookup("finland", "katalog"))
}

// Guards against settings that are adopted although a rule is broken, and
// against errors that do not say where.
func TestViolations(t *testing.T) {
	tests := []struct{ desc, text, path, value, rule string }{
		{"unknown member", `{"version":1,"fleet":{"defaults":{"timeout":1}}}`, "/fleet/defaults/timeout", "1", "unknown member"},
		{"wrong type", `{"version":1,"fleet":{"defaults":{"timeoutMs":"x"}}}`, "/fleet/defaults/timeoutMs", `"x"`, "integer"},
		{"out of range", `{"version":1,"fleet":{"defaults":{"timeoutMs":0}}}`, "/fleet/defaults/timeoutMs", "0", "minimum"},
		{"POST is never idempotent", `{"version":1,"fleet":{"defaults":{"idempotentMethods":["POST"]}}}`, "/fleet/defaults/idempotentMethods/0", `"POST"`, "not"},
		{"member twice", `{"version":1,"version":2}`, "/version", "(twice)", "once"},
		{"rule across values", `{"version":1,"regions":{"r":{"services":{"s":{"connections":{"perBackend":3}}}}}}`, "/regions/r/services/s/connections/perBackend", "3", "instanceCeiling"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := dynamic.Parse([]byte(tc.text))
			var se *schema.Error
			require.ErrorAs(t, err, &se)
			require.Equal(t, tc.path, se.Violations[0].Path)
			require.Equal(t, tc.value, se.Violations[0].Value)
			require.Contains(t, se.Violations[0].Rule, tc.rule)
		})
	}
}

// Guards against a service that keeps its old settings because only a node
// above it changed.
func TestParseAfterEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version int) []byte {
			node := func(name string) string {
				return rapid.SampledFrom([]string{`{}`, `{"timeoutMs":5}`, `{"queue":{"maxWaitMs":7}}`, `{"idempotentMethods":["GET"]}`}).Draw(t, name)
			}
			return fmt.Appendf(nil, `{"version":%d,"fleet":{"defaults":%s},"regions":{"r":{"defaults":%s,"services":{"a":%s,"b":%s}}}}`,
				version, node("fleet"), node("region"), node("a"), node("b"))
		}
		var previous *dynamic.Tree
		for version := range 4 {
			text := draw(version + 1)
			fresh, err := dynamic.Parse(text)
			require.NoError(t, err)
			previous, err = dynamic.ParseAfter(previous, text)
			require.NoError(t, err)
			for _, service := range []string{"a", "b"} {
				require.Equal(t, fresh.Lookup("r", service).Service, previous.Lookup("r", service).Service)
				require.Equal(t, fresh.Lookup("r", service).Values(), previous.Lookup("r", service).Values())
			}
		}
	})
}
