// Package messenger defines the messages between processes and the records in the log. Their types
// are generated from messages.schema.json.
//
// Entries and agents exchange the messages over JSON-RPC 2.0; the constants of this package are the
// method names and the values of fields.
package messenger

//go:generate go-jsonschema --only-models --tags json -p messenger --capitalization URL -o messages.go messages.schema.json

// Methods that an agent calls on an entry.
const (
	// MethodAnnounce takes Announce and returns AnnounceReply.
	MethodAnnounce = "announce"
	// MethodRenew takes RenewRequest and returns RenewReply.
	MethodRenew = "renew"
)

// Methods that an entry calls on an agent.
const (
	// MethodDispatch takes Dispatch and returns DispatchReply.
	MethodDispatch = "dispatch"
	// MethodRevoke takes Revoke and returns RevokeReply.
	MethodRevoke = "revoke"
	// MethodAssign takes Assign and returns AssignReply.
	MethodAssign = "assign"
	// MethodStop takes Stop and returns StopReply.
	MethodStop = "stop"
	// MethodThrottle takes Throttle and returns ThrottleReply.
	MethodThrottle = "throttle"
)

// Methods that an entry calls on another entry.
const (
	// MethodForward takes Forward and returns ForwardReply.
	MethodForward = "forward"
	// MethodDigest takes Digest and returns DigestReply.
	MethodDigest = "digest"
)

// Outcomes of a dispatched request.
const (
	// OutcomeAnswered is a request that ran and whose answer is complete.
	OutcomeAnswered = "answered"
	// OutcomeRefused is a request that provably did not run.
	OutcomeRefused = "refused"
	// OutcomeUnknown is a request that may or may not have run.
	OutcomeUnknown = "unknown"
)

// Types of the records of a partition's stream.
const (
	RecordBegan     = "began"     // An owner's epoch begins.
	RecordSubmitted = "submitted" // A job was submitted.
	RecordCanceled  = "canceled"  // A job was canceled.
	RecordAssigned  = "assigned"  // An attempt was assigned to a host.
	RecordReturned  = "returned"  // An assigned attempt was refused and never ran.
	RecordCompleted = "completed" // An attempt completed its task.
	RecordFailed    = "failed"    // An attempt failed.
	RecordEvicted   = "evicted"   // An attempt was checkpointed and stopped.
	RecordLost      = "lost"      // An attempt's lease has provably expired.
	RecordParked    = "parked"    // No more attempts of a job are started.
	RecordResumed   = "resumed"   // Attempts of a parked job may start again.
	RecordSnapshot  = "snapshot"  // A part of the partition's state.
)

// Types of the records of a keys stream.
const (
	KeyClaimed  = "claimed"  // A request claims its key before it is sent.
	KeyReleased = "released" // The claimed request provably did not run.
	KeySettled  = "settled"  // The claimed request has an outcome.
)

// Phases of an attempt in an agent's report.
const (
	ReportRunning   = "running"   // The attempt runs under its lease.
	ReportCompleted = "completed" // The attempt ended with a result.
	ReportFailed    = "failed"    // The attempt ended with an error.
	ReportEvicted   = "evicted"   // The attempt was checkpointed and stopped.
	ReportStopped   = "stopped"   // The attempt was stopped without a checkpoint.
	ReportRefused   = "refused"   // The attempt never ran and never will.
)

// Phases of a task in the ledger.
const (
	TaskWaiting   = "waiting"   // The task waits for a host.
	TaskAssigned  = "assigned"  // An attempt is assigned or runs.
	TaskCompleted = "completed" // The task is done.
	TaskFailed    = "failed"    // The task used up its attempts.
	TaskCanceled  = "canceled"  // The task's job was canceled.
)

// Kinds of jobs.
const (
	JobBatch = "batch" // Each task runs until it completes.
	JobWatch = "watch" // Each task runs until the job is canceled.
)

// Methods that an entry calls on the owner of the workloads.
const (
	// MethodSubmitWorkload takes WorkloadRequest and returns WorkloadReply.
	MethodSubmitWorkload = "submitWorkload"
	// MethodShowWorkload takes WorkloadRequest and returns WorkloadReply.
	MethodShowWorkload = "showWorkload"
	// MethodCancelWorkload takes WorkloadRequest and returns WorkloadReply.
	MethodCancelWorkload = "cancelWorkload"
	// MethodCountWaiting takes WorkloadRequest and returns WorkloadReply.
	MethodCountWaiting = "countWaiting"
	// MethodPing takes Ping and returns PingReply; any entry calls it on any other.
	MethodPing = "ping"
)

// MethodReport takes Report and returns ReportReply; an agent calls it on an entry.
const MethodReport = "report"

// MethodOrder takes Orders and returns OrdersReply; the owner calls it on an agent.
const MethodOrder = "order"

// States of a workload.
const (
	WorkloadQueued    = "queued"    // No task has started.
	WorkloadRunning   = "running"   // A task has started.
	WorkloadCompleted = "completed" // Every task is done.
	WorkloadFailed    = "failed"    // A task used up its attempts.
	WorkloadCanceled  = "canceled"  // The caller canceled it.
)

// Phases of a run in a report.
const (
	RunStarting = "starting" // The executor has not confirmed the start.
	RunRunning  = "running"  // The executor lists the run.
	RunStopping = "stopping" // A stop was ordered.
)

// Ways in which a run ends.
const (
	EndDone           = "done"    // The task is done.
	EndFailed         = "failed"  // The task or the executor failed.
	EndStopped        = "stopped" // An order stopped the run.
	EndLeaseExpired   = "lapsed"  // The executor's lease ran out.
	EndGangEnded      = "broken"  // Another member of its gang ended.
	EndGangIncomplete = "alone"   // The other members of its gang did not start.
)
