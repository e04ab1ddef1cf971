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

var treeSchema = schema.New("tree.json", schemaText)

// CompileSchema does the work that the first use of the schema would do otherwise. It
// takes longer than parsing a small tree, and can be done while the tree is awaited.
func CompileSchema() { treeSchema.Compile() }

// OriginBuiltIn is the origin of a value that no node of the tree states.
const OriginBuiltIn = "built-in"

// Tree is one validated version of the published settings tree.
type Tree struct {
	Version uint64
	Digest  [sha256.Size]byte // of the text as published
	Text    []byte

	// StatesRoutes reports whether the tree states a list of routes, which may be empty:
	// then no request has a route. Without a list the first path segment names the service.
	StatesRoutes bool
	Routes       []Route // routes of callers' requests
	Callers      Callers

	services map[string]map[string]*ResolvedService // by region, then by service
	outline  outline                                // of Text; empty if that is in an unusual form
}

// ResolvedService holds the effective settings of one service of one region and
// the layers that they come from.
type ResolvedService struct {
	Service Service
	layers  []layer
}

// Value is one effective setting of a service.
type Value struct {
	JSON string
	// Origin is the node that states the value: built-in, fleet, region/REGION
	// or region/REGION/service/SERVICE.
	Origin string
}

// document is the JSON form of a settings tree.
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

// layer holds the settings that one node states, as published.
type layer struct {
	origin string
	text   json.RawMessage
}

// Parse validates the text of a tree and resolves every service. The error is a
// *schema.Error if the text breaks the schema or a rule that relates several
// values.
func Parse(text []byte) (*Tree, error) { return ParseAfter(nil, text) }

// ParseAfter is like Parse, but reuses those routes of the previous tree that have
// the same text, and those services whose layers have the same text, because most
// versions change few of them. previous may be nil.
func ParseAfter(previous *Tree, text []byte) (*Tree, error) {
	t := &Tree{Digest: sha256.Sum256(text), Text: text}
	outline, ok := outlineOf(text)
	if !ok || len(outline.routes) > maxRoutes {
		return parseWhole(t)
	}
	t.outline, t.StatesRoutes = outline, outline.statesRoutes
	var unchecked []int
	t.Routes, unchecked = outline.decodeRoutes(previous)
	unchanged, changed := t.takeUnchangedServices(previous)
	version, ok := outline.version()
	if ok && len(unchecked)+changed == 0 && previous != nil && outline.hasSameMembers(previous.outline) {
		t.Version, t.Callers = version, previous.Callers
		return t.checked(nil)
	}
	doc, err := checkDocument(outline.document(unchecked, unchanged))
	if err != nil {
		return parseWhole(t) // for the paths of the violations
	}
	for i, index := range unchecked {
		t.Routes[index] = doc.Routes[i]
	}
	return t.resolve(doc)
}

// takeUnchangedServices sets the services of t that are unchanged since the previous
// tree. It returns their names by region, and the number of all others.
func (t *Tree) takeUnchangedServices(previous *Tree) (unchanged map[string]map[string]bool, changed int) {
	t.services = map[string]map[string]*ResolvedService{}
	unchanged = map[string]map[string]bool{}
	for region, o := range t.outline.regions {
		t.services[region] = make(map[string]*ResolvedService, len(o.services))
		if previous != nil {
			unchanged[region] = t.outline.unchangedServices(previous.outline, region)
		}
		for name := range unchanged[region] {
			t.services[region][name] = previous.Lookup(region, name)
		}
		changed += len(o.services) - len(unchanged[region])
	}
	return unchanged, changed
}

// parseWhole completes t by a check of its whole text.
func parseWhole(t *Tree) (*Tree, error) {
	doc, err := checkDocument(t.Text)
	if err != nil {
		return nil, err
	}
	t.StatesRoutes, t.Routes = doc.Routes != nil, doc.Routes
	t.services = map[string]map[string]*ResolvedService{}
	return t.resolve(doc)
}

// checkDocument checks a text against the schema and decodes it.
func checkDocument(text []byte) (*document, error) {
	if _, err := treeSchema.Check(text); err != nil {
		return nil, err
	}
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, errors.Wrap(err, "parse tree")
	}
	return &doc, nil
}

// decodeRoutes returns the routes of the outline, and the indexes of those that are
// neither unchanged nor in the usual form: these are zero until they are checked.
func (o outline) decodeRoutes(previous *Tree) (routes []Route, unchecked []int) {
	if previous == nil {
		previous = &Tree{}
	}
	routes = make([]Route, len(o.routes))
	for i, index := range o.unchangedRoutes(previous.outline) {
		if index >= 0 {
			routes[i] = previous.Routes[index]
			continue
		}
		if route, ok := decodeRoute(o.routes[i]); ok {
			routes[i] = route
		} else {
			unchecked = append(unchecked, i)
		}
	}
	return routes, unchecked
}

