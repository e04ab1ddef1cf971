package route

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
)

func singleServiceRoute(host, prefix, service string) dynamic.Route {
	return dynamic.Route{Host: host, PathPrefix: prefix, Services: []dynamic.WeightedService{{Service: service}}}
}

// Guards against a shorter prefix that is matched before a longer one, and
// against a match with a route of another host.
func TestLookup(t *testing.T) {
	table := NewTable(nil, []dynamic.Route{
		singleServiceRoute("a.example", "/", "root"), singleServiceRoute("a.example", "/x/", "x"), singleServiceRoute("a.example", "/x/y/", "xy"), singleServiceRoute("B.example", "/x/", "bx"),
	})
	for _, tt := range []struct{ desc, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/1", "xy"},
		{"shorter prefix where the longer does not match", "a.example", "/x/z", "x"},
		{"prefix matches whole path segments", "a.example", "/x/yy", "x"},
		{"path without the trailing slash of the prefix", "a.example", "/x", "root"},
		{"root", "a.example", "/other", "root"},
		{"host in another case and with a port", "b.EXAMPLE:80", "/x/1", "bx"},
		{"unknown path of a known host", "b.example", "/", ""},
		{"unknown host", "c.example", "/x/1", ""},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			r := table.Lookup(tt.host, tt.path)
			if tt.want == "" {
				require.Nil(t, r)
				return
			}
			require.Equal(t, tt.want, r.Service())
		})
	}
	require.Nil(t, (*Table)(nil).Lookup("a.example", "/"))
}

// Guards against a prefix that is compared in another form than the path of a request.
func TestLookupOfUnusualPrefixes(t *testing.T) {
	table := NewTable(nil, []dynamic.Route{singleServiceRoute("h", "/ä b/", "s"), singleServiceRoute("h", "/a|b%2f/", "s")})
	table = NewTable(table, []dynamic.Route{singleServiceRoute("h", "/ä b/", "s"), singleServiceRoute("h", "/a|b%2f/", "s")})
	for _, path := range []string{"/ä b/1", "/%C3%A4%20b/1", "/a|b%2f/"} {
		require.NotNil(t, table.Lookup("h", EscapePath(path)), path)
	}
	require.Nil(t, table.Lookup("h", EscapePath("/ä/1")))
}

// Guards against weights whose sum is beyond the range of a float64.
func TestSplitOfLargeWeights(t *testing.T) {
	split := NewSplit([]dynamic.WeightedService{{Service: "a", Weight: math.MaxFloat64}, {Service: "b", Weight: math.MaxFloat64}})
	counts := map[string]int{}
	for range 1000 {
		counts[split.Next()]++
	}
	require.InDelta(t, 500, counts["a"], 5)
}

// Guards against a lookup that differs from a search of all routes.
func TestLookupEqualsSearchOfAllRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab/]{0,6}/)?`)
		routes := map[string]bool{}
		var list []dynamic.Route
		for _, p := range rapid.SliceOfN(prefix, 0, 12).Draw(t, "prefixes") {
			if !routes[p] {
				routes[p] = true
				list = append(list, singleServiceRoute("h", p, p))
			}
		}
		path := rapid.StringMatching(`[ab/]{0,10}`).Draw(t, "path")
		want := ""
		for p := range routes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		got := NewTable(nil, list).Lookup("h", path)
		if want == "" {
			require.Nil(t, got)
			return
		}
		require.Equal(t, want, got.PathPrefix)
	})
}

// Guards against a split whose shares deviate from the weights.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 6).Draw(t, "weights")
		shares, total := make([]dynamic.WeightedService, len(weights)), 0
		for i, w := range weights {
			shares[i] = dynamic.WeightedService{Service: string(rune('a' + i)), Weight: float64(w)}
			total += w
		}
		const n = 1000
		counts := map[string]int{}
		split := NewSplit(shares)
		for range n {
			counts[split.Next()]++
		}
		for i, s := range shares {
			want := 1 / float64(len(shares))
			if total > 0 {
				want = float64(weights[i]) / float64(total)
			}
			require.InDelta(t, want, float64(counts[s.Service])/n, 0.02)
		}
	})
}

// Guards against a settings change that resets every split. Frequent changes
// would then skew the shares.
func TestSplitSurvivesSameShares(t *testing.T) {
	shares := []dynamic.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}
	r := dynamic.Route{Host: "h", PathPrefix: "/", Services: shares}
	first := NewTable(nil, []dynamic.Route{r})
	r.TimeoutMS = 5
	second := NewTable(first, []dynamic.Route{r})
	require.Same(t, first.Lookup("h", "/").split, second.Lookup("h", "/").split)
	require.Equal(t, 5, second.Lookup("h", "/").TimeoutMS)
	r.Services = []dynamic.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	third := NewTable(second, []dynamic.Route{r})
	require.NotSame(t, second.Lookup("h", "/").split, third.Lookup("h", "/").split)
}
