// Package schema checks JSON documents against a JSON schema and words the
// violations for operators: path, value and rule.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxShownValue is the longest part of a wrong value that is shown, in bytes.
const maxShownValue = 80

// Violation is one broken rule.
type Violation struct {
	Path  string // for example /regions/finland/services/varasto/timeoutMs
	Value string // the value as JSON, shortened
	Rule  string
}

// Error lists all violations of one document.
type Error struct {
	Violations []Violation
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = fmt.Sprintf("%s: value %s: %s", v.Path, v.Value, v.Rule)
	}
	return strings.Join(lines, "; ")
}

// Schema is a schema that is part of the program. It is compiled when it is first
// used: compiling costs as much processor time as the rest of a start.
type Schema struct {
	compiled func() *jsonschema.Schema
	secret   map[string]bool
}

// New returns the schema with this text. Its first use panics if the text is
// wrong. Values below a member named in secret are not shown in errors.
func New(name string, text []byte, secret ...string) *Schema {
	s := &Schema{compiled: sync.OnceValue(func() *jsonschema.Schema { return mustCompile(name, text) }), secret: map[string]bool{}}
	for _, m := range secret {
		s.secret[m] = true
	}
	return s
}

func mustCompile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Wrap(err, name))
	}
	c := jsonschema.NewCompiler()
	// An absolute address keeps the compiler from looking for the working directory.
	address := "schema:///" + name
	if err := c.AddResource(address, doc); err != nil {
		panic(errors.Wrap(err, name))
	}
	return c.MustCompile(address)
}

// Check parses text and returns the document. The error is an *Error where the
// document breaks the schema.
func (s *Schema) Check(text []byte) (any, error) {
	if err := checkDuplicates(json.NewDecoder(bytes.NewReader(text)), ""); err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "parse JSON")
	}
	err = s.compiled().Validate(doc)
	var ve *jsonschema.ValidationError
	if errors.As(err, &ve) {
		out := &Error{}
		s.collect(ve, doc, out)
		return nil, out
	}
	return doc, err
}

func (s *Schema) collect(ve *jsonschema.ValidationError, doc any, out *Error) {
	if len(ve.Causes) > 0 {
		for _, c := range ve.Causes {
			s.collect(c, doc, out)
		}
		return
	}
	path := ve.InstanceLocation
	switch k := ve.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, member := range k.Properties {
			out.add(append(slices.Clip(path), member), s.show(append(slices.Clip(path), member), doc), "unknown member")
		}
	case *kind.Required:
		for _, member := range k.Missing {
			out.add(append(slices.Clip(path), member), "(none)", "a value is required")
		}
	default:
		out.add(path, s.show(path, doc), ve.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
}

func (e *Error) add(path []string, value, rule string) {
	e.Violations = append(e.Violations, Violation{Path: "/" + strings.Join(path, "/"), Value: value, Rule: rule})
}

// show returns a value as JSON, shortened. Objects and arrays are not shown,
// because a file of another kind may hold secrets in them.
func (s *Schema) show(path []string, doc any) string {
	for _, p := range path {
		if s.secret[p] {
			return "(secret)"
		}
		switch d := doc.(type) {
		case map[string]any:
			doc = d[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i < 0 || i >= len(d) {
				return "?"
			}
			doc = d[i]
		}
	}
	switch doc.(type) {
	case map[string]any:
		return "(object)"
	case []any:
		return "(array)"
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return "?"
	}
	if len(text) > maxShownValue {
		return string(text[:maxShownValue]) + "..."
	}
	return string(text)
}

// checkDuplicates refuses a member that stands twice in one object, because a
// parser would silently keep only one of the two values.
func checkDuplicates(dec *json.Decoder, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return errors.Wrap(err, "parse JSON")
	}
	delim, ok := tok.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; dec.More(); i++ {
		member := fmt.Sprint(i)
		if delim == '{' {
			name, err := dec.Token()
			if err != nil {
				return errors.Wrap(err, "parse JSON")
			}
			member, _ = name.(string)
			if seen[member] {
				return &Error{Violations: []Violation{{Path: path + "/" + member, Value: "(twice)", Rule: "a member may stand only once in an object"}}}
			}
			seen[member] = true
		}
		if err := checkDuplicates(dec, path+"/"+member); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "parse JSON")
	}
	return nil
}
