package dynamic

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/schema"
)

//go:embed schema.json
var schemaText []byte

//go:embed defaults.json
var defaultsText []byte

var treeSchema = schema.New("tree.json", schemaText)

// BuiltIn is the origin of a value that no node of the tree states.
const BuiltIn = "built-in"

// Tree is one checked version of the published settings.
type Tree struct {
	Version uint64
	Digest  [sha256.Size]byte // of the text as published
	Text    []byte

	Routes  []Route // what callers may ask for; empty: the first path segment names the service
	Callers Callers

	services map[string]map[string]*Resolved // by region, then by service
}

// Resolved is one service of one region.
type Resolved struct {
	Service Service
	levels  []level
}

// Value is one setting of a service.
type Value struct {
	JSON string
	// Origin is the node that states the value: built-in, fleet, region/NAME
	// or region/NAME/service/NAME.
	Origin string
}

type document struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Callers Callers `json:"callers"`
	Fleet   struct {
		Defaults json.RawMessage `json:"defaults"`
	} `json:"fleet"`
	Regions map[string]struct {
		Defaults json.RawMessage            `json:"defaults"`
		Services map[string]json.RawMessage `json:"services"`
	} `json:"regions"`
}

// level is what one node states, as published.
type level struct {
	origin string
	text   json.RawMessage
}

// Parse checks the text of a tree and resolves every service. The error is a
// *schema.Error where a rule of the schema or a rule across values is broken.
func Parse(text []byte) (*Tree, error) { return ParseAfter(nil, text) }

// ParseAfter is Parse for the successor of a tree. It shares the services whose
// nodes state the same text as before: most versions change few of them.
func ParseAfter(previous *Tree, text []byte) (*Tree, error) {
	if _, err := treeSchema.Check(text); err != nil {
		return nil, err
	}
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, errors.Wrap(err, "parse tree")
	}
	t := &Tree{
		Version:  doc.Version,
		Digest:   sha256.Sum256(text),
		Text:     text,
		Routes:   doc.Routes,
		Callers:  doc.Callers,
		services: map[string]map[string]*Resolved{},
	}
	fleet := base{}.with(level{BuiltIn, defaultsText}).with(level{"fleet", doc.Fleet.Defaults})
	problems := &schema.Error{}
	for regionName, region := range doc.Regions {
		t.services[regionName] = make(map[string]*Resolved, len(region.Services))
		parent := fleet.with(level{"region/" + regionName, region.Defaults})
		for serviceName, text := range region.Services {
			if same := previous.Lookup(regionName, serviceName); same.isFrom(parent.levels, text) {
				t.services[regionName][serviceName] = same
				continue
			}
			node := fmt.Sprintf("region/%s/service/%s", regionName, serviceName)
			resolved := parent.with(level{node, text})
			if resolved.err != nil {
				return nil, errors.Wrap(resolved.err, node)
			}
			path := fmt.Sprintf("/regions/%s/services/%s", regionName, serviceName)
			problems.Violations = append(problems.Violations, resolved.check(path)...)
			t.services[regionName][serviceName] = &resolved.Resolved
		}
	}
	problems.Violations = append(problems.Violations, t.checkRoutes()...)
	if len(problems.Violations) > 0 {
		return nil, problems
	}
	return t, nil
}

// Lookup returns the resolved settings of a service, or nil. A nil tree has no
// services.
func (t *Tree) Lookup(region, service string) *Resolved {
	if t == nil {
		return nil
	}
	return t.services[region][service]
}

// Services returns the names of all services of a region in order.
func (t *Tree) Services(region string) []string {
	return slices.Sorted(maps.Keys(t.services[region]))
}

// Regions returns the names of all regions in order.
func (t *Tree) Regions() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// base is the settings that the nodes below a node inherit.
type base struct {
	Resolved
	err error
}

// with returns the settings of a child. Only what the child states is decoded,
// over a copy of what it inherits, so that the cost of a service does not grow
// with the number of settings.
func (b base) with(l level) base {
	b.levels = append(slices.Clip(b.levels), l)
	if len(l.text) == 0 {
		return b
	}
	// json.Unmarshal would write into the parent's array.
	b.Service.IdempotentMethods = slices.Clone(b.Service.IdempotentMethods)
	if err := json.Unmarshal(l.text, &b.Service); err != nil && b.err == nil {
		b.err = err
	}
	return b
}

// isFrom reports whether r was resolved from a parent with these levels and a
// node with this text.
func (r *Resolved) isFrom(parent []level, text []byte) bool {
	if r == nil || len(r.levels) != len(parent)+1 {
		return false
	}
	for i, l := range parent {
		if !bytes.Equal(r.levels[i].text, l.text) {
			return false
		}
	}
	return bytes.Equal(r.levels[len(parent)].text, text)
}

// Values returns every setting by its path, for example "queue.maxWaitMs". It
// is made when asked for, because requests do not need it.
func (r *Resolved) Values() map[string]Value {
	out := map[string]Value{}
	for _, l := range r.levels {
		var values map[string]any
		if len(l.text) == 0 || json.Unmarshal(l.text, &values) != nil {
			continue
		}
		collect(out, values, "", l.origin)
	}
	return out
}

func collect(out map[string]Value, values map[string]any, prefix, origin string) {
	for name, value := range values {
		path := prefix + name
		if object, ok := value.(map[string]any); ok {
			collect(out, object, path+".", origin)
			continue
		}
		text, err := json.Marshal(value)
		if err != nil {
			panic(err) // a decoded JSON value always encodes
		}
		out[path] = Value{JSON: string(text), Origin: origin}
	}
}

// maxInstancesPerConnection is how many times more entries than connections of a backend
// server there may be; package subset is tested up to this ratio.
const maxInstancesPerConnection = 3

// check applies the rules that span several values.
func (r *Resolved) check(path string) []schema.Violation {
	s := &r.Service
	var out []schema.Violation
	add := func(member string, value any, rule string) {
		out = append(out, schema.Violation{Path: path + "/" + member, Value: fmt.Sprint(value), Rule: rule})
	}
	if maxInstancesPerConnection*s.Connections.PerBackend < s.InstanceCeiling {
		add("connections/perBackend", s.Connections.PerBackend,
			fmt.Sprintf("must be at least a %dth of instanceCeiling (%d), so that the entries can share the backend servers", maxInstancesPerConnection, s.InstanceCeiling))
	}
	if s.Keys.GrantMS >= s.Keys.LifetimeMS {
		add("keys/grantMs", s.Keys.GrantMS, fmt.Sprintf("must be below keys.lifetimeMs (%d)", s.Keys.LifetimeMS))
	}
	if s.Outlier.EjectMS > s.Outlier.MaxEjectMS {
		add("outlier/ejectMs", s.Outlier.EjectMS, fmt.Sprintf("must not exceed outlier.maxEjectMs (%d)", s.Outlier.MaxEjectMS))
	}
	return out
}
