package coordinator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// sendRetryDelay is the delay before orders that did not reach their agent are sent again.
const sendRetryDelay = 50 * time.Millisecond

// sender sends the orders for one host in sequence, one call at a time.
type sender struct {
	host  string
	queue []*messenger.Orders
	wake  chan struct{}
	done  chan struct{}
}

func (s *sender) close() { close(s.done) }

// sendOrders passes the conductor's pending orders to the senders of their hosts, which it
// starts as needed; c.mu is held.
func (c *Coordinator) sendOrders(ctx context.Context) {
	for host, orders := range c.conductor.TakeOrders() {
		s := c.senders[host]
		if s == nil {
			s = &sender{host: host, wake: make(chan struct{}, 1), done: make(chan struct{})}
			c.senders[host] = s
			go c.runSender(context.WithoutCancel(ctx), s)
		}
		s.queue = append(s.queue, orders)
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (c *Coordinator) runSender(ctx context.Context, s *sender) {
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		for c.sendNext(ctx, s) {
		}
	}
}

// sendNext sends the first orders of the queue and reports whether there may be more to send.
// It drops orders for an earlier incarnation of the agent, and ends the ownership if the agent
// follows a later epoch.
func (c *Coordinator) sendNext(ctx context.Context, s *sender) bool {
	c.mu.Lock()
	now := c.deps.Clock.Now()
	if c.conductor == nil || c.senders[s.host] != s || len(s.queue) == 0 {
		c.mu.Unlock()
		return false
	}
	undelivered := s.queue[0]
	orders, address, ok := c.conductor.PrepareOrders(s.host, undelivered)
	if !ok {
		s.queue = s.queue[1:]
		c.mu.Unlock()
		return true
	}
	if !c.elector.HasAuthority(now) {
		c.mu.Unlock()
		timekeeper.Sleep(ctx, c.deps.Clock, sendRetryDelay)
		return true
	}
	c.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply messenger.OrdersReply
	err := c.pool.Call(call, address, messenger.MethodOrder, orders, &reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := apricotwinch.KindOf(err)
	switch {
	case err == nil || kind == apricotwinch.StaleIncarnation:
		if len(s.queue) > 0 && s.queue[0] == undelivered {
			s.queue = s.queue[1:]
		}
	case kind == apricotwinch.StaleEpoch:
		c.elector.RecordLaterEpoch(c.deps.Clock.Now(), int64(orders.Epoch)+1)
		c.endOwnership("an agent follows a later epoch")
		return false
	default:
		metrics.GetOrRegisterCounter("orders.failed."+string(kind), c.deps.Registry).Inc(1)
		c.deps.Logger.Info("orders not delivered", "host", s.host, "number", orders.Number, "kind", string(kind), "error", err)
		c.mu.Unlock()
		timekeeper.Sleep(ctx, c.deps.Clock, sendRetryDelay)
		c.mu.Lock()
	}
	return true
}
