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
)
