package crowder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

const (
	// cancelConns is a number of connections that each submit and cancel canceledWorkloads workloads of as many tasks as
	// are accepted.
	cancelConns       = 4
	canceledWorkloads = 30
	canceledTasks     = 20_000
)

// TestUntrustedClientsCancelWorkloads guards against workloads that a client cancels at once, whose tasks take the memory of
// the owner for as long as their state is shown.
func TestUntrustedClientsCancelWorkloads(t *testing.T) {
	d := newDeployment(t)
	owner := d.start("owner", "platform-entry", 1)
	eventually(t, "ownership", owner.owns)
	eventually(t, "readiness", owner.ready)
	newCrowd(t, owner.address(portFront), cancelConns, func(conn net.Conn, i int) {
		answers := bufio.NewReader(conn)
		body := fmt.Sprintf(`{"steps":[{"count":%d,"cpu":100,"mem_mb":10,"estimate_ms":100}]}`, canceledTasks)
		for n := range canceledWorkloads {
			id := i*canceledWorkloads + n
			cancel := fmt.Sprintf("DELETE /urgent/crowd-%d HTTP/1.1\r\nHost: %s\r\n\r\n", id, hostname)
			for _, request := range []string{announced(id, len(body)) + body, cancel} {
				if !send(conn, []byte(request)) {
					return
				}
				answer, err := http.ReadResponse(answers, nil)
				if err != nil {
					return
				}
				answer.Body.Close()
			}
		}
	}).wait()
	eventually(t, "an ordinary request", func() bool { return owner.submits("ordinary", 1000) })
	eventually(t, "readiness", owner.ready)
	owner.checkAlive()
}
