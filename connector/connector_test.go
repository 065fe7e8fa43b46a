package connector_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/messenger"
)

type message struct{ Text string }

func serve(t *testing.T, security connector.Security) string {
	t.Helper()
	return serveCounted(t, security, metrics.NewRegistry())
}

func serveCounted(t *testing.T, security connector.Security, registry metrics.Registry) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := connector.Table{
		"echo":                 connector.Handle(func(_ context.Context, m message) (message, error) { return m, nil }),
		messenger.MethodReport: connector.Handle(func(context.Context, messenger.Report) (message, error) { return message{}, nil }),
		"fail": connector.Handle(func(_ context.Context, m message) (message, error) {
			return m, apricotwinch.Errorf(apricotwinch.NoCapacity, "full")
		}),
		"panic": connector.Handle(func(context.Context, message) (message, error) { panic("index out of range") }),
		"hang": connector.Handle(func(ctx context.Context, m message) (message, error) {
			<-ctx.Done()
			return m, ctx.Err()
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := connector.NewServer(table, security, registry, 10)
	go func() { defer close(done); server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func TestCallKinds(t *testing.T) {
	tests := []struct {
		name      string
		serverKey string
		clientKey string
		method    string
		timeout   time.Duration
		want      apricotwinch.Kind
	}{
		{name: "answered", method: "echo", timeout: time.Minute},
		{name: "keyed", serverKey: "k", clientKey: "k", method: "echo", timeout: time.Minute},
		{name: "wrong key", serverKey: "k", clientKey: "x", method: "echo", timeout: time.Minute, want: apricotwinch.Unreachable},
		{name: "no key", serverKey: "k", method: "echo", timeout: time.Minute, want: apricotwinch.Unauthenticated},
		{name: "remote kind", method: "fail", timeout: time.Minute, want: apricotwinch.NoCapacity},
		{name: "panic of the handler", method: "panic", timeout: time.Minute, want: apricotwinch.Internal},
		{name: "no method", method: "none", timeout: time.Minute, want: apricotwinch.NotFound},
		{name: "timeout", method: "hang", timeout: 50 * time.Millisecond, want: apricotwinch.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, connector.NewSecurity(nil, nil, []byte(test.serverKey)))
			pool := connector.NewPool(connector.NewSecurity(nil, nil, []byte(test.clientKey)), metrics.NewRegistry())
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			var got message
			err := pool.Call(ctx, address, test.method, message{Text: "hello"}, &got)
			if diff := cmp.Diff(test.want, apricotwinch.KindOf(err)); diff != "" {
				t.Fatalf("kind (-want +got):\n%s%v", diff, err)
			}
			if diff := cmp.Diff("hello", got.Text); err == nil && diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCallUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	err = pool.Call(context.Background(), address, "echo", message{}, &message{})
	if diff := cmp.Diff(apricotwinch.Unreachable, apricotwinch.KindOf(err)); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
}

// TestSetSource checks that connections leave from the source address, and that a bad one is named.
func TestSetSource(t *testing.T) {
	const source = "127.0.0.2"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	defer pool.Close()
	if err := pool.SetSource(source); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() { _ = pool.Call(ctx, listener.Addr().String(), "echo", message{}, &message{}) })
	defer calls.Wait()
	defer cancel()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if diff := cmp.Diff(source, conn.RemoteAddr().(*net.TCPAddr).IP.String()); diff != "" {
		t.Errorf("source (-want +got):\n%s", diff)
	}
	err = pool.SetSource("host.example")
	if diff := cmp.Diff(`source: "host.example" is not an IP address`, fmt.Sprint(err)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func TestCheckListen(t *testing.T) {
	if err := (connector.Security{}).CheckListen("127.0.0.1:0"); err != nil {
		t.Errorf("loopback refused: %v", err)
	}
	if err := (connector.Security{}).CheckListen("10.0.0.1:0"); apricotwinch.KindOf(err) != apricotwinch.Invalid {
		t.Errorf("open address without a key: %v", err)
	}
	if err := connector.NewSecurity(nil, nil, []byte("k")).CheckListen("10.0.0.1:0"); err != nil {
		t.Errorf("open address with a key: %v", err)
	}
}

// TestCallsAreCountedByMethod checks the counters from which an operator tells which messages load
// a process.
func TestCallsAreCountedByMethod(t *testing.T) {
	registry := metrics.NewRegistry()
	address := serveCounted(t, connector.Security{}, registry)
	pool := connector.NewPool(connector.Security{}, registry)
	defer pool.Close()
	for _, method := range []string{"echo", "echo", "fail"} {
		var got message
		if err := pool.Call(context.Background(), address, method, message{}, &got); err != nil && method != "fail" {
			t.Fatal(err)
		}
	}
	got := map[string]int64{}
	for _, name := range []string{"called.echo", "called.fail", "called.panic", "handled.echo", "handled.fail", "handled.panic"} {
		got[name] = metrics.GetOrRegisterCounter("connector."+name, registry).Count()
	}
	want := map[string]int64{"called.echo": 2, "called.fail": 1, "called.panic": 0, "handled.echo": 2, "handled.fail": 1, "handled.panic": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}
