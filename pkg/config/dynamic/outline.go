package dynamic

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"
)

const (
	// maxRoutes is the maxItems of the routes in schema.json, and maxVersion the
	// maximum of the version.
	maxRoutes  = 100_000
	maxVersion = 1<<53 - 1

	routesMember   = "routes"
	versionMember  = "version"
	regionsMember  = "regions"
	fleetMember    = "fleet"
	defaultsMember = "defaults"
	servicesMember = "services"
)

// outline is the text of a tree, split into its members, its routes and its services.
// Its texts refer to the text of the tree.
type outline struct {
	members      map[string][]byte // without the routes and the regions
	statesRoutes bool              // the text has a list of routes
	routes       [][]byte
	regions      map[string]regionOutline
}

// regionOutline is the text of a region, split into its defaults and its services.
type regionOutline struct {
	defaults []byte // nil: not stated
	services map[string][]byte
}

// outlineOf splits the text of a tree. It returns false if text is not a JSON object, its
// routes or regions have another form, or a member is repeated.
func outlineOf(text []byte) (o outline, ok bool) {
	o.members = map[string][]byte{}
	d := jx.DecodeBytes(text)
	seen := map[string]bool{}
	err := d.Obj(func(d *jx.Decoder, name string) (err error) {
		if seen[name] {
			return errRepeatedMember
		}
		seen[name] = true
		switch name {
		case routesMember:
			o.statesRoutes = true
			o.routes, err = rawElements(d)
		case regionsMember:
			o.regions, err = outlineOfRegions(d)
		default:
			o.members[name], err = rawValue(d)
		}
		return err
	})
	if err != nil {
		return outline{}, false
	}
	return o, d.Skip() == io.EOF
}

func outlineOfRegions(d *jx.Decoder) (map[string]regionOutline, error) {
	regions := map[string]regionOutline{}
	err := d.Obj(func(d *jx.Decoder, name string) error {
		if _, isRepeated := regions[name]; isRepeated {
			return errRepeatedMember
		}
		region, err := outlineOfRegion(d)
		regions[name] = region
		return err
	})
	return regions, err
}

func outlineOfRegion(d *jx.Decoder) (r regionOutline, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch {
		case name == defaultsMember && r.defaults == nil:
			r.defaults, err = rawValue(d)
		case name == servicesMember && r.services == nil:
			r.services, err = rawMembers(d)
		default:
			err = errRepeatedMember // or unknown
		}
		return err
	})
	return r, err
}

// rawMembers returns the texts of the members of an object.
func rawMembers(d *jx.Decoder) (map[string][]byte, error) {
	out := map[string][]byte{}
	err := d.Obj(func(d *jx.Decoder, name string) (err error) {
		if _, isRepeated := out[name]; isRepeated {
			return errRepeatedMember
		}
		out[name], err = rawValue(d)
		return err
	})
	return out, err
}

// rawElements returns the texts of the elements of an array.
func rawElements(d *jx.Decoder) (out [][]byte, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		raw, err := rawValue(d)
		out = append(out, raw)
		return err
	})
	return out, err
}

// rawValue returns the text of the next value, without white space around it.
func rawValue(d *jx.Decoder) ([]byte, error) {
	raw, err := d.Raw()
	return bytes.TrimSpace(raw), err
}

// version returns the version of the tree. It returns false if the outline states
// none, or one in an unusual form or out of range.
func (o outline) version() (uint64, bool) {
	v, err := strconv.ParseUint(string(o.members[versionMember]), 10, 64)
	return v, err == nil && v > 0 && v <= maxVersion
}

// hasSameMembers reports whether all members but the version, the routes and the regions
// have the same text. The text of the other outline must be in the usual form.
func (o outline) hasSameMembers(other outline) bool {
	return other.members != nil && maps.EqualFunc(withoutVersion(o.members), withoutVersion(other.members), bytes.Equal)
}

func withoutVersion(members map[string][]byte) map[string][]byte {
	out := maps.Clone(members)
	delete(out, versionMember)
	return out
}

// unchangedServices returns the names of those services of a region that have the same
// text, and inherit from nodes with the same text, as in the previous outline.
func (o outline) unchangedServices(previous outline, region string) map[string]bool {
	out := map[string]bool{}
	own, other := o.regions[region], previous.regions[region]
	if !bytes.Equal(o.members[fleetMember], previous.members[fleetMember]) || !bytes.Equal(own.defaults, other.defaults) {
		return out
	}
	for name, text := range own.services {
		if otherText, exists := other.services[name]; exists && bytes.Equal(text, otherText) {
			out[name] = true
		}
	}
	return out
}

// document returns the text of a tree with the members of the outline, some of its
// routes, by their indexes, and its services but those that are unchanged, by region.
func (o outline) document(routes []int, unchanged map[string]map[string]bool) []byte {
	var w jx.Encoder
	w.ObjStart()
	for _, name := range slices.Sorted(maps.Keys(o.members)) {
		w.FieldStart(name)
		w.Raw(o.members[name])
	}
	if len(routes) > 0 {
		w.FieldStart(routesMember)
		w.ArrStart()
		for _, index := range routes {
			w.Raw(o.routes[index])
		}
		w.ArrEnd()
	}
	if o.regions != nil {
		w.FieldStart(regionsMember)
		w.ObjStart()
		for _, name := range slices.Sorted(maps.Keys(o.regions)) {
			w.FieldStart(name)
			o.regions[name].encode(&w, unchanged[name])
		}
		w.ObjEnd()
	}
	w.ObjEnd()
	return w.Bytes()
}

// encode writes the region without the unchanged services.
func (r regionOutline) encode(w *jx.Encoder, unchanged map[string]bool) {
	w.ObjStart()
	if r.defaults != nil {
		w.FieldStart(defaultsMember)
		w.Raw(r.defaults)
	}
	w.FieldStart(servicesMember)
	w.ObjStart()
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if !unchanged[name] {
			w.FieldStart(name)
			w.Raw(r.services[name])
		}
	}
	w.ObjEnd()
	w.ObjEnd()
}

// unchangedRoutes returns, for each route of the outline, the index of the route with
// the same text in the previous outline, or -1. Most versions keep the order of most
// routes, so only the routes between an equal beginning and an equal end are looked
// up by their text.
func (o outline) unchangedRoutes(previous outline) []int {
	out := make([]int, len(o.routes))
	shorter := min(len(o.routes), len(previous.routes))
	first := 0
	for first < shorter && bytes.Equal(o.routes[first], previous.routes[first]) {
		out[first] = first
		first++
	}
	last, previousLast := len(o.routes), len(previous.routes)
	for last > first && previousLast > first && bytes.Equal(o.routes[last-1], previous.routes[previousLast-1]) {
		last--
		previousLast--
		out[last] = previousLast
	}
	known := make(map[uint64]int, previousLast-first)
	for i, text := range previous.routes[first:previousLast] {
		known[xxhash.Sum64(text)] = first + i
	}
	for i := first; i < last; i++ {
		index, isKnown := known[xxhash.Sum64(o.routes[i])]
		if !isKnown || !bytes.Equal(o.routes[i], previous.routes[index]) {
			index = -1
		}
		out[i] = index
	}
	return out
}
