package interrupter

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the greatest length of one chunk.
	chunkBytes = 32 << 10
	// queuedChunks bounds the chunks under way in one direction.
	queuedChunks = 256
)

// link is one proxied connection.
type link struct {
	proxy     *Proxy
	caller    net.Conn
	target    net.Conn
	broken    chan struct{}
	interrupt func()
}

// chunk is a piece of the stream with the time it was read; without data it is
// the stream's end.
type chunk struct {
	data []byte
	at   time.Time
}

func newLink(proxy *Proxy, caller, target net.Conn) *link {
	l := &link{proxy: proxy, caller: caller, target: target, broken: make(chan struct{})}
	l.interrupt = sync.OnceFunc(func() {
		close(l.broken)
		resetConn(caller)
		resetConn(target)
	})
	return l
}

// reset resets both sides.
func (l *link) reset() { l.interrupt() }

// run forwards both directions until both ended or the link is reset.
func (l *link) run() {
	var ways sync.WaitGroup
	ways.Go(func() { l.forward(ToTarget, l.caller, l.target) })
	ways.Go(func() { l.forward(ToCaller, l.target, l.caller) })
	ways.Wait()
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
		continue // The reader must not block on a queue that nobody reads.
	}
	reader.Wait()
}

// read queues what arrives from a side and ends the queue with the stream.
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

// pass forwards one chunk under the faults in force; it returns false when the
// link must be reset.
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
		// A reset discards what the target has not read; the end of the stream
		// lets it read the part that passed.
		_ = to.(*net.TCPConn).CloseWrite()
	}
	return false
}

// awaitRelease waits until the faults in force let c pass; it returns false when
// the link was reset meanwhile.
func (l *link) awaitRelease(direction Direction, c chunk) bool {
	for {
		faults, changed := l.proxy.current(direction)
		var due <-chan time.Time
		if !faults.Hold {
			left := l.left(faults, c)
			if left <= 0 {
				return true
			}
			due = l.proxy.clock.After(left)
		}
		select {
		case <-due:
			return true
		case <-changed:
		case <-l.broken:
			return false
		}
	}
}

// left returns how long c still has to wait.
func (l *link) left(faults Faults, c chunk) time.Duration {
	left := faults.Delay - l.proxy.clock.Since(c.at)
	if faults.BytesPerSecond > 0 {
		transfer := time.Duration(len(c.data)) * time.Second / time.Duration(faults.BytesPerSecond)
		left = max(left, 0) + transfer
	}
	return left
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
