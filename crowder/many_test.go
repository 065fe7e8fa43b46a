package crowder_test

import (
	"io"
	"net"
	"testing"
	"time"
)

const (
	// legalBody is two bytes less than the greatest body that the configuration allows.
	legalBody = configuredBodyBytes - 2
	// smallBody is a body of a size that large ones leave room for.
	smallBody = 16<<10 - 2
)

// scatteredActs are the ways in which clients misbehave that each come from an address of their own, so that none
// holds more than a small share. Each names the failure that it guards against.
var scatteredActs = []struct {
	name string
	act  func(conn net.Conn, i int)
}{
	{
		// Many shares that are each small take the memory together.
		name: "large bodies short of their end", act: actNamed("large bodies short of their end"),
	},
	{
		name: "large chunks short of their end", act: actNamed("large chunks short of their end"),
	},
	{
		name: "chunks of one byte", act: actNamed("chunks of one byte"),
	},
	{
		// Bodies within the configured limit can't be refused for their length.
		name: "legal bodies short of their end",
		act: func(conn net.Conn, i int) {
			send(conn, append([]byte(announced(i, configuredBodyBytes)), filler(legalBody)...))
		},
	},
	{
		// The memory that is kept for small bodies must not be all taken by them.
		name: "small bodies short of their end",
		act: func(conn net.Conn, i int) {
			send(conn, append([]byte(announced(i, smallBody+2)), filler(smallBody)...))
		},
	},
	{
		// Most stop, and some end: those that end are carried out beside the others.
		name: "legal bodies of which some end",
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
		name: "idle connections", act: actNamed("idle connections"),
	},
	{
		name: "requests whose answers nobody reads", act: actNamed("requests whose answers nobody reads"),
	},
	{
		name: "nothing",
		act:  func(net.Conn, int) {},
	},
}

// TestUntrustedClientsFromManyAddresses lets clients misbehave of which each has an address of its own.
func TestUntrustedClientsFromManyAddresses(t *testing.T) {
	for _, test := range scatteredActs {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			owner := d.start("owner", "platform-entry", 1)
			eventually(t, "ownership", owner.owns)
			eventually(t, "readiness", owner.ready)
			other := d.start("other", "platform-entry", 2)
			eventually(t, "readiness of the other entry", other.ready)
			newScatteredCrowd(t, owner.address(portFront), manyConns, test.act).wait()
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
