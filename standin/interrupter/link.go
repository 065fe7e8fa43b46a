package interrupter

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the largest size of a chunk, in bytes.
	chunkBytes = 32 << 10
	// queuedChunks is the largest number of chunks queued in one direction.
	queuedChunks = 256
)

// link is one proxied connection: the caller's and the one to the target.
type link struct {
	proxy     *Proxy
	caller    net.Conn
	callerIP  string
	target    net.Conn
	wasReset  chan struct{}
	resetOnce func()
}

// chunk is data of one read with the time when it was read; without data it is the end of the
// stream.
type chunk struct {
	data []byte
	at   time.Time
}

func newLink(proxy *Proxy, caller, target net.Conn) *link {
	callerIP := caller.RemoteAddr().(*net.TCPAddr).IP.String()
	l := &link{proxy: proxy, caller: caller, callerIP: callerIP, target: target, wasReset: make(chan struct{})}
	l.resetOnce = sync.OnceFunc(func() {
		close(l.wasReset)
		resetConn(caller)
		resetConn(target)
	})
	return l
}

// reset resets both connections.
func (l *link) reset() { l.resetOnce() }

// run forwards both directions until both end or the link is reset.
func (l *link) run() {
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(ToTarget, l.caller, l.target) })
	directions.Go(func() { l.forward(ToCaller, l.target, l.caller) })
	directions.Wait()
	l.caller.Close()
	l.target.Close()
}

func (l *link) forward(direction Direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { l.read(from, queue) })
	for c := range queue {
		if !l.pass(direction, c, to) {
			l.reset()
			break
		}
	}
	for range queue {
		continue // Drain the queue, so that the reader does not block on it.
	}
	reader.Wait()
}

// read queues the data that arrives from a connection, and closes the queue at the end of the stream.
func (l *link) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			queue <- chunk{data: data[:n], at: l.proxy.clock.Now()}
		}
		if err != nil {
			queue <- chunk{at: l.proxy.clock.Now()}
			return
		}
	}
}

// pass forwards one chunk under the faults in force. It returns false if the link must be reset.
func (l *link) pass(direction Direction, c chunk, to net.Conn) bool {
	if !l.awaitRelease(direction, c) {
		return false
	}
	if len(c.data) == 0 {
		return to.(*net.TCPConn).CloseWrite() == nil
	}
	allowed, reset := l.proxy.allow(direction, len(c.data))
	if _, err := to.Write(c.data[:allowed]); err != nil {
		return false
	}
	if !reset {
		return true
	}
	if direction == ToTarget {
		// A reset discards the data that the target has not read yet. Closing the stream first lets it
		// read the forwarded part.
		_ = to.(*net.TCPConn).CloseWrite()
	}
	return false
}

// awaitRelease waits until the faults in force allow c to be forwarded. It returns false if the link
// is reset meanwhile.
func (l *link) awaitRelease(direction Direction, c chunk) bool {
	for {
		faults, changed := l.proxy.currentFaults(direction, l.callerIP)
		var due <-chan time.Time
		if !faults.Hold {
			remaining := l.remaining(faults, c)
			if remaining <= 0 {
				return true
			}
			due = l.proxy.clock.After(remaining)
		}
		select {
		case <-due:
			return true
		case <-changed:
		case <-l.wasReset:
			return false
		}
	}
}

// remaining returns the time until faults allow c to be forwarded.
func (l *link) remaining(faults Faults, c chunk) time.Duration {
	remaining := faults.Delay - l.proxy.clock.Since(c.at)
	if faults.BytesPerSecond > 0 {
		transfer := time.Duration(len(c.data)) * time.Second / time.Duration(faults.BytesPerSecond)
		remaining = max(remaining, 0) + transfer
	}
	return remaining
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
