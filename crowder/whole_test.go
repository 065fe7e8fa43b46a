package crowder_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

const (
	// wholeConns is a number of connections that each send wholeBodies large bodies, one after the other. Their sum is
	// over limits.memory_mb.
	wholeConns  = 16
	wholeBodies = 60
)

// TestUntrustedClientsSubmitLargeWorkloads guards against workloads of large bodies, which arrive whole and are accepted, that
// take the memory of the owner, or that of the next one.
func TestUntrustedClientsSubmitLargeWorkloads(t *testing.T) {
	d := newDeployment(t)
	owner, other := d.startEntries()
	newCrowd(t, owner.address(portFront), wholeConns, func(conn net.Conn, i int) {
		body := largeWorkload(configuredBodyBytes - 16<<10)
		for n := range wholeBodies {
			if !send(conn, append([]byte(announced(i*wholeBodies+n, len(body))), body...)) {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		}
	}).wait()
	eventually(t, "an ordinary request", func() bool { return owner.submits("ordinary", 1000) })
	eventually(t, "readiness", owner.ready)
	owner.checkAlive()
	owner.kill()
	eventually(t, "takeover", other.owns)
	eventually(t, "an ordinary request after the takeover", func() bool { return other.submits("later", 1000) })
	other.checkAlive()
}

// largeWorkload returns a workload of one task with a long text, of the given length in all.
func largeWorkload(length int) []byte {
	const start, end = `{"steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}],"task_spec":"`, `"}`
	return append(append([]byte(start), bytes.Repeat([]byte("x"), length-len(start)-len(end))...), end...)
}
