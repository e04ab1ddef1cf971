package dynamic

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is what happened to a service or to one of its values.
type ChangeKind string

// Kinds of Difference.
const (
	Added   ChangeKind = "added"   // the service is only in the new tree
	Removed ChangeKind = "removed" // the service is only in the old tree
	Changed ChangeKind = "changed" // one effective value differs
)

// Difference is one difference in the effective settings of a service.
type Difference struct {
	Kind            ChangeKind
	Region, Service string
	Path            string // for example queue.maxWaitMs; empty unless Kind is Changed
	Old, New        string // values as JSON; empty unless Kind is Changed
	OldOrigin       string // the node that stated the old value
	NewOrigin       string // the node that states the new value
}

// String returns one line for operators.
func (d Difference) String() string {
	if d.Kind != Changed {
		return fmt.Sprintf("%s/%s %s", d.Region, d.Service, d.Kind)
	}
	return fmt.Sprintf("%s/%s %s %s -> %s (%s)", d.Region, d.Service, d.Path, d.Old, d.New, d.NewOrigin)
}

// Diff returns how the effective settings of every service differ, ordered by
// region, service and path. Either tree may be nil, which stands for a tree
// without services. A value that only moves to another node without changing
// is no difference.
func Diff(old, new *Tree) []Difference {
	if old == nil {
		old = &Tree{}
	}
	if new == nil {
		new = &Tree{}
	}
	var out []Difference
	for _, region := range union(old.services, new.services) {
		for _, service := range union(old.services[region], new.services[region]) {
			o, n := old.Lookup(region, service), new.Lookup(region, service)
			switch {
			case o == nil:
				out = append(out, Difference{Kind: Added, Region: region, Service: service})
			case n == nil:
				out = append(out, Difference{Kind: Removed, Region: region, Service: service})
			default:
				out = append(out, diffValues(region, service, o, n)...)
			}
		}
	}
	return out
}

func diffValues(region, service string, o, n *Resolved) []Difference {
	if o == n || reflect.DeepEqual(o.Service, n.Service) {
		return nil
	}
	var out []Difference
	before, after := o.Values(), n.Values()
	for _, path := range union(before, after) {
		was, is := before[path], after[path]
		if was.JSON == is.JSON {
			continue
		}
		out = append(out, Difference{
			Kind: Changed, Region: region, Service: service, Path: path,
			Old: was.JSON, New: is.JSON, OldOrigin: was.Origin, NewOrigin: is.Origin,
		})
	}
	return out
}

func union[V any](a, b map[string]V) []string {
	names := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(names)
	return slices.Compact(names)
}

// Summarize returns at most limit lines. Equal changes of several services
// share a line, because one changed fleet default reaches every service. The
// last line says how many lines were left out.
func Summarize(differences []Difference, limit int) []string {
	type group struct{ path, old, new, origin string }
	var order []group
	services := map[group][]string{}
	for _, d := range differences {
		g := group{d.Path, d.Old, d.New, d.NewOrigin}
		if d.Kind != Changed {
			g = group{path: string(d.Kind)}
		}
		if services[g] == nil {
			order = append(order, g)
		}
		services[g] = append(services[g], d.Region+"/"+d.Service)
	}
	var lines []string
	for i, g := range order {
		if i == limit {
			return append(lines, fmt.Sprintf("and %d more changes", len(order)-limit))
		}
		names := services[g]
		where := strings.Join(names, " ")
		if len(names) > maxNamedServices {
			where = fmt.Sprintf("%s and %d more services", strings.Join(names[:maxNamedServices], " "), len(names)-maxNamedServices)
		}
		if g.old == "" && g.new == "" {
			lines = append(lines, fmt.Sprintf("%s: %s", g.path, where))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s -> %s (%s): %s", g.path, g.old, g.new, g.origin, where))
	}
	return lines
}

// maxNamedServices bounds the length of one line of Summarize.
const maxNamedServices = 8
