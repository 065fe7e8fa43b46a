package sharer_test

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/sharer"
)

func Example() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	s := sharer.New(sharer.DefaultConfig(), apricotwinch.NewResources(16_000, 64<<30, 0))
	for _, team := range []string{"packers", "sales"} {
		if err := s.SetTeam(team, apricotwinch.NewResources(8000, 32<<30, 0), 1); err != nil {
			fmt.Println(err)
		}
		for task := range 3 {
			id := apricotwinch.NewAttemptID(team, task, 1)
			item := sharer.NewItem(id, team, apricotwinch.Batch, apricotwinch.NewResources(4000, 8<<30, 0))
			if err := s.Submit(now, item, now); err != nil {
				fmt.Println(err)
			}
		}
	}
	for {
		item, ok := s.Next(now)
		if !ok {
			break
		}
		fmt.Println(item.ID())
	}
	// Output:
	// packers/0/1
	// sales/0/1
	// packers/1/1
	// sales/1/1
}
