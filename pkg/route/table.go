package route

import (
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
	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host by their path prefix.
type hostRoutes struct {
	byPrefix  map[string]*Route
	maxPrefix int // length of the longest prefix in bytes
}

// NewTable returns a table of the routes. A route with the same host and prefix
// as one in the previous table keeps its baseline latency, and its split if the
// shares are the same. previous may be nil.
func NewTable(previous *Table, routes []dynamic.Route) *Table {
	t := &Table{hosts: map[string]*hostRoutes{}}
	for i := range routes {
		t.add(previous, &routes[i])
	}
	return t
}

func (t *Table) add(previous *Table, route *dynamic.Route) {
	r := &Route{Route: *route}
	if old := previous.findRoute(r.Host, r.PathPrefix); old != nil {
		r.BaselineLatency = old.BaselineLatency
		if slices.Equal(old.Services, r.Services) {
			r.split = old.split
		}
	}
	if r.BaselineLatency == nil {
		r.BaselineLatency = &BaselineLatency{}
	}
	if r.split == nil {
		r.split = NewSplit(r.Services)
	}
	host := strings.ToLower(r.Host)
	h := t.hosts[host]
	if h == nil {
		h = &hostRoutes{byPrefix: map[string]*Route{}}
		t.hosts[host] = h
	}
	prefix := EscapePath(r.PathPrefix)
	h.byPrefix[prefix] = r
	h.maxPrefix = max(h.maxPrefix, len(prefix))
}

func (t *Table) findRoute(host, prefix string) *Route {
	if t == nil {
		return nil
	}
	if h := t.hosts[strings.ToLower(host)]; h != nil {
		return h.byPrefix[EscapePath(prefix)]
	}
	return nil
}

// Lookup returns the route with the longest matching prefix for host and path,
// or nil. Case and port of host are ignored. path is in the form of EscapePath.
func (t *Table) Lookup(host, path string) *Route {
	if t == nil {
		return nil
	}
	h, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		h = t.hosts[strings.ToLower(host)]
	}
	if h == nil {
		return nil
	}
	return h.lookup(path)
}

// lookup returns the route with the longest prefix of path, or nil. Prefixes end with a
// slash.
func (h *hostRoutes) lookup(path string) *Route {
	for prefix := path[:min(len(path), h.maxPrefix)]; prefix != ""; prefix = prefix[:len(prefix)-1] {
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return nil
		}
		prefix = prefix[:end+1]
		if r := h.byPrefix[prefix]; r != nil {
			return r
		}
	}
	return nil
}
