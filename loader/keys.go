package loader

import (
	"bytes"
	"encoding/json"
	"fmt"

	"apricotwinch"
)

// maxNesting bounds the nesting of a document; no schema of this program nests as deep.
const maxNesting = 64

// byteOrderMark is the UTF-8 byte-order mark, which some editors write at the beginning
// of a file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// TrimByteOrderMark returns data without a leading byte-order mark.
func TrimByteOrderMark(data []byte) []byte { return bytes.TrimPrefix(data, byteOrderMark) }

// CheckDuplicateKeys checks the JSON document data for duplicate keys, of which a decoder would
// drop all values but one. It fails with kind Invalid, naming source, line and field, when an
// object has a key twice, and with kind Invalid, naming source and field, when data is nested more
// than 64 levels deep. It ignores syntax errors, which the decoder of the document reports.
func CheckDuplicateKeys(source string, data []byte) error {
	c := &keyChecker{source: source, data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	return c.checkValue("")
}

// keyChecker checks the keys of a document as it reads the document's tokens.
type keyChecker struct {
	source  string
	data    []byte
	decoder *json.Decoder
	depth   int
}

// checkValue checks the next value of the document, which is at path.
func (c *keyChecker) checkValue(path string) error {
	if c.depth++; c.depth > maxNesting {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s: is nested more than %d levels deep", c.source, path, maxNesting)
	}
	defer func() { c.depth-- }()
	token, err := c.decoder.Token()
	if err != nil {
		return nil //nolint:nilerr // The decoder of the document reports the error.
	}
	switch token {
	case json.Delim('{'):
		return c.checkObject(path)
	case json.Delim('['):
		return c.checkArray(path)
	}
	return nil
}

func (c *keyChecker) checkObject(path string) error {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		key, ok := token.(string)
		if err != nil || !ok {
			return nil //nolint:nilerr // The decoder of the document reports the error.
		}
		if seen[key] {
			line := 1 + bytes.Count(c.data[:c.decoder.InputOffset()], []byte("\n"))
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: line %d: %s/%s: is there twice", c.source, line, path, key)
		}
		seen[key] = true
		if err := c.checkValue(path + "/" + key); err != nil {
			return err
		}
	}
	return c.readEnd()
}

func (c *keyChecker) checkArray(path string) error {
	for i := 0; c.decoder.More(); i++ {
		if err := c.checkValue(fmt.Sprint(path, "/", i)); err != nil {
			return err
		}
	}
	return c.readEnd()
}

// readEnd reads the closing delimiter of an object or array.
func (c *keyChecker) readEnd() error {
	_, _ = c.decoder.Token() // The decoder of the document reports an error.
	return nil
}
