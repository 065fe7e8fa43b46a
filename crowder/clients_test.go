package crowder_test

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Sizes of what a crowd sends.
const (
	// largeBody is two bytes less than the greatest body that an entry reads.
	largeBody = 1<<20 - 2
	// tinyChunks is the number of chunks of one byte that a connection sends.
	tinyChunks = 700_000
	// manyConns is the number of connections with large bodies. Their sum is over limits.memory_mb.
	manyConns = 150
	// idleConns is a number of connections beyond what limits.max_fds leaves for sockets.
	idleConns = 300
	// bombs is the number of messages between processes that inflate to bombBytes each.
	bombs     = 40
	bombBytes = 8<<20 - 1024
)

// head returns the head of a submission with the given further header lines.
func head(i int, lines ...string) string {
	return fmt.Sprintf("POST /urgent/crowd-%d HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", i, hostname, strings.Join(lines, "\r\n"))
}

// announced returns the head of a submission with a body of the given length.
func announced(i, length int) string { return head(i, fmt.Sprint("Content-Length: ", length)) }

// send writes data and reports whether it was sent.
func send(conn net.Conn, data []byte) bool {
	_, err := conn.Write(data)
	return err == nil
}

// filler returns the beginning of a workload, of the given length.
func filler(length int) []byte {
	data := bytes.Repeat([]byte("x"), length)
	copy(data, `{"task_spec":"`)
	return data
}

// act is a way in which a crowd of a size misbehaves: what it does on each of its connections, at a port of an agent if port
// is set.
type act struct {
	name string
	port int
	size int
	act  func(conn net.Conn, i int)
}

