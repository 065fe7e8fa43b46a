package loader

import (
	"bytes"
	"encoding/json"
	"fmt"

	"apricotwinch"
)

// maxDepth bounds the nesting that is looked into; no schema here goes as deep.
const maxDepth = 64

// byteOrderMark is what some editors put at the beginning of a file; it is ignored.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Trim returns data without the byte-order mark that it may begin with.
func Trim(data []byte) []byte { return bytes.TrimPrefix(data, byteOrderMark) }

// CheckKeys fails with kind Invalid, naming source, line and field, when an object in
// data has a key twice, as one of the two values would be lost, or data is nested too
// deep. Any other fault of data is left to its decoder.
func CheckKeys(source string, data []byte) error {
	k := &keys{source: source, data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	return k.value("")
}

// keys walks a document.
type keys struct {
	source  string
	data    []byte
	decoder *json.Decoder
	depth   int
}

// value walks one value at a path.
func (k *keys) value(path string) error {
	if k.depth++; k.depth > maxDepth {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s: is nested more than %d deep", k.source, path, maxDepth)
	}
	defer func() { k.depth-- }()
	token, err := k.decoder.Token()
	if err != nil {
		return nil //nolint:nilerr // The decoder of the document names the fault.
	}
	switch token {
	case json.Delim('{'):
		return k.object(path)
	case json.Delim('['):
		return k.array(path)
	}
	return nil
}

func (k *keys) object(path string) error {
	seen := map[string]bool{}
	for k.decoder.More() {
		token, err := k.decoder.Token()
		key, ok := token.(string)
		if err != nil || !ok {
			return nil //nolint:nilerr // As above.
		}
		if seen[key] {
			line := 1 + bytes.Count(k.data[:k.decoder.InputOffset()], []byte("\n"))
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: line %d: %s/%s: is there twice", k.source, line, path, key)
		}
		seen[key] = true
		if err := k.value(path + "/" + key); err != nil {
			return err
		}
	}
	return k.close()
}

func (k *keys) array(path string) error {
	for i := 0; k.decoder.More(); i++ {
		if err := k.value(fmt.Sprint(path, "/", i)); err != nil {
			return err
		}
	}
	return k.close()
}

// close takes the end of an object or array.
func (k *keys) close() error {
	_, _ = k.decoder.Token() // A fault is named by the decoder of the document.
	return nil
}
