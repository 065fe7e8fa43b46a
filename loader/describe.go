package loader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// describe returns one line that names every invalid field and what is wrong with it.
func (s *Schema) describe(invalid *jsonschema.ValidationError) string {
	printer := message.NewPrinter(language.English)
	var lines []string
	for _, leaf := range leafErrors(invalid) {
		lines = append(lines, s.describeLeaf(leaf, printer))
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "; ")
}

// leafErrors returns the errors in the tree of e that have no causes.
func leafErrors(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		all = append(all, leafErrors(cause)...)
	}
	return all
}

// describeLeaf returns the field of e, what is wrong with it, and the known fields or the
// description of the field from the schema.
func (s *Schema) describeLeaf(e *jsonschema.ValidationError, printer *message.Printer) string {
	field := "/" + strings.Join(e.InstanceLocation, "/")
	schema := s.lookup(e.SchemaURL)
	if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		return fmt.Sprintf("field %s: unknown field %s; known are %s",
			field, strings.Join(unknown.Properties, ", "), strings.Join(fieldNames(schema), ", "))
	}
	text := e.ErrorKind.LocalizedString(printer)
	if description, ok := schema["description"].(string); ok {
		return fmt.Sprintf("field %s: %s (%s)", field, text, strings.TrimSuffix(description, "."))
	}
	return fmt.Sprintf("field %s: %s", field, text)
}

// lookup returns the part of the schema at location, a URL whose fragment is a JSON
// pointer, or nil when there is no object at location.
func (s *Schema) lookup(location string) map[string]any {
	_, pointer, _ := strings.Cut(location, "#")
	node := s.document
	for _, step := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		object, ok := node.(map[string]any)
		if !ok {
			return nil
		}
		if step != "" {
			node = object[step]
		}
	}
	object, _ := node.(map[string]any)
	return object
}

// fieldNames returns the sorted names of the fields that schema allows.
func fieldNames(schema map[string]any) []string {
	known, _ := schema["properties"].(map[string]any)
	var names []string
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
