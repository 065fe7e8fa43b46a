// Package loader reads JSON settings and checks them against a JSON schema; its
// errors name the source, the field and what the field means.
package loader

import (
	"encoding/json"
	"os"
	"reflect"

	"apricotwinch"
)

// MaxFileBytes is the greatest length of a settings file.
const MaxFileBytes = 16 << 20

// Load reads the JSON file at path, checks it against schema and decodes it into
// the value that v points to. It fails with kind NotFound when the file can't be read, and with kind
// Invalid, naming path and field, when it breaks the schema; v is then untouched.
func Load(path string, schema *Schema, v any) error {
	info, err := os.Stat(path)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.NotFound, "settings file: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "%s: %d bytes is over %d", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.NotFound, "settings file: %w", err)
	}
	return schema.Decode(path, data, v)
}

// decodeWhole decodes data into v, or leaves v as it was.
func decodeWhole(source string, data []byte, v any) error {
	target := reflect.ValueOf(v).Elem()
	decoded := reflect.New(target.Type())
	decoded.Elem().Set(target)
	if err := json.Unmarshal(data, decoded.Interface()); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", source, err)
	}
	target.Set(decoded.Elem())
	return nil
}
