package dynamic_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/schema"
)

const sampleTree = `{"version": 3,
 "fleet": {"defaults": {"timeoutMs": 900, "queue": {"maxWaitMs": 50}}},
 "regions": {"finland": {"defaults": {"queue": {"maxRequests": 10}},
   "services": {"varasto": {"timeoutMs": 300}, "maksu": {}}}}}`

// Guards against a child node that loses or wrongly overrides inherited values.
func TestInheritance(t *testing.T) {
	tree, err := dynamic.Parse([]byte(sampleTree))
	require.NoError(t, err)
	require.Equal(t, []string{"maksu", "varasto"}, tree.Services("finland"))
	r := tree.Lookup("finland", "varasto")
	require.Equal(t, 300, r.Service.TimeoutMS)
	require.Equal(t, 10, r.Service.Queue.MaxRequests)
	require.Equal(t, 50, r.Service.Queue.MaxWaitMS)
	require.Equal(t, "region/finland/service/varasto", r.Values()["timeoutMs"].Origin)
	require.Equal(t, "region/finland", r.Values()["queue.maxRequests"].Origin)
	require.Equal(t, "fleet", r.Values()["queue.maxWaitMs"].Origin)
	require.Equal(t, dynamic.OriginBuiltIn, r.Values()["keys.grantMs"].Origin)
	require.Equal(t, 900, tree.Lookup("finland", "maksu").Service.TimeoutMS)
	require.Nil(t, tree.Lookup("finland", "katalog"))
}

// Guards against adopting settings that break a rule, and against errors that do
// not name the path, the value and the rule.
func TestViolations(t *testing.T) {
	tests := []struct{ desc, text, path, value, rule string }{
		{"unknown member", `{"version":1,"fleet":{"defaults":{"timeout":1}}}`, "/fleet/defaults/timeout", "1", "unknown member"},
		{"wrong type", `{"version":1,"fleet":{"defaults":{"timeoutMs":"x"}}}`, "/fleet/defaults/timeoutMs", `"x"`, "integer"},
		{"out of range", `{"version":1,"fleet":{"defaults":{"timeoutMs":0}}}`, "/fleet/defaults/timeoutMs", "0", "minimum"},
		{"POST is never idempotent", `{"version":1,"fleet":{"defaults":{"idempotentMethods":["POST"]}}}`, "/fleet/defaults/idempotentMethods/0", `"POST"`, "not"},
		{"duplicate member", `{"version":1,"version":2}`, "/version", "(twice)", "once"},
		{"rule that relates two values", `{"version":1,"regions":{"r":{"services":{"s":{"keys":{"lifetimeMs":1000}}}}}}`, "/regions/r/services/s/keys/grantMs", "2000", "below keys.lifetimeMs (1000)"},
		{"another rule that relates two values", `{"version":1,"regions":{"r":{"services":{"s":{"outlier":{"ejectMs":70000}}}}}}`, "/regions/r/services/s/outlier/ejectMs", "70000", "must not exceed outlier.maxEjectMs"},
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

// Guards against routes that are lost, moved or not checked because those with an
// unchanged text are reused, and against errors that name other routes.
func TestRoutesParseAfterEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.Custom(func(t *rapid.T) string {
			prefix := rapid.IntRange(0, 5).Draw(t, "prefix")
			service := rapid.SampledFrom([]string{"a", "a", "a", "a", "b", "none"}).Draw(t, "service")
			member := rapid.SampledFrom([]string{"", "", "", `"timeoutMs":5,`, `"timeoutMs":-5,`, `"unknown":1,`}).Draw(t, "member")
			return fmt.Sprintf(`{"name":"r%d","host":"h",%s"pathPrefix":"/%d/","services":[{"service":%q,"weight":1}]}`, prefix, member, prefix, service)
		})
		var previous *dynamic.Tree
		for version := range 4 {
			routes := rapid.SliceOfN(route, 0, 5).Draw(t, "routes")
			text := fmt.Appendf(nil, `{"version":%d,"regions":{"r":{"services":{"a":{},"b":{}}}},"routes":[%s]}`, version+1, strings.Join(routes, ", "))
			parsed, err := dynamic.Parse(text)
			incremental, incrementalErr := dynamic.ParseAfter(previous, text)
			require.Equal(t, err, incrementalErr)
			if err != nil {
				continue
			}
			require.Len(t, incremental.Routes, len(routes))
			for i := range parsed.Routes {
				require.Equal(t, parsed.Routes[i], incremental.Routes[i])
			}
			previous = incremental
		}
	})
}

// Guards against an empty list of routes that is taken for none, and against the list of
// the previous tree that stays in force.
func TestStatesRoutes(t *testing.T) {
	const route = `{"host":"h","pathPrefix":"/","services":[{"service":"s"}]}`
	var previous *dynamic.Tree
	for i, tc := range []struct {
		desc, member string
		want         bool
		routes       int
	}{
		{"one", `,"routes":[` + route + `]`, true, 1},
		{"empty", `,"routes":[]`, true, 0},
		{"none", ``, false, 0},
		{"one again", `,"routes":[` + route + `]`, true, 1},
	} {
		text := fmt.Appendf(nil, `{"version":%d,"regions":{"r":{"services":{"s":{}}}}%s}`, i+1, tc.member)
		for _, tree := range parseBoth(t, previous, text) {
			require.Equal(t, tc.want, tree.StatesRoutes, tc.desc)
			require.Len(t, tree.Routes, tc.routes, tc.desc)
			previous = tree
		}
	}
}

// parseBoth parses a text alone and after a previous tree.
func parseBoth(t *testing.T, previous *dynamic.Tree, text []byte) []*dynamic.Tree {
	alone, err := dynamic.Parse(text)
	require.NoError(t, err)
	after, err := dynamic.ParseAfter(previous, text)
	require.NoError(t, err)
	return []*dynamic.Tree{alone, after}
}

// Guards against a service that keeps its old settings when only its region or
// the fleet changes.
func TestParseAfterEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawTree := func(version int) []byte {
			node := func(name string) string {
				return rapid.SampledFrom([]string{`{}`, `{"timeoutMs":5}`, `{"queue":{"maxWaitMs":7}}`, `{"idempotentMethods":["GET"]}`}).Draw(t, name)
			}
			return fmt.Appendf(nil, `{"version":%d,"fleet":{"defaults":%s},"regions":{"r":{"defaults":%s,"services":{"a":%s,"b":%s}}}}`,
				version, node("fleet"), node("region"), node("a"), node("b"))
		}
		var incremental *dynamic.Tree
		for version := range 4 {
			text := drawTree(version + 1)
			parsed, err := dynamic.Parse(text)
			require.NoError(t, err)
			incremental, err = dynamic.ParseAfter(incremental, text)
			require.NoError(t, err)
			for _, service := range []string{"a", "b"} {
				require.Equal(t, parsed.Lookup("r", service).Service, incremental.Lookup("r", service).Service)
				require.Equal(t, parsed.Lookup("r", service).Values(), incremental.Lookup("r", service).Values())
			}
		}
	})
}
