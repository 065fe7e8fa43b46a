// Package preemptor chooses the long-running runs that give their room to other work while there isn't room for all:
// to urgent work, and to workloads of their own kind that have less than their share.
//
// It does no I/O, reads no clock and keeps no state.
package preemptor

import (
	"cmp"

	"apricotwinch"
)

// Workload is a long-running workload whose runs may give way.
type Workload struct {
	// Tasks is the number of its tasks, and Running that of those with a run that goes on.
	Tasks, Running int
	// MaxStops bounds the runs that may be stopped now.
	MaxStops int
}

// Run is a run that may give way.
type Run struct {
	Workload string
	Need     apricotwinch.Resources
}

// Executor is an executor on which room is looked for. Free is what is free there, or will be once runs have ended that
// were ordered to stop.
type Executor struct {
	Free apricotwinch.Resources
	Runs []Run
}

// Request asks for room for a task.
type Request struct {
	Need apricotwinch.Resources
	// LeastShare is the share of its tasks, 0 to 1, that each workload which gives way must keep running.
	LeastShare float64
}

// Choice is what has to stop for a task: runs of one executor.
type Choice struct {
	// Executor is the index of the executor, and Runs holds those of its runs, in increasing order.
	Executor int
	Runs     []int
	// Freed is what these runs hold.
	Freed apricotwinch.Resources
	// share is the least share of its tasks that a workload keeps which gives way.
	share float64
	// left is what stays free beside the task, in thousandths of a processor.
	left int64
}

// Choose returns the runs that have to stop for a task: as few as possible, at most two, of workloads that keep as large
// a share of their tasks as possible, where the room fits best. ok is false if there are none, also if the task fits
// somewhere already.
func Choose(r Request, workloads map[string]Workload, executors []Executor) (best Choice, ok bool) {
	for at, e := range executors {
		if r.Need.Fits(e.Free) {
			return Choice{}, false
		}
		for first := range e.Runs {
			if choice, possible := choose(r, workloads, e, at, first); possible && (!ok || compare(choice, best) < 0) {
				best, ok = choice, true
			}
			for second := first + 1; second < len(e.Runs) && (!ok || len(best.Runs) > 1); second++ {
				if choice, possible := choose(r, workloads, e, at, first, second); possible && (!ok || compare(choice, best) < 0) {
					best, ok = choice, true
				}
			}
		}
	}
	return best, ok
}

// compare orders choices, the better one first.
func compare(a, b Choice) int {
	return cmp.Or(cmp.Compare(len(a.Runs), len(b.Runs)), cmp.Compare(b.share, a.share), cmp.Compare(a.left, b.left))
}

// choose returns the choice of some runs of an executor. ok is false if they don't make room for the task, or their
// workloads would keep too little.
func choose(r Request, workloads map[string]Workload, e Executor, at int, runs ...int) (choice Choice, ok bool) {
	choice = Choice{Executor: at, Runs: runs, share: 1}
	stops := map[string]int{}
	for _, i := range runs {
		stops[e.Runs[i].Workload]++
		choice.Freed = choice.Freed.Add(e.Runs[i].Need)
	}
	room := e.Free.Add(choice.Freed)
	if !r.Need.Fits(room) {
		return Choice{}, false
	}
	choice.left = room.Sub(r.Need).ProcessorMillis()
	for name, n := range stops {
		w := workloads[name]
		if n > w.MaxStops {
			return Choice{}, false
		}
		choice.share = min(choice.share, float64(w.Running-n)/float64(max(1, w.Tasks)))
	}
	return choice, choice.share >= r.LeastShare
}
