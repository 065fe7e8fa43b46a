package estimator_test

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/estimator"
)

func Example() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	e := estimator.New(estimator.DefaultConfig())
	class := estimator.NewClass("packers", "routes")
	declared := apricotwinch.NewResources(4000, 1000, 0)
	for range 200 {
		used := apricotwinch.NewResources(1900, 1200, 0)
		e.Observe(estimator.NewSample(class, used, declared, now.Add(-30*time.Second)))
	}
	fmt.Println(e.Size(now, class, declared))
	fmt.Println(e.Size(now, estimator.NewClass("packers", "labels"), declared))
	// Output:
	// 2014m/1320B/0a
	// 4000m/1000B/0a
}
