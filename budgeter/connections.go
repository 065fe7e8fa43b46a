package budgeter

import (
	"container/list"
	"sync"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// Receiving is the phase in which a request arrives, from the first connection on.
	Receiving Phase = iota
	// Idle is the phase between two requests.
	Idle
	// Serving is the phase in which a request that has arrived whole is carried out.
	Serving
	// Answering is the phase in which an answer is sent.
	Answering
)

// evictionAge is how long a connection has at least been receiving before it yields to a new one. A request
// that arrives in one piece takes milliseconds, also beside a crowd.
const evictionAge = 500 * time.Millisecond

// Connections counts the open connections of a listener, and decides which one yields when there are too
// many: one of the peer that has most connections that are not being served, of these the one that has been
// idle for the longest time, or if none is idle, the one whose request has been arriving, or whose answer has been
// taken, for the longest time and at least evictionAge. If all are busy with one request after the other, one yields of
// the peer that has most, if that is more than an equal part. None yields to a peer that has as many or more.
type Connections struct {
	limit int

	mu    sync.Mutex
	open  int
	peers map[string]*peerConnections
}

// peerConnections holds the connections of a peer by their phase, the longest one in it first.
type peerConnections struct {
	phases [Answering + 1]list.List
	open   int
}

// Connection is an open connection.
type Connection struct {
	peer  string
	phase Phase
	// since is when it entered the phase, and opened when it was opened.
	since, opened time.Time
	element       *list.Element
	// evict closes the connection.
	evict func()
}

// NewConnections returns a count for at most limit connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, peers: map[string]*peerConnections{}}
}

// Open counts a new connection, which is receiving. If there are too many, it chooses another one to
// yield, which is no longer counted, and returns its evict function, which the caller calls. It
// returns false, and counts nothing, if none may yield.
func (c *Connections) Open(now time.Time, peer string, evict func()) (connection *Connection, evicted func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.limit {
		victim := c.choose(now, peer)
		if victim == nil {
			return nil, nil, false
		}
		evicted = victim.evict
		c.remove(victim)
	}
	p := c.peers[peer]
	if p == nil {
		p = &peerConnections{}
		c.peers[peer] = p
	}
	connection = &Connection{peer: peer, since: now, opened: now, evict: evict}
	connection.element = p.phases[Receiving].PushBack(connection)
	p.open++
	c.open++
	return connection, evicted, true
}

// SetPhase records that a connection is in a phase since now. A connection that is no longer counted stays
// so.
func (c *Connections) SetPhase(now time.Time, connection *Connection, phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection.element == nil {
		return
	}
	p := c.peers[connection.peer]
	p.phases[connection.phase].Remove(connection.element)
	connection.phase, connection.since = phase, now
	connection.element = p.phases[phase].PushBack(connection)
}

// Close stops counting a connection. Calls after the first have no effect.
func (c *Connections) Close(connection *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(connection)
}

// Count returns the number of connections that are counted.
func (c *Connections) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *Connections) remove(connection *Connection) {
	if connection.element == nil {
		return
	}
	p := c.peers[connection.peer]
	p.phases[connection.phase].Remove(connection.element)
	connection.element = nil
	c.open--
	if p.open--; p.open == 0 {
		delete(c.peers, connection.peer)
	}
}

// choose returns the connection that yields to a new one of a peer, or nil if none may. A peer's connections
// don't yield to one of a peer that has as many: a crowd must not displace those that have few.
func (c *Connections) choose(now time.Time, newcomer string) *Connection {
	var victim *Connection
	most, held := 0, 0
	if p := c.peers[newcomer]; p != nil {
		held = p.open
	}
	for peer, p := range c.peers {
		candidate, n := p.choose(now)
		if candidate == nil || n < most || peer != newcomer && n <= held {
			continue
		}
		if n > most || candidate.since.Before(victim.since) || candidate.since.Equal(victim.since) && candidate.peer < victim.peer {
			victim, most = candidate, n
		}
	}
	if victim == nil {
		return c.chooseBusy(now, held)
	}
	return victim
}

// chooseBusy returns the connection that yields to a new one of a peer that has held connections, or nil if none may,
// while none is idle or slow. Otherwise those that send one request after the other would keep their places.
func (c *Connections) chooseBusy(now time.Time, held int) *Connection {
	var victim *Connection
	most := max(held+1, c.limit/(len(c.peers)+1))
	for _, p := range c.peers {
		candidate := p.newest(now)
		if candidate == nil || p.open < most || victim != nil && p.open == most && !candidate.yieldsBefore(victim) {
			continue
		}
		victim, most = candidate, p.open
	}
	return victim
}

// newest returns the connection of a peer that was opened last, but at least evictionAge ago, of those that are not being
// served; nil if there is none. Those that a crowd opens are newer than those that others use all the time.
func (p *peerConnections) newest(now time.Time) *Connection {
	var newest *Connection
	for _, phase := range []*list.List{&p.phases[Receiving], &p.phases[Answering]} {
		for e := phase.Front(); e != nil; e = e.Next() {
			candidate := e.Value.(*Connection)
			if now.Sub(candidate.opened) >= evictionAge && (newest == nil || candidate.yieldsBefore(newest)) {
				newest = candidate
			}
		}
	}
	return newest
}

// yieldsBefore reports whether a busy connection yields before another one.
func (c *Connection) yieldsBefore(other *Connection) bool {
	return c.opened.After(other.opened) || c.opened.Equal(other.opened) && c.peer < other.peer
}

// choose returns the connection of a peer that yields first, or nil if none may, and how many of the peer's
// connections a crowd of them may consist of.
func (p *peerConnections) choose(now time.Time) (*Connection, int) {
	idle, receiving, answering := &p.phases[Idle], &p.phases[Receiving], &p.phases[Answering]
	n := idle.Len() + receiving.Len() + answering.Len()
	if first := idle.Front(); first != nil {
		return first.Value.(*Connection), n
	}
	var slowest *Connection
	for _, phase := range []*list.List{receiving, answering} {
		if first := phase.Front(); first != nil {
			if slow := first.Value.(*Connection); slowest == nil || slow.since.Before(slowest.since) {
				slowest = slow
			}
		}
	}
	if slowest == nil || now.Sub(slowest.since) < evictionAge {
		return nil, 0
	}
	return slowest, n
}