// acts are the ways in which the clients of an entry misbehave. Each names the failure that it guards
// against.
var acts = []act{
	{
		// Bodies that are held whole until their last byte take the memory of the process.
		name: "large bodies short of their end", size: manyConns,
		act: func(conn net.Conn, i int) { send(conn, append([]byte(announced(i, 1<<20)), filler(largeBody)...)) },
	},
	{
		// As above, with buffers that grow with the pieces.
		name: "large bodies in pieces short of their end", size: manyConns,
		act: func(conn net.Conn, i int) {
			const pieces = 16
			send(conn, []byte(announced(i, 1<<20)))
			for data := filler(largeBody); len(data) > 0; {
				piece := data[:min(len(data), largeBody/pieces)]
				if !send(conn, piece) {
					return
				}
				data = data[len(piece):]
				time.Sleep(20 * time.Millisecond)
			}
		},
	},
	{
		// Bodies without an announced length can't be refused by it.
		name: "large chunks short of their end", size: manyConns,
		act: func(conn net.Conn, i int) {
			const chunk = 64 << 10
			send(conn, []byte(head(i, "Transfer-Encoding: chunked")))
			for data := filler(largeBody); len(data) > 0; {
				piece := data[:min(len(data), chunk)]
				if !send(conn, fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)) {
					return
				}
				data = data[len(piece):]
			}
		},
	},
	{
		// Chunks of one byte cost processor time, too: the process must not stop to serve others.
		name: "chunks of one byte", size: manyConns,
		act: func(conn net.Conn, i int) {
			const batch = 10_000
			send(conn, []byte(head(i, "Transfer-Encoding: chunked")))
			for range tinyChunks / batch {
				if !send(conn, bytes.Repeat([]byte("1\r\nx\r\n"), batch)) {
					return
				}
			}
		},
	},
	{
		// Bodies over the limit are refused by what they announce.
		name: "far too large bodies, announced", size: manyConns,
		act: func(conn net.Conn, i int) {
			send(conn, []byte(announced(i, 1<<30)))
			for data := filler(64 << 10); send(conn, data); {
				time.Sleep(time.Millisecond)
			}
		},
	},
	{
		// Bodies over the limit that announce no length are cut.
		name: "far too large bodies, not announced", size: manyConns,
		act: func(conn net.Conn, i int) {
			send(conn, []byte(head(i, "Transfer-Encoding: chunked")))
			for data := fmt.Appendf(nil, "%x\r\n%s\r\n", 64<<10, filler(64<<10)); send(conn, data); {
				time.Sleep(time.Millisecond)
			}
		},
	},
	{
		// A body that keeps coming slowly must not be held for as long as its sender likes.
		name: "bodies that trickle", size: manyConns,
		act: func(conn net.Conn, i int) {
			send(conn, append([]byte(announced(i, 1<<20)), filler(largeBody-100)...))
			for range 30 {
				if !send(conn, []byte("x")) {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
	},
	{
		// Headers are read into memory, too.
		name: "headers without end", size: manyConns,
		act: func(conn net.Conn, _ int) {
			send(conn, fmt.Appendf(nil, "GET /urgent/ HTTP/1.1\r\nHost: %s\r\n", hostname))
			for n := range 1000 {
				if !send(conn, fmt.Appendf(nil, "X-%d: %s\r\n", n, bytes.Repeat([]byte("x"), 1000))) {
					return
				}
			}
		},
	},
	{
		// Connections that have got their answer and stay open take descriptors and buffers.
		name: "idle connections", size: idleConns,
		act: func(conn net.Conn, _ int) {
			send(conn, fmt.Appendf(nil, "GET /none HTTP/1.1\r\nHost: %s\r\n\r\n", hostname))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		},
	},
	{
		// A small body can describe a workload that takes far more memory than the body.
		name: "bodies of many small steps", size: 24,
		act: func(conn net.Conn, i int) {
			body := []byte(`{"steps":[` + strings.Repeat(`{"count":1},`, 80_000) + `{"count":0}]}`)
			send(conn, append([]byte(announced(i, len(body))), body...))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		},
	},
	{
		// An element of a list can take many times the memory of its text.
		name: "bodies of null steps", size: 24,
		act: func(conn net.Conn, i int) {
			body := []byte(`{"steps":[null` + strings.Repeat(",null", 200_000) + `]}`)
			send(conn, append([]byte(announced(i, len(body))), body...))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		},
	},
	{
		// A client that sends requests and reads no answer must not hold what it is owed.
		name: "requests whose answers nobody reads", size: manyConns,
		act: func(conn net.Conn, i int) {
			request := bytes.Repeat(append([]byte(announced(i, 2)), "{}"...), 1000)
			for range 20 {
				if !send(conn, request) {
					return
				}
			}
		},
	},
}

// TestUntrustedClientsOfOwner lets crowds misbehave at the owner, while another entry waits for its fall.
func TestUntrustedClientsOfOwner(t *testing.T) {
	for _, test := range acts {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner, other := d.startEntries()
			if !owner.submits("calm", 200<<10) {
				t.Error("a body within the limits is refused in calm")
			}
			newCrowd(t, owner.address(portFront), test.size, test.act).wait()
			eventually(t, "an ordinary request", func() bool { return owner.submits("ordinary", 1000) })
			eventually(t, "readiness", owner.ready)
			if !owner.owns() {
				t.Errorf("the ownership moved\n%s", owner.logTail())
			}
			owner.checkAlive()
			other.checkAlive()
		})
	}
}

// TestUntrustedClientsDuringTakeover guards against an entry that a flood ends, or keeps from taking over, when
// the owner has just been lost.
func TestUntrustedClientsDuringTakeover(t *testing.T) {
	d := newDeployment(t)
	owner, other := d.startEntries()
	c := newCrowd(t, other.address(portFront), manyConns, actNamed("large bodies short of their end"))
	owner.kill()
	c.wait()
	eventually(t, "takeover", other.owns)
	eventually(t, "an ordinary request", func() bool { return other.submits("ordinary", 1000) })
	if !other.owns() {
		t.Errorf("the ownership moved\n%s", other.logTail())
	}
	other.checkAlive()
}

