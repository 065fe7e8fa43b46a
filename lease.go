package apricotwinch

import "time"

// Durations that an owner of workloads and the agents must agree on.
const (
	// ExecutorLease is how long the runs of an executor continue at most after its agent sent the report whose
	// reply renewed them, and after the latest proof by then that the replying owner had no successor. It
	// outlasts a restart of the agent and a failover. A task on a lost host is started again only after it.
	ExecutorLease = 4 * time.Second
	// OwnerAuthority is how long an owner may act after its last proof that it has no successor.
	OwnerAuthority = 4 * time.Second
	// MaxCallDelay is how much later than it was made an executor may carry out a call without an answer.
	MaxCallDelay = 12 * time.Second
	// MaxShortHold is how long a long-running task may wait for a start without an answer once its executor has ended or
	// fallen silent: users accept 9 s without a run.
	MaxShortHold = 5 * time.Second
)
