package appender

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Waiting returns the number of records that wait for their first send.
func Waiting(a *Appender) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting.records)
}

// NewCall returns the function that runs calls under a timeout that follows them.
func NewCall(clock clockwork.Clock) func(context.Context, time.Duration, func(context.Context) error) error {
	return newPatience(clock).call
}
