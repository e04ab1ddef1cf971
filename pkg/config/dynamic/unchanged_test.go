package dynamic

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
	reduced, unchanged, _ := withoutUnchangedRoutes(previous, treeWithRoutes(2, "c", "x", "a"))
	require.Equal(t, []int{2, -1, 0}, unchanged)
	var doc document
	require.NoError(t, json.Unmarshal(reduced, &doc))
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
	previous, err := Parse(treeWithRoutes(1, "a"))
	require.NoError(t, err)
	for _, text := range []string{
		``, `[]`, `{"version": 2}`, `{"routes": {}}`, `{"routes": [1`, `{"routes": [], "routes": []}`, `{"version": 2, "routes": [{]}`,
	} {
		reduced, unchanged, _ := withoutUnchangedRoutes(previous, []byte(text))
		require.Equal(t, text, string(reduced))
		require.Nil(t, unchanged)
	}
}
