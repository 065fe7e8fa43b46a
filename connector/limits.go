package connector

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/budgeter"
)

// Limits bounds what the messages that a Server receives may hold.
type Limits struct {
	// Connections is the greatest number of connections; it replaces NewServer's if it is lower and not 0.
	Connections int
	// ReceiveBuffer is the receive buffer of a connection, and its send buffer, in bytes, for Listen; 0 leaves
	// them to the system.
	ReceiveBuffer int
	// BudgetBytes is the memory for messages that arrive or are handled, and SmallBudgetBytes that for those
	// of which the costs are at most smallMessageCost. A message of n bytes costs messageCost times n.
	BudgetBytes      int64
	SmallBudgetBytes int64
	// Stall is how long a message that has begun may bring no byte, and how long one waits for its share of
	// the budget, before its connection is closed.
	Stall time.Duration
	// MinBytesPerSecond is the least rate at which a message arrives, or its answer is taken, beyond Stall.
	MinBytesPerSecond int64
}

// Default limits, for processes whose memory is not known.
const (
	// DefaultBudgetBytes lets one message of MaxMessageBytes through at a time.
	DefaultBudgetBytes = messageCost * MaxMessageBytes
	// DefaultSmallBudgetBytes lets over 3,000 calls of usual size be under way.
	DefaultSmallBudgetBytes = 8 << 20
	// DefaultStall is longer than the loss of a link that a takeover outlasts; retransmissions of a
	// working link come after 0.2 to 3 s.
	DefaultStall = 5 * time.Second
	// DefaultMinBytesPerSecond is a twentieth of a link of 10 Mbit/s: 20 long messages may share it.
	DefaultMinBytesPerSecond = 64 << 10
)

const (
	// messageCost is how many bytes a message costs for each of its bytes: its text, the copy of its
	// parameters, and what they are decoded to.
	messageCost = 3
	// callCost is the cost, in bytes, of the call of a message.
	callCost = 1 << 10
	// smallMessageCost is the greatest cost that is granted from Limits.SmallBudgetBytes, in bytes.
	smallMessageCost = 256 << 10
	// pieceBytes is the first size of the buffer for a message, which doubles as bytes arrive.
	pieceBytes = 64 << 10
)

// withDefaults returns the limits with the defaults in place of zeros.
func (l Limits) withDefaults() Limits {
	if l.BudgetBytes <= 0 {
		l.BudgetBytes = DefaultBudgetBytes
	}
	if l.SmallBudgetBytes <= 0 {
		l.SmallBudgetBytes = DefaultSmallBudgetBytes
	}
	if l.Stall <= 0 {
		l.Stall = DefaultStall
	}
	if l.MinBytesPerSecond <= 0 {
		l.MinBytesPerSecond = DefaultMinBytesPerSecond
	}
	return l
}

// Names of the counters of messages that are refused by closing their connections.
const (
	counterRefusedBudget = "connector.refused_message_budget" // No share of the budget in time.
	counterRefusedSlow   = "connector.refused_message_slow"   // The message arrived too slowly.
	counterClosedSlow    = "connector.closed_slow_answers"    // The peer took an answer too slowly.
)

// messageBudget is the budget of the messages that a server receives. A message takes each part in one step
// and waits for one only while it holds none of that part or of a later one: first the first piece of what
// arrives, then the rest of it, then what it inflates to and is handled with. So messages that wait never wait
// for each other in a circle.
type messageBudget struct {
	limits  Limits
	wire    *budgeter.Budgeter // What has arrived.
	calls   *budgeter.Budgeter // What is handled.
	refused metrics.Counter
	tooSlow metrics.Counter
	waiting metrics.Counter
	unread  metrics.Counter
}

func newMessageBudget(limits Limits, registry metrics.Registry) *messageBudget {
	limits = limits.withDefaults()
	return &messageBudget{
		limits:  limits,
		wire:    budgeter.New(budgeter.Config{Bytes: limits.BudgetBytes / messageCost, SmallBytes: limits.SmallBudgetBytes, SmallGrant: pieceBytes}),
		calls:   budgeter.New(budgeter.Config{Bytes: limits.BudgetBytes, SmallBytes: limits.SmallBudgetBytes, SmallGrant: smallMessageCost}),
		refused: metrics.GetOrRegisterCounter(counterRefusedBudget, registry),
		tooSlow: metrics.GetOrRegisterCounter(counterRefusedSlow, registry),
		waiting: metrics.GetOrRegisterCounter("connector.message_waits", registry),
		unread:  metrics.GetOrRegisterCounter(counterClosedSlow, registry),
	}
}

