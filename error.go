package apricotwinch

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with a kind and a cause.
type Error struct {
	kind Kind
	err  error
}

// Errorf returns an error of the given kind. Its text is formatted as by fmt.Errorf, and %w wraps
// a cause.
func Errorf(kind Kind, format string, args ...any) error {
	return &Error{kind: kind, err: fmt.Errorf(format, args...)}
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.err.Error() }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of the first Error in err's chain, Internal if there is none, and "" if
// err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// retryAfterError is an error with the time after which the caller should retry.
type retryAfterError struct {
	err  error
	wait time.Duration
}

// WithRetryAfter returns err with the time after which the caller should retry, in place of the one of
// its kind. The kind and the text are those of err. It returns err itself if the time is not positive.
func WithRetryAfter(err error, wait time.Duration) error {
	if err == nil || wait <= 0 {
		return err
	}
	return &retryAfterError{err: err, wait: wait}
}

// Error returns the text of the error that has the time.
func (e *retryAfterError) Error() string { return e.err.Error() }

// Unwrap returns the error that has the time.
func (e *retryAfterError) Unwrap() error { return e.err }

// RetryAfterOf returns the time after which the caller should retry that err holds; 0 if it holds none or
// its kind doesn't say that the work did not run, as the caller of such work asks again at once.
func RetryAfterOf(err error) time.Duration {
	var e *retryAfterError
	if !errors.As(err, &e) || !KindOf(err).ErrorResponse().NotRun() {
		return 0
	}
	return e.wait
}
