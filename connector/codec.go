package connector

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"apricotwinch"
	"apricotwinch/budgeter"
)

// MaxMessageBytes is the maximum length of one encoded message, in bytes, before compression and
// after decompression.
const MaxMessageBytes = 8 << 20

const (
	lengthBytes = 4
	// compressedBit is set in the length of a frame whose message is compressed.
	compressedBit = 1 << 31
	// minCompressBytes is the length, in bytes, from which a message is compressed. Reports and
	// orders repeat their field names for each run, so they shrink to a third or less.
	minCompressBytes = 512
)

// codec frames the JSON messages of one connection with a four-byte length in network order and
// compresses messages of at least minCompressBytes.
//
// The library decodes and encodes the parameters and the result of a message several times. The
// codec passes it the rest of a message alone. The hooks onSend and onReceive, which the library
// calls around each message, pass these members by.
type codec struct {
	// sent is the message that WriteObject writes next. The library calls onSend and WriteObject
	// under its lock for sending.
	sent envelope
	// payload is the member that ReadObject took out of the last message. The library calls
	// onReceive after ReadObject, from the same goroutine.
	payload json.RawMessage
	// incoming reads messages within the limits.
	incoming incoming
}

// envelope is a request or a response of JSON-RPC 2.0.
type envelope struct {
	Version string          `json:"jsonrpc"`
	ID      *jsonrpc2.ID    `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// placeholder stands for the parameters or the result in what the library decodes.
var placeholder = json.RawMessage("0")

// newConn returns a JSON-RPC connection over conn, which it closes when it ends. budget bounds the messages
// that arrive; it is nil for answers to own calls. newHandler is called with the function that returns, for
// the message that is being handled, the function that releases its part of the budget.
func newConn(ctx context.Context, conn net.Conn, budget *messageBudget, newHandler func(take func() (release func())) jsonrpc2.Handler) *jsonrpc2.Conn {
	c := &codec{incoming: incoming{conn: conn, budget: budget, peer: PeerOf(conn.RemoteAddr().String())}}
	handler := newHandler(c.incoming.take)
	stream := io.ReadWriteCloser(conn)
	if budget != nil {
		stream = &answerConn{Conn: conn, budget: budget}
	}
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(stream, c), handler,
		jsonrpc2.SetLogger(discardLogger{}), jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onReceive))
}

func (c *codec) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.sent = envelope{Version: "2.0"}
	if response != nil {
		c.sent.ID, c.sent.Error = &response.ID, response.Error
		if response.Result != nil && response.Error == nil {
			c.sent.Result = *response.Result
		}
		return
	}
	c.sent.Method = request.Method
	if !request.Notif {
		c.sent.ID = &request.ID
	}
	if request.Params != nil {
		c.sent.Params = *request.Params
	}
}

func (c *codec) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	payload := c.payload
	c.payload = nil
	switch {
	case payload == nil:
	case response != nil:
		response.Result = &payload
		c.incoming.release()
	default:
		request.Params = &payload
	}
}

// WriteObject writes the message that onSend has seen. It fails with kind TooLarge if the message
// exceeds MaxMessageBytes.
func (c *codec) WriteObject(stream io.Writer, _ any) error {
	message := c.sent
	c.sent = envelope{}
	frame, err := message.appendTo(make([]byte, lengthBytes))
	if err != nil {
		return err
	}
	length := len(frame) - lengthBytes
	if length > MaxMessageBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "message of %d bytes exceeds the limit of %d", length, MaxMessageBytes)
	}
	flag := uint32(0)
	if length >= minCompressBytes {
		if frame, err = compress(frame[lengthBytes:]); err != nil {
			return err
		}
		flag = compressedBit
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes)|flag)
	_, err = stream.Write(frame)
	return err
}

// appendTo appends the JSON form of a message to buf. Params and Result are valid JSON already.
func (e envelope) appendTo(buf []byte) ([]byte, error) {
	members := []struct {
		name  string
		value json.RawMessage
	}{{`,"params":`, e.Params}, {`,"result":`, e.Result}}
	e.Params, e.Result = nil, nil
	header, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	buf = append(buf, header[:len(header)-1]...)
	for _, m := range members {
		if m.value != nil {
			buf = append(append(buf, m.name...), m.value...)
		}
	}
	return append(buf, '}'), nil
}

// ReadObject reads one message into v. It fails with kind TooLarge if the message exceeds
// MaxMessageBytes. After an error the library reads no more, so that each connection ends with one and holds
// nothing then but what its handlers took.
func (c *codec) ReadObject(stream *bufio.Reader, v any) (err error) {
	// The last message was handled, or nobody took its part of the budget.
	c.incoming.release()
	defer func() {
		if err != nil {
			c.payload = nil
			c.incoming.release()
		}
	}()
	var frame [lengthBytes]byte
	if _, err := io.ReadFull(stream, frame[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(frame[:])
	compressed := length&compressedBit != 0
	length &^= compressedBit
	if length > MaxMessageBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "message of %d bytes exceeds the limit of %d", length, MaxMessageBytes)
	}
	data, err := c.readData(stream, int(length), compressed)
	if err != nil {
		return err
	}
	var message envelope
	if err := json.Unmarshal(data, &message); err != nil {
		return err
	}
	member := &message.Result
	if message.Method != "" {
		member = &message.Params
	}
	c.payload = *member
	if c.payload != nil {
		*member = placeholder
	}
	header, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return json.Unmarshal(header, v)
}

// readData reads the text of a message, and decompresses it if it is compressed.
func (c *codec) readData(stream *bufio.Reader, length int, compressed bool) ([]byte, error) {
	bounded := boundedConnOf(c.incoming.conn)
	bounded.SetPhase(budgeter.Receiving)
	defer bounded.SetPhase(budgeter.Idle)
	defer c.incoming.releaseWire()
	data, err := c.incoming.readMessage(stream, length)
	if err != nil {
		return nil, err
	}
	if !compressed {
		return data, c.incoming.admit(length)
	}
	guess := min(inflatedFactor*length, MaxMessageBytes)
	if guess <= maxGuess {
		if err := c.incoming.admit(guess); err != nil {
			return nil, err
		}
		inflated, err := decompress(data, guess)
		if apricotwinch.KindOf(err) != apricotwinch.TooLarge {
			return inflated, err
		}
		c.incoming.take()()
	}
	// Inflating twice, the first time without keeping the result, costs less than memory that is held while
	// waiting for more.
	inflated, err := inflatedBytes(data)
	if err != nil {
		return nil, err
	}
	if err := c.incoming.admit(inflated); err != nil {
		return nil, err
	}
	return decompress(data, inflated)
}

const (
	// inflatedFactor is a guess of how many times its length a message inflates to at most: reports and orders
	// shrink to a third, long ones to a fifth.
	inflatedFactor = 8
	// maxGuess is the greatest length, in bytes, that a message is guessed to inflate to. It is measured for
	// longer ones.
	maxGuess = 64 << 10
)

// maxIdleCompressors bounds the compressors, of about 1 MB each, and the decompressors, of about
// 40 KB each, that are kept for reuse. A sync.Pool would be emptied at each garbage collection.
const maxIdleCompressors = 2

var (
	idleCompressors   = make(chan *flate.Writer, maxIdleCompressors)
	idleDecompressors = make(chan io.ReadCloser, maxIdleCompressors)
)

// compress returns a frame, without its length, of the compressed form of data.
func compress(data []byte) ([]byte, error) {
	out := bytes.NewBuffer(make([]byte, lengthBytes, lengthBytes+len(data)/2))
	var writer *flate.Writer
	select {
	case writer = <-idleCompressors:
		writer.Reset(out)
	default:
		var err error
		if writer, err = flate.NewWriter(out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	select {
	case idleCompressors <- writer:
	default:
	}
	return out.Bytes(), nil
}

// decompress decompresses a message that inflates to at most size bytes. It fails with kind TooLarge if the
// result exceeds size, and with kind Invalid if data is not a compressed message.
func decompress(data []byte, size int) ([]byte, error) {
	var inflated []byte
	err := inflate(data, func(reader io.Reader) error {
		buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
		_, err := buffer.ReadFrom(io.LimitReader(reader, int64(size)+1))
		inflated = buffer.Bytes()
		return err
	})
	if err == nil && len(inflated) > size {
		err = apricotwinch.Errorf(apricotwinch.TooLarge, "decompressed message exceeds %d bytes", size)
	}
	return inflated, err
}

// inflatedBytes returns the length that a message inflates to. It fails with kind TooLarge if that exceeds
// MaxMessageBytes, and with kind Invalid if data is not a compressed message.
func inflatedBytes(data []byte) (int, error) {
	var length int64
	err := inflate(data, func(reader io.Reader) (err error) {
		length, err = io.Copy(io.Discard, io.LimitReader(reader, MaxMessageBytes+1))
		return err
	})
	if err == nil && length > MaxMessageBytes {
		err = apricotwinch.Errorf(apricotwinch.TooLarge, "decompressed message exceeds the limit of %d bytes", MaxMessageBytes)
	}
	return int(length), err
}

// inflate calls read with a reader of what data inflates to. It fails with kind Invalid if read does.
func inflate(data []byte, read func(io.Reader) error) error {
	var reader io.ReadCloser
	select {
	case reader = <-idleDecompressors:
		if err := reader.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
			return err
		}
	default:
		reader = flate.NewReader(bytes.NewReader(data))
	}
	defer func() {
		select {
		case idleDecompressors <- reader:
		default:
		}
	}()
	if err := read(reader); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "compressed message: %w", err)
	}
	return nil
}
