// Package messenger holds the messages between processes and the records in the
// log, as generated from messages.schema.json.
//
// An entry and an agent exchange them over jsonrpc2; the method names are the
// constants of this package.
package messenger

//go:generate go-jsonschema --only-models --tags json -p messenger --capitalization URL -o messages.go messages.schema.json

// Methods that an agent calls at an entry.
const (
	// MethodAnnounce carries Announce and answers AnnounceReply.
	MethodAnnounce = "announce"
	// MethodRenew carries Renew and answers RenewReply.
	MethodRenew = "renew"
)

// Methods that an entry calls at an agent.
const (
	// MethodDispatch carries Dispatch and answers DispatchReply.
	MethodDispatch = "dispatch"
	// MethodRevoke carries Revoke and answers RevokeReply.
	MethodRevoke = "revoke"
	// MethodAssign carries Assign and answers AssignReply.
	MethodAssign = "assign"
	// MethodStop carries Stop and answers StopReply.
	MethodStop = "stop"
	// MethodThrottle carries Throttle and answers ThrottleReply.
	MethodThrottle = "throttle"
)

// Methods that an entry calls at another entry.
const (
	// MethodForward carries Forward and answers ForwardReply.
	MethodForward = "forward"
	// MethodDigest carries Digest and answers DigestReply.
	MethodDigest = "digest"
)

// Outcomes of a dispatched request.
const (
	// OutcomeAnswered is a request that ran; its answer is whole.
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
	RecordLost      = "lost"      // An attempt's lease is provably over.
	RecordParked    = "parked"    // A job is no longer tried.
	RecordResumed   = "resumed"   // A parked job is tried again.
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

// Methods that an entry calls at the owner of the workloads.
const (
	// MethodSubmitWorkload carries WorkloadRequest and answers WorkloadReply.
	MethodSubmitWorkload = "submitWorkload"
	// MethodShowWorkload carries WorkloadRequest and answers WorkloadReply.
	MethodShowWorkload = "showWorkload"
	// MethodCancelWorkload carries WorkloadRequest and answers WorkloadReply.
	MethodCancelWorkload = "cancelWorkload"
	// MethodCountWaiting carries WorkloadRequest and answers WorkloadReply.
	MethodCountWaiting = "countWaiting"
	// MethodPing carries Ping and answers PingReply, between any two entries.
	MethodPing = "ping"
)

// MethodReport carries Report from an agent to an entry and answers ReportReply.
const MethodReport = "report"

// MethodOrder carries Orders from the owner to an agent and answers OrdersReply.
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
	RunRunning  = "running"  // The executor lists it.
	RunStopping = "stopping" // A stop was ordered.
)

// How a run ended.
const (
	EndDone    = "done"    // The task is done.
	EndFailed  = "failed"  // By its own fault or the executor's.
	EndStopped = "stopped" // By an order.
	EndLapsed  = "lapsed"  // The executor's lease ran out.
	EndBroken  = "broken"  // Another member of its gang ended.
	EndAlone   = "alone"   // The other members of its gang did not come.
)
