package dynamic

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func treeWithRoutes(version int, prefixes ...string) []byte {
	var routes []string
	for _, p := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name": "r", "host": "h", "pathPrefix": "/%s/", "services": [{"service": "a", "weight": 1}]}`, p))
	}
	return fmt.Appendf(nil, `{"version": %d, "regions": {"r": {"services": {"a": {}}}}, "routes": [ %s ]}`, version, strings.Join(routes, ",\n"))
}

// Guards against a version that takes processor time for all routes although it
// changes one. With 1,400 routes and 0.16 of a core, the check of all takes half a
// second, in which changes of registrations are delayed.
func TestUnchangedRoutesAreNotCheckedAgain(t *testing.T) {
	previous, err := Parse(treeWithRoutes(1, "a", "b", "c"))
	require.NoError(t, err)
	next, ok := outlineOf(treeWithRoutes(2, "c", "\\u0078", "a"))
	require.True(t, ok)
	require.Equal(t, []int{2, -1, 0}, next.unchangedRoutes(previous.outline))
	routes, unchecked := next.decodeRoutes(previous)
	require.Equal(t, []int{1}, unchecked)
	require.Equal(t, previous.Routes[2], routes[0])
	require.Equal(t, previous.Routes[0], routes[2])
	var doc document
	require.NoError(t, json.Unmarshal(next.document(unchecked, nil), &doc))
	require.EqualValues(t, 2, doc.Version)
	require.Len(t, doc.Routes, 1)
	require.Equal(t, "/x/", doc.Routes[0].PathPrefix)
}

// Guards against a limit of the number of routes that differs from the schema.
func TestMaxRoutesIsThatOfTheSchema(t *testing.T) {
	var schema struct {
		Properties struct {
			Routes struct {
				MaxItems int `json:"maxItems"`
			} `json:"routes"`
		} `json:"properties"`
	}
	require.NoError(t, json.Unmarshal(schemaText, &schema))
	require.Equal(t, maxRoutes, schema.Properties.Routes.MaxItems)
}

// Guards against reusing routes of a text that is not read in the same way by the
// check of the schema.
func TestUnusualTextsAreCheckedWhole(t *testing.T) {
	for _, text := range []string{
		``, `[]`, `{"routes": {}}`, `{"regions": []}`, `{"regions": {"r": {"services": {}, "services": {}}}}`, `{"regions": {"r": {}, "r": {}}}`,
		`{"regions": {"r": {"services": {"a": {}, "a": {}}}}}`, `{"regions": {"r": {"other": 1}}}`, `{"regions": {"r": {"defaults": {}, "defaults": {}}}}`, `{"routes": [1`, `{"routes": [], "routes": []}`, `{"version": 2, "routes": [{]}`,
		`{"version": 2, "version": 2, "routes": []}`, `{"version": 2, "routes": []} x`, `{"version": 2, "routes": []}{}`,
	} {
		_, ok := outlineOf([]byte(text))
		require.False(t, ok, text)
	}
}

// Guards against settings that are taken over from a tree whose text could not be split.
func TestNothingIsReusedOfUnusualTexts(t *testing.T) {
	previous := &Tree{Version: 1, Callers: Callers{MaxHeaderBytes: 2048}}
	next, err := ParseAfter(previous, []byte(`{"version": 2}`))
	require.NoError(t, err)
	require.Zero(t, next.Callers)
}

// Guards against a route that is accepted without the check of the schema although that
// refuses it, or that is decoded to another value.
func TestDecodedRoutesComplyWithSchema(t *testing.T) {
	texts := map[string][]string{
		"name":             {`"r"`, `""`, `"é"`, `1`, `null`, `"` + strings.Repeat("n", 128) + `"`, `"` + strings.Repeat("n", 129) + `"`},
		"host":             {`"h"`, `"H.example"`, `""`, `null`, `"` + strings.Repeat("h", 253) + `"`, `"` + strings.Repeat("h", 254) + `"`},
		"pathPrefix":       {`"/"`, `"//"`, `"/a/"`, `"/a/b/"`, `"/a"`, `"a/"`, `""`, `"/a b/"`, `"/ä/"`, `"/\n/"`, `"/\u0061/"`, `"/~!/"`, `"/` + strings.Repeat("p", 1000) + `/"`, `"/` + strings.Repeat("p", 1001) + `/"`},
		"attemptTimeoutMs": {`0`, `2147483647`, `2147483648`, `-1`},
		"idempotent":       {`true`, `false`, `null`, `"true"`, `1`},
		"timeoutMs":        {`1`, `0`, `2147483647`, `2147483648`, `1.0`, `1e2`, `-1`, `01`, `"1"`, `null`},
		"maxAttempts":      {`1`, `12`, `2147483647`, `2147483648`, `0`},
		"targetLatencyMs":  {`0`, `-0`, `2147483647`, `2147483648`},
		"priority":         {`0`, `1001`, `2147483647`, `2147483648`, `-1`},
		"services": {
			`[]`, `[{}]`, `null`, `{}`, `[{"service":"a"}]`, `[{"service":"a","weight":1},{"service":"b","weight":2.5}]`, `[{"service":"a","service":"b"}]`, `[{"service":"a","weight":-1}]`,
			`[{"service":"a","weight":1e9}]`, `[{"service":"a","weight":1e300}]`, `[{"service":"a","weight":1e999}]`, `[{"service":"A_b"}]`, `[{"service":""}]`, `[{"service":"-a"}]`, `[{"service":"a-"}]`, `[{"service":"a","weight":"1"}]`, `[{"service":"a","x":1}]`,
			`[{"service":"` + strings.Repeat("a", 63) + `"}]`, `[{"service":"` + strings.Repeat("a", 64) + `"}]`,
		},
		"unknown": {`1`},
	}
	names := slices.Sorted(maps.Keys(texts))
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		var members []string
		for _, name := range names {
			usual := texts[name][0]
			if name == "services" {
				usual = `[{"service":"a","weight":1}]`
			}
			switch rapid.IntRange(0, 60).Draw(t, name) {
			case 0, 1:
				members = append(members, strconv.Quote(name)+":"+rapid.SampledFrom(texts[name]).Draw(t, "value"))
			case 2:
			case 3:
				members = append(members, strconv.Quote(name)+": "+usual, strconv.Quote(name)+":"+usual)
			default:
				if name != "unknown" {
					members = append(members, strconv.Quote(name)+" : "+usual)
				}
			}
		}
		text := []byte("{" + strings.Join(members, ", ") + "}")
		got, ok := decodeRoute(text)
		if !ok {
			return
		}
		accepted++
		doc, err := checkDocument(fmt.Appendf(nil, `{"version":1,"routes":[%s]}`, text))
		require.NoError(t, err, "%s", text)
		require.Equal(t, doc.Routes[0], got)
	})
	require.Greater(t, accepted, 1, "no route was decoded")
}
