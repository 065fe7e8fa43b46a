package timekeeper_test

import (
	"testing"
	"time"

	"apricotwinch/timekeeper"
)

func TestClockGoesOn(t *testing.T) {
	clock := timekeeper.New()
	began := clock.Now()
	if age := time.Since(began); age < -time.Minute || age > time.Minute {
		t.Errorf("the clock starts %s from the time of day", age)
	}
	clock.Sleep(10 * time.Millisecond)
	if got := clock.Since(began); got < 10*time.Millisecond {
		t.Errorf("since = %s after 10 ms", got)
	}
	if got := clock.Until(began.Add(time.Hour)); got > time.Hour || got < 59*time.Minute {
		t.Errorf("until = %s, want almost an hour", got)
	}
}