// bomb returns a frame, in the format of the messages between processes, of a message that inflates to
// bombBytes.
func bomb(t *testing.T) []byte {
	t.Helper()
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(writer, `{"jsonrpc":"2.0","id":1,"method":"none","params":"%s"}`, bytes.Repeat([]byte("x"), bombBytes)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	const compressedBit = 1 << 31
	return append(binary.BigEndian.AppendUint32(nil, uint32(compressed.Len())|compressedBit), compressed.Bytes()...)
}

// unfinished returns the beginning of a frame of a message of bombBytes, without its last byte.
func unfinished() []byte {
	return append(binary.BigEndian.AppendUint32(nil, bombBytes), make([]byte, bombBytes-1)...)
}

// TestUntrustedClientsOfPeerPort guards against messages between processes that take the memory of one, those that
// inflate to far more than was sent and long ones whose end never comes, and against connections that take
// the descriptors.
func TestUntrustedClientsOfPeerPort(t *testing.T) {
	frames := []struct {
		name  string
		size  int
		frame []byte
		wait  time.Duration
	}{
		{name: "compressed bombs", size: bombs, frame: bytes.Repeat(bomb(t), 3), wait: 3 * time.Second},
		{name: "long messages short of their end", size: bombs, frame: unfinished()},
		{name: "idle connections", size: idleConns, wait: time.Second},
	}
	for _, test := range frames {
		act := func(conn net.Conn, _ int) {
			if !send(conn, test.frame) {
				return
			}
			// Waits until the messages are answered, or the connection is closed or has been counted.
			_ = conn.SetReadDeadline(time.Now().Add(test.wait))
			_, _ = io.Copy(io.Discard, conn)
		}
		t.Run("entry, "+test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner, other := d.startEntries()
			newCrowd(t, owner.address(portPeer), test.size, act).wait()
			eventually(t, "an ordinary request", func() bool { return owner.submits("ordinary", 1000) })
			eventually(t, "a forwarded request", func() bool { return other.submits("forwarded", 1000) })
			if !owner.owns() {
				t.Errorf("the ownership moved\n%s", owner.logTail())
			}
			owner.checkAlive()
		})
		t.Run("agent, "+test.name, func(t *testing.T) {
			d := newDeployment(t)
			agent := d.start("agent", "platform-agent", 101)
			eventually(t, "a heartbeat", agent.heartbeats)
			newCrowd(t, agent.address(portPeer), test.size, act).wait()
			eventually(t, "a heartbeat", agent.heartbeats)
			agent.checkAlive()
		})
	}
}

// TestUntrustedClientsOfReadiness guards against connections for readiness checks or metrics that take the
// descriptors or the memory of an entry, or keep the load balancer's checks from being answered.
func TestUntrustedClientsOfReadiness(t *testing.T) {
	tests := []struct {
		name string
		port int
		size int
		act  func(conn net.Conn, i int)
	}{
		{name: "idle connections", port: portReady, size: idleConns, act: actNamed("idle connections")},
		{name: "headers without end", port: portReady, size: manyConns, act: actNamed("headers without end")},
		{name: "idle connections for metrics", port: portMetrics, size: idleConns, act: actNamed("idle connections")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner := d.start("owner", "platform-entry", 1)
			eventually(t, "ownership", owner.owns)
			eventually(t, "readiness", owner.ready)
			newCrowd(t, owner.address(test.port), test.size, test.act).wait()
			eventually(t, "readiness", owner.ready)
			eventually(t, "an ordinary request", func() bool { return owner.submits("ordinary", 1000) })
			owner.checkAlive()
		})
	}
}

// actNamed returns the act with the given name.
func actNamed(name string) func(conn net.Conn, i int) {
	for _, a := range acts {
		if a.name == name {
			return a.act
		}
	}
	panic("no act " + name)
}

// heartbeatHead returns the head of a heartbeat with a further header line.
func heartbeatHead(line string) string {
	return fmt.Sprintf("PUT /apricotwinch/instances/crowd HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", line)
}

// agentActs are the ways in which the clients of an agent misbehave.
var agentActs = []act{
	{
		name: "large heartbeats short of their end", port: portControl, size: manyConns,
		act: func(conn net.Conn, _ int) {
			send(conn, append([]byte(heartbeatHead(fmt.Sprint("Content-Length: ", 1<<20))), filler(largeBody)...))
		},
	},
	{
		name: "idle connections for heartbeats", port: portControl, size: idleConns,
		act: func(conn net.Conn, _ int) {
			send(conn, []byte("GET /none HTTP/1.1\r\nHost: a\r\n\r\n"))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		},
	},
	{
		name: "headers without end for metrics", port: portMetrics, size: manyConns,
		act: actNamed("headers without end"),
	},
}

// TestUntrustedClientsOfAgent guards against heartbeats and requests for metrics that take the memory or the
// descriptors of an agent.
func TestUntrustedClientsOfAgent(t *testing.T) {
	for _, test := range agentActs {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			agent := d.start("agent", "platform-agent", 101)
			eventually(t, "a heartbeat", agent.heartbeats)
			newCrowd(t, agent.address(test.port), test.size, test.act).wait()
			eventually(t, "a heartbeat", agent.heartbeats)
			agent.checkAlive()
		})
	}
}
