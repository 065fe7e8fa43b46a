package connector

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"apricotwinch"
)

// MaxMessageBytes is the greatest length of one encoded message.
const MaxMessageBytes = 8 << 20

const (
	lengthBytes = 4
	// compressedBit in the length of a frame marks a message that is compressed.
	compressedBit = 1 << 31
	// compressFrom is the length, in bytes, from which a message is compressed: reports
	// and orders repeat their field names for each run, and shrink to a third or less.
	compressFrom = 512
)

// codec frames JSON messages with a length of four bytes in network order. Long ones are
// compressed.
type codec struct{}

// WriteObject writes one message; it fails with kind TooLarge over MaxMessageBytes.
func (codec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "message of %d bytes is over %d", len(data), MaxMessageBytes)
	}
	mark := uint32(0)
	if len(data) >= compressFrom {
		if data, err = compress(data); err != nil {
			return err
		}
		mark = compressedBit
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data))|mark)
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject reads one message; it fails with kind TooLarge over MaxMessageBytes.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	var frame [lengthBytes]byte
	if _, err := io.ReadFull(stream, frame[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(frame[:])
	compressed := length&compressedBit != 0
	length &^= compressedBit
	if length > MaxMessageBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "message of %d bytes is over %d", length, MaxMessageBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	if compressed {
		var err error
		if data, err = expand(data); err != nil {
			return err
		}
	}
	return json.Unmarshal(data, v)
}

// compressors are kept, as one takes a megabyte.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return writer
}}

func compress(data []byte) ([]byte, error) {
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	var out bytes.Buffer
	writer.Reset(&out)
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// expanders are kept, as one takes 40 KB.
var expanders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// expand returns a message that was compressed; it fails with kind TooLarge when that is
// over MaxMessageBytes.
func expand(data []byte) ([]byte, error) {
	reader := expanders.Get().(io.ReadCloser)
	defer expanders.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, err
	}
	whole, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes+1))
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "compressed message: %w", err)
	}
	if len(whole) > MaxMessageBytes {
		return nil, apricotwinch.Errorf(apricotwinch.TooLarge, "compressed message is over %d bytes", MaxMessageBytes)
	}
	return whole, nil
}
