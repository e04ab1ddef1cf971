package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"lentilpin/pkg/config/dynamic"
)

// Route is a route of the tree with the state of its split.
type Route struct {
	dynamic.Route
	Usual *Usual
	split *Split
}

// Service returns the service that runs the next request.
func (r *Route) Service() string { return r.split.Next() }

// Table finds routes. A nil table has none.
type Table struct {
	hosts map[string][]*Route
}

// NewTable returns the table of these routes. Splits of the previous table whose
// route and shares are the same go on where they are.
func NewTable(previous *Table, routes []dynamic.Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		r := &Route{Route: routes[i], Usual: &Usual{}}
		old := previous.find(r.Host, r.PathPrefix)
		if old != nil {
			r.Usual = old.Usual
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

func (t *Table) find(host, prefix string) *Route {
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

// IsEmpty reports whether the settings state no routes at all.
func (t *Table) IsEmpty() bool { return t == nil || len(t.hosts) == 0 }

// Lookup returns the route of a request, or nil. A port in host is ignored.
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
