package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"lentilpin/pkg/config/dynamic"
)

// Route is a route of the settings tree with its split and baseline latency.
type Route struct {
	dynamic.Route
	BaselineLatency *BaselineLatency
	split           *Split
}

// Service returns the service for the next request. Each call advances the
// split.
func (r *Route) Service() string { return r.split.Next() }

// Table finds the route of a request. A nil Table has no routes.
type Table struct {
	hosts map[string][]*Route
}

// NewTable returns a table of the routes. A route with the same host and prefix
// as one in the previous table keeps its baseline latency, and its split if the
// shares are the same. previous may be nil.
func NewTable(previous *Table, routes []dynamic.Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		r := &Route{Route: routes[i], BaselineLatency: &BaselineLatency{}}
		old := previous.findRoute(r.Host, r.PathPrefix)
		if old != nil {
			r.BaselineLatency = old.BaselineLatency
		}
		if old != nil && slices.Equal(old.Services, r.Services) {
			r.split = old.split
		} else {
			r.split = NewSplit(r.Services)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), strings.Compare(a.PathPrefix, b.PathPrefix))
		})
	}
	return t
}

func (t *Table) findRoute(host, prefix string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if r.PathPrefix == prefix {
			return r
		}
	}
	return nil
}

// IsEmpty reports whether the table has no routes.
func (t *Table) IsEmpty() bool { return t == nil || len(t.hosts) == 0 }

// Lookup returns the route with the longest matching prefix for host and path,
// or nil. Case and port of host are ignored.
func (t *Table) Lookup(host, path string) *Route {
	if t == nil {
		return nil
	}
	list, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		list = t.hosts[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
