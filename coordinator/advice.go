package coordinator

import (
	"context"
	"time"

	"apricotwinch"
	"apricotwinch/conductor"
)

// adviceTimeout is added to the time that the advice service needs (AdviceRequest.ExpectedDuration)
// to get the timeout of a call.
const adviceTimeout = 800 * time.Millisecond

// askAdvice starts a call of the advice service if the conductor has a request; c.mu is held.
func (c *Coordinator) askAdvice(ctx context.Context) {
	if request, ok := c.conductor.TakeAdviceRequest(); ok {
		go c.advise(context.WithoutCancel(ctx), c.conductor, request)
	}
}

// advise asks the advice service and passes its answer to owner, unless the ownership has
// ended in the meantime.
func (c *Coordinator) advise(ctx context.Context, owner *conductor.Conductor, q conductor.AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, q.ExpectedDuration+adviceTimeout)
	defer cancel()
	sent := c.deps.Clock.Now()
	var tickets map[string]string
	err := apricotwinch.Errorf(apricotwinch.NoTarget, "there is no advice service")
	if c.deps.Advise != nil {
		tickets, err = c.deps.Advise(ctx, q.Step, q.Executors)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner {
		return
	}
	now := c.deps.Clock.Now()
	owner.HandleAdvice(now, sent, q, tickets, err)
	c.advance(ctx, now, false)
}
