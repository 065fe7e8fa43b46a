package connector

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"apricotwinch"
)

// MaxMessageBytes is the greatest length of one encoded message.
const MaxMessageBytes = 8 << 20

const lengthBytes = 4

// codec frames JSON messages with a length of four bytes in network order.
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
	frame := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
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
	if length > MaxMessageBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "message of %d bytes is over %d", length, MaxMessageBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
