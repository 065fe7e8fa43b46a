package crowder_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestUntrustedClientsRefusalIsTrue guards against a refusal that says that a workload wasn't accepted, because the body of
// a repeat can't be received, though an earlier request had it accepted.
func TestUntrustedClientsRefusalIsTrue(t *testing.T) {
	d := newDeployment(t)
	owner, other := d.startEntries()
	if !owner.submits("crowd-1", 1000) {
		t.Fatal("an ordinary request is refused")
	}
	for _, p := range []*process{owner, other} {
		if status := p.submitsHalf(1); status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			t.Errorf("%s: status %d says that an accepted workload never runs", p.ip, status)
		}
		if status := p.submitsHalf(2); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d for a workload that wasn't accepted, want %d", p.ip, status, http.StatusServiceUnavailable)
		}
	}
}

// submitsHalf submits the workload of a number, whose body stops in the middle, and returns the status of the answer.
func (p *process) submitsHalf(i int) int {
	p.t.Helper()
	conn := p.dial(portFront)
	defer conn.Close()
	send(conn, append([]byte(announced(i, 2000)), filler(1000)...))
	return statusOf(p.t, conn)
}

// dial opens a connection to a port from the address of ordinary clients.
func (p *process) dial(port int) net.Conn {
	p.t.Helper()
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	conn, err := dialer.Dial("tcp", p.address(port))
	if err != nil {
		p.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return conn
}

// statusOf returns the status of the answer on a connection.
func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