// acquire grants bytes of a budget to a peer, or adds them to grant if it is not nil, and waits for them as long
// as the limits allow. An amount that no peer could get counts as the largest that one can get. It fails with
// kind Overloaded.
func (b *messageBudget) acquire(budget *budgeter.Budgeter, grant *budgeter.Grant, peer string, bytes int64) (*budgeter.Grant, error) {
	bytes = min(bytes, budget.Largest())
	try := func() (err error) {
		if grant == nil {
			grant, err = budget.Acquire(peer, bytes)
			return err
		}
		return grant.Grow(bytes)
	}
	freed := budget.Freed()
	err := try()
	if err == nil {
		return grant, nil
	}
	b.waiting.Inc(1)
	timer := time.NewTimer(b.limits.Stall)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-timer.C:
			b.refused.Inc(1)
			return nil, err
		}
		freed = budget.Freed()
		if err = try(); err == nil {
			return grant, nil
		}
	}
}

// incoming reads the messages of one connection within the limits. Without a budget, as for the answers to a
// process's own calls, it only allocates as bytes arrive.
type incoming struct {
	conn   net.Conn
	budget *messageBudget
	peer   string
	// wire and call hold the last message's parts of the budget, call until it is taken over.
	wire, call *budgeter.Grant
}

// admit takes the part of the budget for a message of the given length, which replaces what it took as it
// arrived.
func (r *incoming) admit(length int) (err error) {
	if r.budget == nil {
		return nil
	}
	r.call, err = r.budget.acquire(r.budget.calls, nil, r.peer, callCost+messageCost*int64(length))
	return err
}

// take returns the function that releases the last message's part of the budget.
func (r *incoming) take() func() {
	call := r.call
	r.call = nil
	if call == nil {
		return func() {}
	}
	return call.Release
}

// release returns what the last message holds, unless it was taken over.
func (r *incoming) release() {
	r.releaseWire()
	r.take()()
}

func (r *incoming) releaseWire() {
	if r.wire != nil {
		r.wire.Release()
		r.wire = nil
	}
}

// readMessage reads a message of the given length.
func (r *incoming) readMessage(stream *bufio.Reader, length int) ([]byte, error) {
	data := make([]byte, 0, min(length, pieceBytes))
	if r.budget == nil {
		for len(data) < length {
			data = enlarge(data, length)
			n, err := io.ReadFull(stream, data[len(data):cap(data)])
			if data = data[:len(data)+n]; err != nil {
				return nil, err
			}
		}
		return data, nil
	}
	var err error
	if r.wire, err = r.budget.acquire(r.budget.wire, nil, r.peer, int64(cap(data))); err != nil {
		return nil, err
	}
	if stream.Buffered() < length {
		defer r.conn.SetReadDeadline(time.Time{}) //nolint:errcheck // A closed connection fails the next read.
	}
	began := time.Now()
	for len(data) < length {
		if len(data) == pieceBytes {
			waited := time.Now()
			if _, err := r.budget.acquire(r.budget.wire, r.wire, r.peer, int64(length-pieceBytes)); err != nil {
				return nil, err
			}
			// The wait for memory is not the sender's.
			began = began.Add(time.Since(waited))
		}
		data = enlarge(data, length)
		if stream.Buffered() == 0 {
			_ = r.conn.SetReadDeadline(r.deadline(began, len(data)))
		}
		n, err := stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if isTimeout(err) {
			r.budget.tooSlow.Inc(1)
			return nil, apricotwinch.Errorf(apricotwinch.TooSlow, "message: %d of %d bytes arrived: %w", len(data), length, err)
		}
		if err != nil && len(data) < length {
			return nil, err
		}
	}
	return data, nil
}

// enlarge returns data with room for more, up to length in all: twice as much as there is if it is full.
func enlarge(data []byte, length int) []byte {
	if len(data) < cap(data) {
		return data
	}
	return append(make([]byte, 0, min(length, 2*cap(data))), data...)
}

// deadline returns until when the next byte of a message must arrive.
func (r *incoming) deadline(began time.Time, received int) time.Time {
	limits := r.budget.limits
	stalled := time.Now().Add(limits.Stall)
	slow := began.Add(limits.Stall + time.Duration(received)*time.Second/time.Duration(limits.MinBytesPerSecond))
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}

// answerConn is a connection on which answers are sent. One of which an answer is taken too slowly is closed, since
// every call on it waits meanwhile with its part of the budget.
type answerConn struct {
	net.Conn
	budget *messageBudget
}

// Write writes an answer or a part of one.
func (c *answerConn) Write(p []byte) (int, error) {
	limits := c.budget.limits
	_ = c.SetWriteDeadline(time.Now().Add(limits.Stall + time.Duration(len(p))*time.Second/time.Duration(limits.MinBytesPerSecond)))
	n, err := c.Conn.Write(p)
	if isTimeout(err) {
		c.budget.unread.Inc(1)
		c.Close()
	}
	return n, err
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // The stream wraps no errors.
	return ok && timeout.Timeout()
}
