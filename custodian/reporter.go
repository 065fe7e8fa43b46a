package custodian

import (
	"time"

	"apricotwinch"
)

// Time limits of the reports to the owner.
const (
	// answerTimeout is how long an agent waits for the answer to a report. It doubles with each answer
	// that doesn't come, up to maxAnswerTimeout: the answer to a report that takes longer would not
	// renew a lease before it ends.
	answerTimeout    = 600 * time.Millisecond
	maxAnswerTimeout = 1800 * time.Millisecond
	// maxOwnerSilence is how long an owner that accepts connections may leave reports unanswered
	// before the agent looks for another one.
	maxOwnerSilence = 2400 * time.Millisecond
)

// Reporter decides how long an agent waits for the owner's answers, and when it looks for another
// owner. An owner that is late is overloaded: giving up its answers, and asking for more, would add to
// the load, and no lease would be renewed.
type Reporter struct {
	// answeredAt is when the owner last answered, or when it became the owner.
	answeredAt time.Time
	// missed counts the answers in a row that did not come in time.
	missed int
}

// AnswerTimeout returns how long to wait for the answer to the next report.
func (r *Reporter) AnswerTimeout() time.Duration {
	return apricotwinch.ExponentialBackoff(answerTimeout, maxAnswerTimeout, r.missed)
}

// HandleOwner records a change of the owner.
func (r *Reporter) HandleOwner(now time.Time) { *r = Reporter{answeredAt: now} }

// HandleAnswer records that the owner answered a report that was sent at sent. The timeout stays
// extended for as long as answers are late.
func (r *Reporter) HandleAnswer(now, sent time.Time) {
	r.answeredAt = now
	if now.Sub(sent) < answerTimeout {
		r.missed = 0
	}
}

// AnsweredAt returns when the owner last answered, or when it became the owner.
func (r *Reporter) AnsweredAt() time.Time { return r.answeredAt }

// HandleFailure records that a report to the owner failed with a kind, and reports whether the agent
// looks for another owner.
func (r *Reporter) HandleFailure(now time.Time, kind apricotwinch.Kind) bool {
	silent := now.Sub(r.answeredAt)
	if kind != apricotwinch.Unknown {
		return silent > answerTimeout
	}
	r.missed++
	return silent > maxOwnerSilence
}
