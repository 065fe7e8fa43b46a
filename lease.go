package apricotwinch

import "time"

// Terms that an owner of workloads and the agents must agree on.
const (
	// ExecutorLease is how long the runs of an executor go on after the report whose
	// answer renewed them was sent. It outlasts a restart of the agent and a takeover;
	// a task on a host that is lost starts again after it.
	ExecutorLease = 4 * time.Second
	// OwnerAuthority is how long an owner acts after its last proof that no later
	// owner exists; a successor that has not met all of its executors waits for it.
	OwnerAuthority = 4 * time.Second
)
