// Package schema validates JSON documents against a JSON schema and describes
// each violation for operators: path, value and rule.
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

// maxValueBytes is the length to which an invalid value in an error is truncated,
// in bytes.
const maxValueBytes = 80

// Violation describes a value that breaks a rule.
type Violation struct {
	Path  string // for example /regions/finland/services/varasto/timeoutMs
	Value string // JSON, truncated; a word in parentheses where the value is not shown
	Rule  string // for example minimum: got 0, want 1
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

// Schema is a JSON schema that is embedded in the program. It is compiled on first
// use, because compiling takes as much CPU time as the rest of the startup.
type Schema struct {
	compile       func() *jsonschema.Schema
	secretMembers map[string]bool
}

// New returns the schema with the given text. Its first use panics if the text is
// not a valid schema. Errors do not show the values of the members named in
// secretMembers, nor values nested in them.
func New(name string, text []byte, secretMembers ...string) *Schema {
	s := &Schema{compile: sync.OnceValue(func() *jsonschema.Schema { return mustCompile(name, text) }), secretMembers: map[string]bool{}}
	for _, member := range secretMembers {
		s.secretMembers[member] = true
	}
	return s
}

func mustCompile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Wrap(err, name))
	}
	compiler := jsonschema.NewCompiler()
	// With an absolute URI the compiler does not read the working directory.
	uri := "schema:///" + name
	if err := compiler.AddResource(uri, doc); err != nil {
		panic(errors.Wrap(err, name))
	}
	return compiler.MustCompile(uri)
}

// Compile compiles the schema, unless that was done before.
func (s *Schema) Compile() { s.compile() }

// Check parses and validates text and returns the document. The error is an
// *Error if the document breaks the schema or repeats a member.
func (s *Schema) Check(text []byte) (any, error) {
	if err := checkDuplicates(json.NewDecoder(bytes.NewReader(text)), ""); err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "parse JSON")
	}
	err = s.compile().Validate(doc)
	var validationErr *jsonschema.ValidationError
	if errors.As(err, &validationErr) {
		out := &Error{}
		s.appendViolations(validationErr, doc, out)
		return nil, out
	}
	return doc, err
}

// appendViolations appends a violation to out for each leaf of the tree of causes.
func (s *Schema) appendViolations(validationErr *jsonschema.ValidationError, doc any, out *Error) {
	if len(validationErr.Causes) > 0 {
		for _, cause := range validationErr.Causes {
			s.appendViolations(cause, doc, out)
		}
		return
	}
	path := validationErr.InstanceLocation
	switch k := validationErr.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, member := range k.Properties {
			out.addViolation(append(slices.Clip(path), member), s.formatValue(append(slices.Clip(path), member), doc), "unknown member")
		}
	case *kind.Required:
		for _, member := range k.Missing {
			out.addViolation(append(slices.Clip(path), member), "(none)", "a value is required")
		}
	default:
		out.addViolation(path, s.formatValue(path, doc), validationErr.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
}

func (e *Error) addViolation(path []string, value, rule string) {
	e.Violations = append(e.Violations, Violation{Path: "/" + strings.Join(path, "/"), Value: value, Rule: rule})
}

// formatValue returns the value at path as truncated JSON. Objects and arrays are
// not shown, because a file passed by mistake may hold secrets in them.
func (s *Schema) formatValue(path []string, doc any) string {
	for _, p := range path {
		if s.secretMembers[p] {
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
	if len(text) > maxValueBytes {
		return string(text[:maxValueBytes]) + "..."
	}
	return string(text)
}

// checkDuplicates returns an *Error if an object has the same member twice, because
// a parser would silently keep only one of the two values.
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
