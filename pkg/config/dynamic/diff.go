package dynamic

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// DifferenceKind is the kind of a Difference.
type DifferenceKind string

// Values of DifferenceKind.
const (
	ServiceAdded   DifferenceKind = "added"   // the service is only in the new tree
	ServiceRemoved DifferenceKind = "removed" // the service is only in the old tree
	ValueChanged   DifferenceKind = "changed" // an effective value differs
)

// Difference is one difference in the effective settings of a service.
type Difference struct {
	Kind            DifferenceKind
	Region, Service string
	Path            string // for example queue.maxWaitMs; empty unless Kind is ValueChanged
	Old, New        string // values as JSON; empty unless Kind is ValueChanged
	OldOrigin       string // the node that states the value in the old tree
	NewOrigin       string // the node that states the value in the new tree
}

// String returns the difference as one line of text for operators.
func (d Difference) String() string {
	if d.Kind != ValueChanged {
		return fmt.Sprintf("%s/%s %s", d.Region, d.Service, d.Kind)
	}
	return fmt.Sprintf("%s/%s %s %s -> %s (%s)", d.Region, d.Service, d.Path, d.Old, d.New, d.NewOrigin)
}

// Diff returns the differences in the effective settings of all services, sorted
// by region, service and path. A nil tree stands for a tree without services. A
// value that moves to another node without changing is not a difference.
func Diff(old, new *Tree) []Difference {
	if old == nil {
		old = &Tree{}
	}
	if new == nil {
		new = &Tree{}
	}
	var out []Difference
	for _, region := range sortedKeyUnion(old.services, new.services) {
		for _, service := range sortedKeyUnion(old.services[region], new.services[region]) {
			oldService, newService := old.Lookup(region, service), new.Lookup(region, service)
			switch {
			case oldService == nil:
				out = append(out, Difference{Kind: ServiceAdded, Region: region, Service: service})
			case newService == nil:
				out = append(out, Difference{Kind: ServiceRemoved, Region: region, Service: service})
			default:
				out = append(out, diffValues(region, service, oldService, newService)...)
			}
		}
	}
	return out
}

func diffValues(region, service string, oldService, newService *ResolvedService) []Difference {
	if oldService == newService || reflect.DeepEqual(oldService.Service, newService.Service) {
		return nil
	}
	var out []Difference
	oldValues, newValues := oldService.Values(), newService.Values()
	for _, path := range sortedKeyUnion(oldValues, newValues) {
		oldValue, newValue := oldValues[path], newValues[path]
		if oldValue.JSON == newValue.JSON {
			continue
		}
		out = append(out, Difference{
			Kind: ValueChanged, Region: region, Service: service, Path: path,
			Old: oldValue.JSON, New: newValue.JSON, OldOrigin: oldValue.Origin, NewOrigin: newValue.Origin,
		})
	}
	return out
}

// sortedKeyUnion returns the sorted keys that are in a or b.
func sortedKeyUnion[V any](a, b map[string]V) []string {
	names := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(names)
	return slices.Compact(names)
}

// Summarize describes differences in at most limit lines, followed by a line with
// the number of omitted lines if there are more. Equal changes of several
// services share a line, because a changed fleet default affects every service.
func Summarize(differences []Difference, limit int) []string {
	type group struct{ path, old, new, origin string }
	var order []group
	services := map[group][]string{}
	for _, d := range differences {
		g := group{d.Path, d.Old, d.New, d.NewOrigin}
		if d.Kind != ValueChanged {
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
		serviceList := strings.Join(names, " ")
		if len(names) > maxServicesPerLine {
			serviceList = fmt.Sprintf("%s and %d more services", strings.Join(names[:maxServicesPerLine], " "), len(names)-maxServicesPerLine)
		}
		if g.old == "" && g.new == "" {
			lines = append(lines, fmt.Sprintf("%s: %s", g.path, serviceList))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s -> %s (%s): %s", g.path, g.old, g.new, g.origin, serviceList))
	}
	return lines
}

// maxServicesPerLine bounds the length of one line of Summarize.
const maxServicesPerLine = 8
