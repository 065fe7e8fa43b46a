package retrier

import "apricotwinch"

// Settle returns the error that a caller is told after several tries. earlier is
// what the tries before settled to, nil when there were none, and last is the
// error of the latest one, nil for an answer. A request that may have run in any
// try is never told as not run.
func Settle(earlier, last error) error {
	if earlier == nil || last == nil {
		return last
	}
	if notRun(last) && !notRun(earlier) {
		return earlier
	}
	return last
}

func notRun(err error) bool { return apricotwinch.KindOf(err).Answer().NotRun() }
