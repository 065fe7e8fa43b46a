package crowder_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// TestUntrustedClientsRequestWithoutPause guards against connections that take all places of a listener for as long as they
// send one request after the other, so that nobody else gets one.
func TestUntrustedClientsRequestWithoutPause(t *testing.T) {
	flood := func(conn net.Conn, _ int) {
		// It outlasts the wait for an answer.
		_ = conn.SetDeadline(time.Now().Add(2 * waitLimit))
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		requests := bytes.Repeat(fmt.Appendf(nil, "GET /none HTTP/1.1\r\nHost: %s\r\n\r\n", hostname), 200)
		for send(conn, requests) {
		}
	}
	crowds := []struct {
		name string
		open func(t *testing.T, address string, size int, act func(conn net.Conn, i int)) *crowd
	}{
		{name: "from some addresses", open: newCrowd},
		{name: "from many addresses", open: newScatteredCrowd},
	}
	for _, test := range crowds {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner, other := d.startEntries()
			test.open(t, owner.address(portFront), manyConns, flood)
			eventually(t, "the crowd meets a limit", func() bool { return owner.logs("limits met") })
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
