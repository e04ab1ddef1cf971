package gateway

import (
	"maps"
	"slices"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/route"
)

// snapshot is the state that is derived from one version of the settings tree.
// It is replaced as a whole, so that a request never combines the routes of one
// version with the services of another.
type snapshot struct {
	hasSettings bool // false until the first settings tree: routes and services are unknown
	byName      map[string]*service
	list        []*service   // sorted by name
	routes      *route.Table // nil: the first path segment names the service
	callers     *callerConfig
	version     uint64
}

func newSnapshot(byName map[string]*service, routes *route.Table, tree *dynamic.Tree) *snapshot {
	out := &snapshot{hasSettings: true, byName: byName, routes: routes, callers: newCallerConfig(&tree.Callers), version: tree.Version}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out.list = append(out.list, byName[name])
	}
	return out
}
