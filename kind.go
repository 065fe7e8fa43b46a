package apricotwinch

import (
	"net/http"
	"time"
)

// Kind classifies a refusal or failure. The constants below are all its values.
type Kind string

const (
	// Invalid is a malformed request or setting.
	Invalid Kind = "invalid"
	// Unauthenticated is a missing or unknown token.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden is a valid token without the right to the subtree or job.
	Forbidden Kind = "forbidden"
	// NotFound is an unknown job, service, path or team.
	NotFound Kind = "not_found"
	// Conflict is an edit based on an old revision, or a key reused for another body.
	Conflict Kind = "conflict"
	// TooLarge is a body or header over the size limit.
	TooLarge Kind = "too_large"
	// TooSlow is a sender that did not finish its request in time.
	TooSlow Kind = "too_slow"
	// QuotaExceeded is work over the quota of its team.
	QuotaExceeded Kind = "quota_exceeded"
	// Overloaded is work shed before it was queued.
	Overloaded Kind = "overloaded"
	// NoTarget is a service with no target able to take the request.
	NoTarget Kind = "no_target"
	// NoCapacity is a host without enough free capacity for the task or request.
	NoCapacity Kind = "no_capacity"
	// Draining is a target, host, entry or other process that is shutting down.
	Draining Kind = "draining"
	// DataCentreOut is a data centre that operators took out of service.
	DataCentreOut Kind = "data_centre_out"
	// StaleView is a view of the settings, or a ticket, that is too old to start work.
	StaleView Kind = "stale_view"
	// StaleEpoch is a command of a partition owner that has been replaced.
	StaleEpoch Kind = "stale_epoch"
	// StaleIncarnation is a command for an earlier incarnation of a process.
	StaleIncarnation Kind = "stale_incarnation"
	// NotOwner is a call that only the owner of the partition can serve.
	NotOwner Kind = "not_owner"
	// LogUnavailable is a log that can't commit a record of the work.
	LogUnavailable Kind = "log_unavailable"
	// DeadlineExceeded is a deadline that passed before the work was sent.
	DeadlineExceeded Kind = "deadline_exceeded"
	// Revoked is work that was withdrawn before it started.
	Revoked Kind = "revoked"
	// Unschedulable is a job that no host can ever hold.
	Unschedulable Kind = "unschedulable"
	// Unreachable is a peer that could not be connected to; nothing was sent.
	Unreachable Kind = "unreachable"
	// Unknown is work that may or may not have run.
	Unknown Kind = "unknown"
	// TargetFailed is a target that ran the work and failed.
	TargetFailed Kind = "target_failed"
	// Internal is a bug in this program, or an error without a kind.
	Internal Kind = "internal"
)

// ErrorResponse is the response to a caller for one kind of error: its HTTP status and exit code,
// and whether and when to retry.
type ErrorResponse struct {
	kind       Kind
	status     int
	exitCode   int
	notRun     bool
	retryable  bool
	retryAfter time.Duration
}

// Kind returns the kind that the response is for.
func (r ErrorResponse) Kind() Kind { return r.kind }

// Status returns the HTTP status code.
func (r ErrorResponse) Status() int { return r.status }

// ExitCode returns the exit code of a command that fails with the kind.
func (r ErrorResponse) ExitCode() int { return r.exitCode }

// NotRun reports whether the work provably did not run.
func (r ErrorResponse) NotRun() bool { return r.notRun }

// Retryable reports whether the same request may succeed later.
func (r ErrorResponse) Retryable() bool { return r.retryable }

// RetryAfter returns how long a caller should wait before it retries; 0 if no delay is advised.
func (r ErrorResponse) RetryAfter() time.Duration { return r.retryAfter }

// JitteredRetryAfter returns RetryAfter with jitter, rounded up to whole seconds, so that callers
// that were refused together don't retry together. A fraction from 0 to 1 scales the wait from half
// of RetryAfter to one and a half times it.
func (r ErrorResponse) JitteredRetryAfter(fraction float64) time.Duration {
	wait := time.Duration((0.5 + fraction) * float64(r.retryAfter))
	return (wait + time.Second - 1).Truncate(time.Second)
}

// Counter returns the name of the metric that counts refusals of this kind.
func (r ErrorResponse) Counter() string { return "refused." + string(r.kind) }

// errorResponses lists the response for each kind, in the order of the exit codes.
var errorResponses = []ErrorResponse{
	{kind: Internal, status: http.StatusInternalServerError, exitCode: 10},
	{kind: Invalid, status: http.StatusBadRequest, exitCode: 11, notRun: true},
	{kind: Unauthenticated, status: http.StatusUnauthorized, exitCode: 12, notRun: true},
	{kind: Forbidden, status: http.StatusForbidden, exitCode: 13, notRun: true},
	{kind: NotFound, status: http.StatusNotFound, exitCode: 14, notRun: true},
	{kind: Conflict, status: http.StatusConflict, exitCode: 15, notRun: true},
	{kind: TooLarge, status: http.StatusRequestEntityTooLarge, exitCode: 16, notRun: true},
	{kind: TooSlow, status: http.StatusRequestTimeout, exitCode: 17, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: QuotaExceeded, status: http.StatusTooManyRequests, exitCode: 18, notRun: true, retryable: true, retryAfter: 5 * time.Second},
	{kind: Overloaded, status: http.StatusServiceUnavailable, exitCode: 19, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: NoTarget, status: http.StatusServiceUnavailable, exitCode: 20, notRun: true, retryable: true, retryAfter: 2 * time.Second},
	{kind: NoCapacity, status: http.StatusServiceUnavailable, exitCode: 21, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: Draining, status: http.StatusServiceUnavailable, exitCode: 22, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: DataCentreOut, status: http.StatusServiceUnavailable, exitCode: 23, notRun: true, retryable: true, retryAfter: 5 * time.Second},
	{kind: StaleView, status: http.StatusServiceUnavailable, exitCode: 24, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: StaleEpoch, status: http.StatusServiceUnavailable, exitCode: 25, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: StaleIncarnation, status: http.StatusServiceUnavailable, exitCode: 26, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: NotOwner, status: http.StatusServiceUnavailable, exitCode: 27, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: LogUnavailable, status: http.StatusServiceUnavailable, exitCode: 28, notRun: true, retryable: true, retryAfter: 5 * time.Second},
	{kind: DeadlineExceeded, status: http.StatusGatewayTimeout, exitCode: 29, notRun: true, retryable: true},
	{kind: Revoked, status: http.StatusServiceUnavailable, exitCode: 30, notRun: true, retryable: true},
	{kind: Unschedulable, status: http.StatusUnprocessableEntity, exitCode: 31, notRun: true},
	{kind: Unreachable, status: http.StatusServiceUnavailable, exitCode: 32, notRun: true, retryable: true, retryAfter: time.Second},
	{kind: Unknown, status: http.StatusBadGateway, exitCode: 33},
	{kind: TargetFailed, status: http.StatusBadGateway, exitCode: 34},
}

var responseByKind = indexResponses()

func indexResponses() map[Kind]ErrorResponse {
	index := make(map[Kind]ErrorResponse, len(errorResponses))
	for _, response := range errorResponses {
		index[response.kind] = response
	}
	return index
}

// ErrorResponse returns the response for k; for an unlisted kind it is that for Internal.
func (k Kind) ErrorResponse() ErrorResponse {
	if a, ok := responseByKind[k]; ok {
		return a
	}
	return responseByKind[Internal]
}

// ErrorResponses returns a copy of the table of responses, in the order of the exit codes.
func ErrorResponses() []ErrorResponse { return append([]ErrorResponse(nil), errorResponses...) }
