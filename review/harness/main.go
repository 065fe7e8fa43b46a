// Command harness plays the scripted cases of the review. It starts the project's programs as
// separate processes, stands in for the platform's store, the executors and the clients, and
// checks one rule from what these have seen.
//
// It exits with status 1 if the rule was broken, 0 if it held and 2 if the case could not be
// played.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseDuration = 110 * time.Second
)

// scenario is one case. It returns the violations of the rule that it checks. trouble is false for
// the control run, which has no disruption.
type scenario struct {
	play func(ctx context.Context, f *fleet, trouble bool) ([]string, error)
	// hosts is the number of hosts with an executor.
	hosts int
	// label returns the kind label of the executor of a host.
	label func(host int) string
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/apricotwinch", "the program under test")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", *name)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseDuration)
	defer cancel()
	record, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, trouble %t", *name, trouble)
	violations, err := playIn(ctx, record, *program, s, trouble)
	if err != nil {
		record.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		record.printf("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}
	record.printf("violations: %d", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}

// playIn plays a scenario in a fleet of its own.
func playIn(ctx context.Context, record *record, program string, s scenario, trouble bool) ([]string, error) {
	f, err := newFleet(ctx, record, program, s)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	return s.play(ctx, f, trouble)
}
