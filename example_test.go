package apricotwinch_test

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/retrier"
)

// Example decides whether requests that failed are tried again.
func Example() {
	now := time.Now()
	retries := retrier.New(retrier.DefaultConfig(), 1)
	for _, kind := range []apricotwinch.Kind{apricotwinch.NoCapacity, apricotwinch.Unknown} {
		try := retrier.NewTry("jua-paa", "tz-north-a-1", 1, false, now.Add(time.Second), kind)
		decision := retries.Decide(now, try)
		fmt.Println(decision.Retry(), decision.Counter())
	}
	// Output:
	// true retrier.retried.no_capacity
	// false retrier.refused.may_have_run
}
