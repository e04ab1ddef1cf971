package gateway

import (
	"maps"
	"slices"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/route"
)

// snapshot is what one version of the settings tree has put in force. It is
// replaced as a whole, so that a request never sees the routes of one version and
// the services of another.
type snapshot struct {
	adopted bool // false: no version yet, nothing can be said of any request
	byName  map[string]*service
	list    []*service // in the order of the names
	routes  *route.Table
	callers *callerRules
	version uint64
}

func newSnapshot(byName map[string]*service, routes *route.Table, tree *dynamic.Tree) *snapshot {
	out := &snapshot{adopted: true, byName: byName, routes: routes, callers: newCallerRules(&tree.Callers), version: tree.Version}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out.list = append(out.list, byName[name])
	}
	return out
}