// resolve sets what doc states except the routes, and checks the rules that relate
// several values.
func (t *Tree) resolve(doc *document) (*Tree, error) {
	t.Version, t.Callers = doc.Version, doc.Callers
	fleet := resolution{}.overlay(layer{OriginBuiltIn, defaultsText}).overlay(layer{"fleet", doc.Fleet.Defaults})
	var violations []schema.Violation
	for regionName, region := range doc.Regions {
		if t.services[regionName] == nil {
			t.services[regionName] = make(map[string]*ResolvedService, len(region.Services))
		}
		parent := fleet.overlay(layer{"region/" + regionName, region.Defaults})
		for serviceName, text := range region.Services {
			node := fmt.Sprintf("region/%s/service/%s", regionName, serviceName)
			resolved := parent.overlay(layer{node, text})
			if resolved.err != nil {
				return nil, errors.Wrap(resolved.err, node)
			}
			path := fmt.Sprintf("/regions/%s/services/%s", regionName, serviceName)
			violations = append(violations, resolved.check(path)...)
			t.services[regionName][serviceName] = &resolved.ResolvedService
		}
	}
	return t.checked(violations)
}

// checked returns t, or all violations: those given and those of its routes.
func (t *Tree) checked(violations []schema.Violation) (*Tree, error) {
	violations = append(violations, t.checkRoutes()...)
	if len(violations) > 0 {
		return nil, &schema.Error{Violations: violations}
	}
	return t, nil
}

// Lookup returns the resolved settings of a service, or nil. A nil tree has no
// services.
func (t *Tree) Lookup(region, service string) *ResolvedService {
	if t == nil {
		return nil
	}
	return t.services[region][service]
}

// Services returns the sorted names of all services of a region.
func (t *Tree) Services(region string) []string {
	return slices.Sorted(maps.Keys(t.services[region]))
}

// Regions returns the sorted names of all regions.
func (t *Tree) Regions() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// resolution is the intermediate result for one node: the settings that its
// children inherit, and the first error.
type resolution struct {
	ResolvedService
	err error
}

// overlay returns the resolution of a child. It decodes only the settings that
// the child states, over a copy of the inherited ones, so that the cost of a
// service does not grow with the number of settings.
func (r resolution) overlay(l layer) resolution {
	r.layers = append(slices.Clip(r.layers), l)
	if len(l.text) == 0 {
		return r
	}
	// Without the copy json.Unmarshal would write into the parent's array.
	r.Service.IdempotentMethods = slices.Clone(r.Service.IdempotentMethods)
	if err := json.Unmarshal(l.text, &r.Service); err != nil && r.err == nil {
		r.err = err
	}
	return r
}

// Values returns every setting by its path, for example "queue.maxWaitMs". It
// builds the map on each call, because requests do not need it.
func (r *ResolvedService) Values() map[string]Value {
	out := map[string]Value{}
	for _, l := range r.layers {
		var values map[string]any
		if len(l.text) == 0 || json.Unmarshal(l.text, &values) != nil {
			continue
		}
		flatten(out, values, "", l.origin)
	}
	return out
}

// flatten adds every leaf of a JSON object to out, by its path.
func flatten(out map[string]Value, values map[string]any, prefix, origin string) {
	for name, value := range values {
		path := prefix + name
		if object, ok := value.(map[string]any); ok {
			flatten(out, object, path+".", origin)
			continue
		}
		text, err := json.Marshal(value)
		if err != nil {
			panic(err) // a decoded JSON value always encodes
		}
		out[path] = Value{JSON: string(text), Origin: origin}
	}
}

// check validates the rules that relate several values.
func (r *ResolvedService) check(path string) []schema.Violation {
	s := &r.Service
	var out []schema.Violation
	add := func(member string, value any, rule string) {
		out = append(out, schema.Violation{Path: path + "/" + member, Value: fmt.Sprint(value), Rule: rule})
	}
	if s.Keys.GrantMS >= s.Keys.LifetimeMS {
		add("keys/grantMs", s.Keys.GrantMS, fmt.Sprintf("must be below keys.lifetimeMs (%d)", s.Keys.LifetimeMS))
	}
	if s.Outlier.EjectMS > s.Outlier.MaxEjectMS {
		add("outlier/ejectMs", s.Outlier.EjectMS, fmt.Sprintf("must not exceed outlier.maxEjectMs (%d)", s.Outlier.MaxEjectMS))
	}
	return out
}
