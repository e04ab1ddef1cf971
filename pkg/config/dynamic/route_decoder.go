package dynamic

import (
	"bytes"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

var (
	errRepeatedMember = errors.New("a member stands twice")
	errUnusualRoute   = errors.New("the route needs the check of the schema")
)

// Bounds of the members of a route in schema.json.
const (
	maxRouteAttempts = math.MaxInt32
	maxRoutePriority = math.MaxInt32
)

// decodeRoute decodes a route whose text is in the usual form. It returns false unless
// the text certainly complies with the schema: all else is left to the check of the
// schema, which takes a hundred times as long and describes violations.
func decodeRoute(text []byte) (Route, bool) {
	if bytes.IndexByte(text, '\\') >= 0 || !utf8.Valid(text) {
		return Route{}, false
	}
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(text)
	var r Route
	var seen memberSet
	err := d.ObjBytes(func(d *jx.Decoder, name []byte) error {
		if !seen.add(routeMembers, name) {
			return errUnusualRoute
		}
		return r.decodeMember(d, name)
	})
	return r, err == nil && seen.hasAll(requiredRouteMembers)
}

// routeMembers are the names of the members of a route; those that are required come
// first.
var routeMembers = []string{"host", "pathPrefix", "services", "name", "idempotent", "timeoutMs", "attemptTimeoutMs", "maxAttempts", "targetLatencyMs", "priority"}

const requiredRouteMembers = 3

// memberSet is a set of members of an object, by their index in a list of names.
type memberSet uint16

// add adds a member. It returns false if the member is unknown or in the set already.
func (s *memberSet) add(names []string, name []byte) bool {
	for i, known := range names {
		if known == string(name) {
			isNew := *s&(1<<i) == 0
			*s |= 1 << i
			return isNew
		}
	}
	return false
}

// hasAll reports whether the first n members are in the set.
func (s memberSet) hasAll(n int) bool { return s&(1<<n-1) == 1<<n-1 }

func (r *Route) decodeMember(d *jx.Decoder, name []byte) (err error) {
	switch string(name) {
	case "name":
		r.Name, err = decodeText(d, func(string) bool { return true })
	case "host":
		r.Host, err = decodeText(d, isNotEmpty)
	case "pathPrefix":
		r.PathPrefix, err = decodeText(d, isPathPrefix)
	case "idempotent":
		r.Idempotent, err = d.Bool()
	case "timeoutMs":
		r.TimeoutMS, err = decodeInt(d, 0, MaxMillis)
	case "attemptTimeoutMs":
		r.AttemptTimeoutMS, err = decodeInt(d, 0, MaxMillis)
	case "maxAttempts":
		r.MaxAttempts, err = decodeInt(d, 0, maxRouteAttempts)
	case "targetLatencyMs":
		r.TargetLatencyMS, err = decodeInt(d, 0, MaxMillis)
	case "priority":
		r.Priority, err = decodeInt(d, 0, maxRoutePriority)
	case "services":
		r.Services, err = decodeServices(d)
	default:
		return errUnusualRoute
	}
	return err
}

func decodeServices(d *jx.Decoder) (out []WeightedService, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		s, err := decodeService(d)
		out = append(out, s)
		return err
	})
	if err == nil && len(out) == 0 {
		err = errUnusualRoute
	}
	return out, err
}

// serviceMembers are the names of the members of a weighted service; the first is
// required.
var serviceMembers = []string{"service", "weight"}

func decodeService(d *jx.Decoder) (s WeightedService, err error) {
	var seen memberSet
	err = d.ObjBytes(func(d *jx.Decoder, name []byte) (err error) {
		switch {
		case !seen.add(serviceMembers, name):
			return errUnusualRoute
		case string(name) == "service":
			s.Service, err = decodeText(d, isNotEmpty)
		default:
			s.Weight, err = decodeWeight(d)
		}
		return err
	})
	if err == nil && !seen.hasAll(1) {
		err = errUnusualRoute
	}
	return s, err
}

func decodeText(d *jx.Decoder, isValid func(string) bool) (string, error) {
	if d.Next() != jx.String {
		return "", errUnusualRoute
	}
	s, err := d.Str()
	if err == nil && !isValid(s) {
		err = errUnusualRoute
	}
	return s, err
}

func decodeInt(d *jx.Decoder, least, most int) (int, error) {
	if d.Next() != jx.Number {
		return 0, errUnusualRoute
	}
	n, err := d.Int()
	if err == nil && (n < least || n > most) {
		err = errUnusualRoute
	}
	return n, err
}

func decodeWeight(d *jx.Decoder) (float64, error) {
	if d.Next() != jx.Number {
		return 0, errUnusualRoute
	}
	raw, err := d.Raw()
	if err != nil {
		return 0, err
	}
	weight, err := strconv.ParseFloat(string(bytes.TrimSpace(raw)), 64)
	if err == nil && weight < 0 {
		err = errUnusualRoute
	}
	return weight, err
}

// isPathPrefix reports whether s begins and ends with a slash.
func isPathPrefix(s string) bool {
	return isNotEmpty(s) && s[0] == '/' && s[len(s)-1] == '/'
}

func isNotEmpty(s string) bool { return s != "" }
