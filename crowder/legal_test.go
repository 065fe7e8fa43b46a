package crowder_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// paddedWorkload returns a workload of one task, with white space up to a length.
func paddedWorkload(length int) []byte {
	const start, end = `{"steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}],"task_spec":"x"`, "}"
	return []byte(start + strings.Repeat(" ", length-len(start)-len(end)) + end)
}

// TestUntrustedClientsLeaveLegalRequests guards against limits that a single request within the documented ones meets
// in calm, however its body is sent.
func TestUntrustedClientsLeaveLegalRequests(t *testing.T) {
	d := newDeployment(t)
	owner := d.start("owner", "platform-entry", 1)
	eventually(t, "ownership", owner.owns)
	eventually(t, "readiness", owner.ready)
	body := paddedWorkload(configuredBodyBytes)
	tests := []struct {
		name string
		// chunk is the length of a chunk; 0 for an announced length.
		chunk int
	}{
		{name: "announced"},
		{name: "one chunk", chunk: configuredBodyBytes},
		{name: "chunks of 4 KiB", chunk: 4 << 10},
		{name: "chunks of one byte", chunk: 1},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := owner.dial(portFront)
			defer conn.Close()
			if test.chunk == 0 {
				send(conn, append([]byte(announced(1000+i, len(body))), body...))
			} else {
				var data bytes.Buffer
				data.WriteString(head(1000+i, "Transfer-Encoding: chunked"))
				for rest := body; len(rest) > 0; {
					piece := rest[:min(len(rest), test.chunk)]
					fmt.Fprintf(&data, "%x\r\n%s\r\n", len(piece), piece)
					rest = rest[len(piece):]
				}
				data.WriteString("0\r\n\r\n")
				send(conn, data.Bytes())
			}
			if status := statusOf(t, conn); status != http.StatusOK {
				t.Errorf("status %d, want %d", status, http.StatusOK)
			}
		})
	}
	owner.checkAlive()
}
