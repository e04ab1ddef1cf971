package dynamic

import (
	"bytes"
	"encoding/json"
	"slices"
)

// maxRoutes is the maxItems of the routes in schema.json.
const maxRoutes = 100_000

// routesMember is the name of the member of a tree that holds its routes.
const routesMember = "routes"

// routeTexts holds the text of every route of a tree, in the order of its routes.
type routeTexts [][]byte

// splitRoutes returns the texts of the elements of the routes in text, and the
// offsets in text between which these elements stand. ok is false if text is not a
// JSON object with exactly one array of routes.
func splitRoutes(text []byte) (routes routeTexts, start, end int, ok bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, 0, 0, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, 0, 0, false
		}
		var value json.RawMessage
		if name != routesMember {
			if d.Decode(&value) != nil {
				return nil, 0, 0, false
			}
			continue
		}
		if t, err := d.Token(); err != nil || t != json.Delim('[') || ok {
			return nil, 0, 0, false
		}
		start, ok = int(d.InputOffset()), true
		for d.More() {
			if d.Decode(&value) != nil {
				return nil, 0, 0, false
			}
			valueEnd := int(d.InputOffset())
			routes = append(routes, text[valueEnd-len(value):valueEnd])
		}
		if _, err := d.Token(); err != nil {
			return nil, 0, 0, false
		}
		end = int(d.InputOffset()) - len("]")
	}
	return routes, start, end, ok
}

// withoutUnchangedRoutes returns text without those routes that the previous tree
// holds with the same text, because most versions change few routes and checking
// them takes most of the time of an adoption. unchanged holds, for each route of
// text, its index in the previous tree, or -1 if it is part of the result. It is
// nil if text is returned whole. routes holds the texts of all routes of text.
func withoutUnchangedRoutes(previous *Tree, text []byte) (reduced []byte, unchanged []int, routes routeTexts) {
	routes, start, end, ok := splitRoutes(text)
	if !ok || previous == nil || len(previous.routeTexts) != len(previous.Routes) || len(routes) > maxRoutes {
		return text, nil, routes
	}
	known := make(map[string]int, len(previous.routeTexts))
	for i, r := range previous.routeTexts {
		known[string(r)] = i
	}
	unchanged = make([]int, len(routes))
	var changed [][]byte
	for i, r := range routes {
		index, isKnown := known[string(r)]
		if !isKnown {
			index = -1
			changed = append(changed, r)
		}
		unchanged[i] = index
	}
	reduced = slices.Concat(text[:start], bytes.Join(changed, []byte(",")), text[end:])
	return reduced, unchanged, routes
}

// mergeRoutes returns the routes of a tree in their order: the unchanged ones of
// the previous tree and the changed ones.
func mergeRoutes(previous *Tree, unchanged []int, changed []Route) []Route {
	if unchanged == nil {
		return changed
	}
	out := make([]Route, 0, len(unchanged))
	for _, index := range unchanged {
		if index >= 0 {
			out = append(out, previous.Routes[index])
			continue
		}
		out = append(out, changed[0])
		changed = changed[1:]
	}
	return out
}
