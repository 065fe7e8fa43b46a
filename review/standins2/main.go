// Command standins2 plays the scripted cases of the second review: it starts the entries and agents of a small deployment
// as processes, with stand-ins of the platform's store, the executors and the clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay is how long a case may take.
const maxPlay = 115 * time.Second

// errBroken is the error of a case in which a rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by name. The flag tells whether the disruption is played.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) error{
	"agentkill":   playAgentKill,
	"attempts":    playAttempts,
	"reborn":      playReborn,
	"hostlost":    playHostLost,
	"lastinggang": playLastingGang,
	"largejob":    playLargeJob,
	"largeorders": playLargeOrders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		return exitNotRun
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxPlay)
	defer cancel()
	f, err := newFleet(log)
	if err != nil {
		log.printf("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	switch err := cases[os.Args[1]](ctx, f, os.Getenv("TROUBLE") != "0"); {
	case errors.Is(err, errBroken):
		log.printf("result: %v", err)
		return exitBroken
	case err != nil:
		log.printf("not run: %v", err)
		return exitNotRun
	}
	log.printf("result: the rule held")
	return exitHeld
}
