package coordinator

import (
	"context"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Bounds of the questions to the owner about submissions that are refused before it sees them, so that a crowd at each
// entry doesn't become one at the owner.
const (
	lookupsPerSecond = 10
	lookupTimeout    = 500 * time.Millisecond
)

// Refuse returns the answer to a submission that this entry can't receive, for a cause whose kind says that it wasn't
// accepted. An earlier request may have had the same workload accepted: it returns the workload's state then, the cause if
// the owner doesn't know the workload, and an error of kind Unknown if that isn't found out at once.
func (c *Coordinator) Refuse(ctx context.Context, request messenger.WorkloadRequest, cause error) (messenger.WorkloadReply, error) {
	if !c.lookups.AllowN(c.deps.Clock.Now(), 1) {
		return messenger.WorkloadReply{}, c.giveUpError(true, request.Id, cause)
	}
	// A body that came too slowly has ended the request's context.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	reply, err := c.Show(ctx, request)
	switch apricotwinch.KindOf(err) {
	case "":
		return reply, nil
	case apricotwinch.NotFound:
		return reply, cause
	}
	return reply, c.giveUpError(true, request.Id, cause)
}
