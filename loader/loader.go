// Package loader reads JSON settings and validates them against a JSON schema. Its
// errors name the source and the field, and say what the field means.
package loader

import (
	"encoding/json"
	"os"
	"reflect"

	"apricotwinch"
)

// MaxFileBytes is the greatest length of a settings file in bytes.
const MaxFileBytes = 16 << 20

// Load reads the JSON file at path, validates it against schema and decodes it into the
// value that v points to. It fails with kind NotFound when the file can't be read, TooLarge
// when it is longer than MaxFileBytes, and Invalid, naming path and field, when it breaks
// the schema. On an error it leaves the value unchanged.
func Load(path string, schema *Schema, v any) error {
	info, err := os.Stat(path)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.NotFound, "settings file: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "%s: length of %d bytes exceeds the limit of %d", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.NotFound, "settings file: %w", err)
	}
	return schema.Decode(path, data, v)
}

// decodeAtomically decodes data into the value that v points to. On an error it leaves the
// value unchanged.
func decodeAtomically(source string, data []byte, v any) error {
	target := reflect.ValueOf(v).Elem()
	decoded := reflect.New(target.Type())
	decoded.Elem().Set(target)
	if err := json.Unmarshal(data, decoded.Interface()); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", source, err)
	}
	target.Set(decoded.Elem())
	return nil
}
