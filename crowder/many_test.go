package crowder_test

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

const (
	// legalBody is two bytes less than the greatest body that the configuration allows.
	legalBody = configuredBodyBytes - 2
	// smallBody is a body of a size that large ones leave room for.
	smallBody = 16<<10 - 2
)

// scatteredActs are ways in which clients misbehave, beside acts, that each come from an address of their own, so that none
// holds more than a small share. Each names the failure that it guards against.
var scatteredActs = []act{
	{
		// Bodies within the configured limit can't be refused for their length, and many shares that are each small take
		// the memory together.
		name: "legal bodies short of their end", size: manyConns,
		act: func(conn net.Conn, i int) {
			send(conn, append([]byte(announced(i, configuredBodyBytes)), filler(legalBody)...))
		},
	},
	{
		// The memory that is kept for small bodies must not be all taken by them.
		name: "small bodies short of their end", size: manyConns,
		act: func(conn net.Conn, i int) {
			send(conn, append([]byte(announced(i, smallBody+2)), filler(smallBody)...))
		},
	},
	{
		// Most stop, and some end: those that end are carried out beside the others.
		name: "legal bodies of which some end", size: manyConns,
		act: func(conn net.Conn, i int) {
			body := paddedWorkload(configuredBodyBytes)
			if i%5 > 0 {
				body = body[:legalBody]
			}
			send(conn, append([]byte(announced(i, configuredBodyBytes)), body...))
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.ReadFull(conn, make([]byte, 1))
		},
	},
	{
		// A connection of each of many peers takes all places, so that no peer has more than others.
		name: "connections on which nothing is sent", size: manyConns,
		act: func(net.Conn, int) {},
	},
}

// TestUntrustedClientsFromManyAddresses lets clients misbehave of which each has an address of its own.
func TestUntrustedClientsFromManyAddresses(t *testing.T) {
	for _, test := range slices.Concat(acts, scatteredActs) {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner, other := d.startEntries()
			newScatteredCrowd(t, owner.address(portFront), min(test.size, maxScattered), test.act).wait()
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

// TestUntrustedClientsOfAgentFromManyAddresses is TestUntrustedClientsFromManyAddresses for the heartbeats of an agent.
func TestUntrustedClientsOfAgentFromManyAddresses(t *testing.T) {
	for _, test := range agentActs {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			agent := d.start("agent", "platform-agent", 101)
			eventually(t, "a heartbeat", agent.heartbeats)
			newScatteredCrowd(t, agent.address(test.port), min(test.size, maxScattered), test.act).wait()
			eventually(t, "a heartbeat", agent.heartbeats)
			agent.checkAlive()
		})
	}
}
