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

// describe returns one line that names every broken field of invalid.
func (s *Schema) describe(invalid *jsonschema.ValidationError) string {
	printer := message.NewPrinter(language.English)
	var lines []string
	for _, leaf := range leaves(invalid) {
		lines = append(lines, s.describeLeaf(leaf, printer))
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "; ")
}

// leaves returns the errors under e that have no cause of their own.
func leaves(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		all = append(all, leaves(cause)...)
	}
	return all
}

func (s *Schema) describeLeaf(e *jsonschema.ValidationError, printer *message.Printer) string {
	field := "/" + strings.Join(e.InstanceLocation, "/")
	node := s.lookup(e.SchemaURL)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		return fmt.Sprintf("field %s: unknown field %s; known are %s",
			field, strings.Join(extra.Properties, ", "), strings.Join(properties(node), ", "))
	}
	text := e.ErrorKind.LocalizedString(printer)
	if description, ok := node["description"].(string); ok {
		return fmt.Sprintf("field %s: %s (%s)", field, text, strings.TrimSuffix(description, "."))
	}
	return fmt.Sprintf("field %s: %s", field, text)
}

// lookup returns the part of the schema at location, a URL with a JSON pointer.
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

// properties returns the names of the fields that node allows, in order.
func properties(node map[string]any) []string {
	known, _ := node["properties"].(map[string]any)
	var names []string
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
