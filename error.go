package apricotwinch

import (
	"errors"
	"fmt"
)

// Error is an error of one kind, with the text of its cause.
type Error struct {
	kind Kind
	err  error
}

// Errorf returns an error of kind whose text is formatted as by fmt.Errorf.
func Errorf(kind Kind, format string, args ...any) error {
	return &Error{kind: kind, err: fmt.Errorf(format, args...)}
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.err.Error() }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of err; an error without one is Internal, nil is "".
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
