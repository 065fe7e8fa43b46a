package connector_test

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// TestLongMessageIsCompressed checks that a message of many similar rows takes at most a fifth of
// its length on the wire and arrives unchanged.
func TestLongMessageIsCompressed(t *testing.T) {
	registry := metrics.NewRegistry()
	address := serve(t, connector.Security{})
	pool := connector.NewPool(connector.Security{}, registry)
	defer pool.Close()
	text := strings.Repeat(`{"run":{"run":1,"task":{"workload":"c0d967886e9f45a2"}},"phase":"running"}`, 100)
	var got message
	if err := pool.Call(context.Background(), address, "echo", message{Text: text}, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(text, got.Text); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	for _, name := range []string{"connector.bytes_written", "connector.bytes_read"} {
		if n := metrics.GetOrRegisterCounter(name, registry).Count(); n == 0 || n > int64(len(text)/5) {
			t.Errorf("%s: %d for a message of %d bytes", name, n, len(text))
		}
	}
}

// TestMalformedFrameClosesConnection checks that a frame that can't be decoded, or that exceeds the
// limit once decompressed, closes its own connection and doesn't affect other connections.
func TestMalformedFrameClosesConnection(t *testing.T) {
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, connector.MaxMessageBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	frame := func(length uint32, body []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), body...)
	}
	tests := []struct {
		name  string
		frame []byte
	}{
		{name: "too long once decompressed", frame: frame(1<<31|uint32(bomb.Len()), bomb.Bytes())},
		{name: "not compressed", frame: frame(1<<31|5, []byte("hello"))},
		{name: "too long", frame: frame(connector.MaxMessageBytes+1, nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, connector.Security{})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(test.frame); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			if n, err := conn.Read(make([]byte, 1)); err == nil {
				t.Errorf("read %d bytes, want a closed connection", n)
			}
			pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
			defer pool.Close()
			var got message
			if err := pool.Call(context.Background(), address, "echo", message{Text: "hello"}, &got); err != nil || got.Text != "hello" {
				t.Errorf("another connection: %q, %v", got.Text, err)
			}
		})
	}
}

// TestReportIsDecodedOnce guards against an overloaded owner: each run that a report lists cost it
// several decodes and encodes. Encoding and decoding a run once is what a call may allocate for it.
func TestReportIsDecodedOnce(t *testing.T) {
	const runs = 20
	address := serve(t, connector.Security{})
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	defer pool.Close()
	allocations := func(report messenger.Report) (once, call float64) {
		once = testing.AllocsPerRun(20, func() {
			var decoded messenger.Report
			data, err := json.Marshal(report)
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(data, &decoded); err != nil {
				t.Fatal(err)
			}
		})
		call = testing.AllocsPerRun(20, func() {
			var reply message
			if err := pool.Call(context.Background(), address, messenger.MethodReport, report, &reply); err != nil {
				t.Fatal(err)
			}
		})
		return once, call
	}
	emptyOnce, emptyCall := allocations(benchReport(0))
	once, call := allocations(benchReport(runs))
	const slack = 50 // The buffers of the longer message grow in more steps.
	if got, limit := call-emptyCall, once-emptyOnce+slack; got > limit {
		t.Errorf("a call allocates %.0f times more for %d runs, want at most %.0f", got, runs, limit)
	}
}

// TestFramesHoldJSONRPC checks what a peer that speaks JSON-RPC 2.0 reads in reply to its frames.
func TestFramesHoldJSONRPC(t *testing.T) {
	tests := []struct{ name, request, want string }{
		{
			name:    "result",
			request: `{"method":"echo","id":7,"params":{"Text":"a < b"},"jsonrpc":"2.0"}`,
			want:    `{"jsonrpc":"2.0","id":7,"result":{"Text":"a \u003c b"}}`,
		},
		{name: "id of a string", request: `{"jsonrpc":"2.0","id":"x","method":"echo","params":{}}`, want: `{"jsonrpc":"2.0","id":"x","result":{"Text":""}}`},
		{name: "no parameters", request: `{"jsonrpc":"2.0","id":0,"method":"echo"}`, want: `{"jsonrpc":"2.0","id":0,"result":{"Text":""}}`},
		{name: "null parameters", request: `{"jsonrpc":"2.0","id":0,"method":"echo","params":null}`, want: `{"jsonrpc":"2.0","id":0,"result":{"Text":""}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", serve(t, connector.Security{}))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(test.request))), test.request...)
			if _, err := conn.Write(frame); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			var length uint32
			if err := binary.Read(conn, binary.BigEndian, &length); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, length)
			if _, err := io.ReadFull(conn, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, string(got)); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}
