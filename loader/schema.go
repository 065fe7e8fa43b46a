package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"apricotwinch"
)

// schemaURL is the base URL of the schema locations in validation errors.
const schemaURL = "schema:///settings.json"

// Schema is a compiled JSON schema. It also holds the schema as a document, from which
// error messages take the descriptions of fields.
type Schema struct {
	compiled *jsonschema.Schema
	document any
}

// NewSchema compiles the JSON schema in data. It fails when data is not a valid schema.
func NewSchema(data []byte) (*Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	compiled, err := compiler.Compile(schemaURL)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return &Schema{compiled: compiled, document: document}, nil
}

// MustSchema compiles an embedded schema as NewSchema does, but panics on an error.
func MustSchema(data []byte) *Schema {
	schema, err := NewSchema(data)
	if err != nil {
		panic(err)
	}
	return schema
}

// Check validates data against the schema. It fails with kind Invalid, naming source and
// each field that breaks the schema, or the first field that occurs twice.
func (s *Schema) Check(source string, data []byte) error {
	data = TrimByteOrderMark(data)
	if err := CheckDuplicateKeys(source, data); err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return syntaxError(source, data, err)
	}
	err = s.compiled.Validate(document)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", source, err)
	}
	return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s", source, s.describe(invalid))
}

// Decode validates data against the schema and decodes it into the value that v points to.
// It fails as Check does, and on an error leaves the value unchanged.
func (s *Schema) Decode(source string, data []byte, v any) error {
	if err := s.Check(source, data); err != nil {
		return err
	}
	return decodeAtomically(source, TrimByteOrderMark(data), v)
}

// syntaxError returns an error of kind Invalid that names the line of the syntax error err
// when the line is known.
func syntaxError(source string, data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset <= int64(len(data)) {
		line := 1 + bytes.Count(data[:syntax.Offset], []byte("\n"))
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: line %d: %w", source, line, err)
	}
	return apricotwinch.Errorf(apricotwinch.Invalid, "%s: not a JSON document: %w", source, err)
}
