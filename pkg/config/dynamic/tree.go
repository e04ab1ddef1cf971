package dynamic

import (
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

var treeSchema = schema.MustCompile("tree.json", schemaText)

// BuiltIn is the origin of a value that no node of the tree states.
const BuiltIn = "built-in"

// Tree is one checked version of the published settings.
type Tree struct {
	Version uint64
	Digest  [sha256.Size]byte // of the text as published
	Text    []byte

	services map[string]map[string]*Resolved // by region, then by service
}

// Resolved is one service of one region with the origin of each value.
type Resolved struct {
	Service Service
	// Origins maps the path of each value, for example "queue.maxWaitMs", to
	// the node that states it: built-in, fleet, region/NAME or
	// region/NAME/service/NAME.
	Origins map[string]string
	// Values maps the same paths to the values as JSON.
	Values map[string]string
}

type document struct {
	Version uint64 `json:"version"`
	Fleet   struct {
		Defaults map[string]any `json:"defaults"`
	} `json:"fleet"`
	Regions map[string]struct {
		Defaults map[string]any            `json:"defaults"`
		Services map[string]map[string]any `json:"services"`
	} `json:"regions"`
}

// Parse checks the text of a tree and resolves every service. The error is a
// *schema.Error where a rule of the schema or a rule across values is broken.
func Parse(text []byte) (*Tree, error) {
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
		services: map[string]map[string]*Resolved{},
	}
	var builtIn map[string]any
	if err := json.Unmarshal(defaultsText, &builtIn); err != nil {
		return nil, errors.Wrap(err, "parse built-in defaults")
	}
	problems := &schema.Error{}
	for regionName, region := range doc.Regions {
		t.services[regionName] = map[string]*Resolved{}
		for serviceName, service := range region.Services {
			node := fmt.Sprintf("region/%s/service/%s", regionName, serviceName)
			r, err := resolve([]level{
				{BuiltIn, builtIn},
				{"fleet", doc.Fleet.Defaults},
				{"region/" + regionName, region.Defaults},
				{node, service},
			})
			if err != nil {
				return nil, errors.Wrap(err, node)
			}
			path := fmt.Sprintf("/regions/%s/services/%s", regionName, serviceName)
			problems.Violations = append(problems.Violations, r.check(path)...)
			t.services[regionName][serviceName] = r
		}
	}
	if len(problems.Violations) > 0 {
		return nil, problems
	}
	return t, nil
}

// Lookup returns the resolved settings of a service, or nil.
func (t *Tree) Lookup(region, service string) *Resolved {
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

type level struct {
	origin string
	values map[string]any
}

func resolve(levels []level) (*Resolved, error) {
	merged := map[string]any{}
	r := &Resolved{Origins: map[string]string{}, Values: map[string]string{}}
	for _, l := range levels {
		merge(merged, l.values, "", l.origin, r)
	}
	text, err := json.Marshal(merged)
	if err != nil {
		return nil, err
	}
	return r, json.Unmarshal(text, &r.Service)
}

func merge(into, from map[string]any, prefix, origin string, r *Resolved) {
	for name, value := range from {
		path := prefix + name
		object, ok := value.(map[string]any)
		if !ok {
			into[name] = value
			text, _ := json.Marshal(value)
			r.Origins[path] = origin
			r.Values[path] = string(text)
			continue
		}
		child, ok := into[name].(map[string]any)
		if !ok {
			child = map[string]any{}
			into[name] = child
		}
		merge(child, object, path+".", origin, r)
	}
}

// check applies the rules that span several values.
func (r *Resolved) check(path string) []schema.Violation {
	s := &r.Service
	var out []schema.Violation
	add := func(member string, value any, rule string) {
		out = append(out, schema.Violation{Path: path + "/" + member, Value: fmt.Sprint(value), Rule: rule})
	}
	if s.Connections.PerBackend < s.InstanceCeiling {
		add("connections/perBackend", s.Connections.PerBackend,
			fmt.Sprintf("must be at least instanceCeiling (%d), so that each entry may hold one connection", s.InstanceCeiling))
	}
	if s.Keys.GrantMS >= s.Keys.LifetimeMS {
		add("keys/grantMs", s.Keys.GrantMS, fmt.Sprintf("must be below keys.lifetimeMs (%d)", s.Keys.LifetimeMS))
	}
	if s.Outlier.EjectMS > s.Outlier.MaxEjectMS {
		add("outlier/ejectMs", s.Outlier.EjectMS, fmt.Sprintf("must not exceed outlier.maxEjectMs (%d)", s.Outlier.MaxEjectMS))
	}
	return out
}
