package interrupter_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"apricotwinch/standin/interrupter"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a proxy in front of a target that echoes lines and collects them.
type fixture struct {
	*interrupter.Proxy
	clock *clockwork.FakeClock
	lines chan string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{clock: clockwork.NewFakeClock(), lines: make(chan string, 100)}
	go f.serve(listener)
	f.Proxy, err = interrupter.New(listener.Addr().String(), f.clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		listener.Close()
	})
	return f
}

func (f *fixture) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				line, err := reader.ReadString('\n')
				if line != "" {
					f.lines <- line
				}
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, line)
			}
		}()
	}
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
}

func receive(conn net.Conn) (string, error) {
	line := make([]byte, 4)
	n, err := io.ReadFull(conn, line)
	return string(line[:n]), err
}

func (f *fixture) checkEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	send(t, conn, "one\n")
	got, err := receive(conn)
	if diff := cmp.Diff("one\n", got); diff != "" {
		t.Errorf("echo (-want +got):\n%s%v", diff, err)
	}
	<-f.lines
}

func TestCut(t *testing.T) {
	f := newFixture(t)
	conn := f.dial(t)
	f.checkEcho(t, conn)
	f.Cut()
	if _, err := receive(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after the cut: %v", err)
	}
	f.checkEcho(t, f.dial(t))
}

func TestRefuse(t *testing.T) {
	f := newFixture(t)
	conn := f.dial(t)
	f.checkEcho(t, conn)
	f.Refuse()
	if _, err := net.Dial("tcp", f.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial while refusing: %v", err)
	}
	f.checkEcho(t, conn)
	if err := f.Accept(); err != nil {
		t.Fatal(err)
	}
	f.checkEcho(t, f.dial(t))
}

func TestHoldStopsOneDirection(t *testing.T) {
	f := newFixture(t)
	conn := f.dial(t)
	f.Set(interrupter.ToCaller, interrupter.Faults{Hold: true})
	send(t, conn, "one\n")
	if diff := cmp.Diff("one\n", <-f.lines); diff != "" {
		t.Errorf("line at the target (-want +got):\n%s", diff)
	}
	f.Partition()
	send(t, conn, "two\n")
	if len(f.lines) != 0 {
		t.Error("a line got through the partition")
	}
	f.Heal()
	for _, want := range []string{"one\n", "two\n"} {
		got, err := receive(conn)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("after Heal (-want +got):\n%s%v", diff, err)
		}
	}
}

// TestPartitionFromCutsOffSomeCallers checks that open and new connections of the callers that are cut
// off carry no data, and those of others do.
func TestPartitionFromCutsOffSomeCallers(t *testing.T) {
	const cutOff = "127.0.0.2"
	f := newFixture(t)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(cutOff)}}
	conn, err := dialer.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f.checkEcho(t, conn)
	f.PartitionFrom(func(ip string) bool { return ip == cutOff })
	send(t, conn, "two\n")
	f.checkEcho(t, f.dial(t))
	if len(f.lines) != 0 {
		t.Error("a line got through the partition")
	}
	f.Heal()
	got, err := receive(conn)
	if diff := cmp.Diff("two\n", got); diff != "" {
		t.Errorf("after Heal (-want +got):\n%s%v", diff, err)
	}
}

func TestResetChunksLosesResponse(t *testing.T) {
	f := newFixture(t)
	conn := f.dial(t)
	f.Set(interrupter.ToCaller, interrupter.Faults{ResetChunks: 1})
	send(t, conn, "one\n")
	if _, err := receive(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v", err)
	}
	if diff := cmp.Diff("one\n", <-f.lines); diff != "" {
		t.Errorf("line at the target (-want +got):\n%s", diff)
	}
	f.checkEcho(t, f.dial(t))
}

func TestResetAfterTruncatesRequest(t *testing.T) {
	f := newFixture(t)
	f.Set(interrupter.ToTarget, interrupter.Faults{ResetAfter: 6})
	conn := f.dial(t)
	f.checkEcho(t, conn)
	send(t, conn, "two\n")
	if got, err := receive(conn); err == nil {
		t.Errorf("got %q after the reset", got)
	}
	f.checkEcho(t, f.dial(t))
}

func TestDelayAndBandwidthLimit(t *testing.T) {
	tests := map[string]interrupter.Faults{
		"delay":     {Delay: time.Second},
		"bandwidth": {BytesPerSecond: 4},
		"both":      {Delay: 500 * time.Millisecond, BytesPerSecond: 8},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.Set(interrupter.ToTarget, faults)
			conn := f.dial(t)
			send(t, conn, "one\n")
			if err := f.clock.BlockUntilContext(context.Background(), 1); err != nil {
				t.Fatal(err)
			}
			f.clock.Advance(999 * time.Millisecond)
			if len(f.lines) != 0 {
				t.Error("the line got through too early")
			}
			f.clock.Advance(time.Millisecond)
			if diff := cmp.Diff("one\n", <-f.lines); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
		})
	}
}
