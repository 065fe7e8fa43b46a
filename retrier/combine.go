package retrier

import "apricotwinch"

// CombineErrors returns the error that the caller of a request gets after a further try.
// earlier is the result of CombineErrors for the earlier tries, nil if there were none, and
// last is the error of the latest try, nil for a success. If the request may have run
// in any try, the returned error never says that it did not run.
func CombineErrors(earlier, last error) error {
	if earlier == nil || last == nil {
		return last
	}
	if notRun(last) && !notRun(earlier) {
		return earlier
	}
	return last
}

func notRun(err error) bool { return apricotwinch.KindOf(err).ErrorResponse().NotRun() }
