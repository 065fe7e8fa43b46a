package checker_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/checker"
	"apricotwinch/standin/journaler"
	"apricotwinch/standin/responder"
)

// at returns a time of the run, in seconds from its start.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).UTC().Add(time.Duration(seconds * float64(time.Second)))
}

// attempt returns the entries of one attempt; without a phase it never ends.
func attempt(job string, number int, host string, from, to float64, phase string) []journaler.Entry {
	start := journaler.Entry{
		Event: journaler.TaskStarted, Host: host, DataCentre: "dc-" + host, At: at(from), Job: job,
		Attempt: number, ProcessorMillis: 1000, BodyHash: journaler.Hash([]byte(job)),
	}
	if phase == "" {
		return []journaler.Entry{start}
	}
	end := start
	end.Event, end.At, end.Phase = journaler.TaskEnded, at(to), phase
	end.ProgressMillis = int((to - from) * 1000)
	return []journaler.Entry{start, end}
}

func served(id, host string, from, to float64) []journaler.Entry {
	start := journaler.Entry{
		Event: journaler.RequestStarted, Host: host, Service: "s", Request: id, At: at(from),
		BodyHash: journaler.Hash([]byte(id)),
	}
	end := start
	end.Event, end.At, end.Phase = journaler.RequestEnded, at(to), responder.PhaseAnswered
	return []journaler.Entry{start, end}
}

func answer(body string) []byte {
	encoded, err := json.Marshal(responder.Answer{Service: "s", BodyHash: journaler.Hash([]byte(body))})
	if err != nil {
		panic(err)
	}
	return encoded
}

func request(body string, outcome checker.Outcome) checker.Request {
	return checker.Request{
		Caller: "caller of " + body, Service: "s", BodyHash: journaler.Hash([]byte(body)),
		SentAt: at(1), ReceivedAt: at(3), Outcome: outcome, Answer: answer(body),
	}
}

// clean returns the evidence of a run that kept every promise.
func clean() checker.Evidence {
	evidence := checker.Evidence{
		Until: at(100),
		Requests: []checker.Request{
			request("r1", checker.Answered),
			request("refused", checker.NotRun),
		},
		Jobs: []checker.Job{
			{ID: "j1", BodyHash: journaler.Hash([]byte("j1")), Tasks: 1, Outcome: checker.Answered, Completed: []int{0}},
			{ID: "w1", BodyHash: journaler.Hash([]byte("w1")), Tasks: 1, Watch: true, Outcome: checker.Answered},
			{BodyHash: journaler.Hash([]byte("refused job")), Tasks: 1, Outcome: checker.NotRun},
		},
		Outs:       []checker.Window{{Place: "dc-h1", From: at(50), To: at(70)}},
		Shutdowns:  []checker.Window{{Place: "entry", From: at(10), To: at(20)}},
		Capacities: map[string]apricotwinch.Resources{"h1": apricotwinch.NewResources(2000, 0, 0)},
		Accepted:   []checker.Setting{{Path: "teams/a", Revision: 5, Value: "1", At: at(10)}},
		Observed: []checker.Setting{
			{Place: "entry", Path: "teams/a", Revision: 3, Value: "0", At: at(12), SeenAt: at(12.1)},
			{Place: "entry", Path: "teams/a", Revision: 5, Value: "1", At: at(16), SeenAt: at(16.5)},
		},
	}
	evidence.Journal = append(evidence.Journal, attempt("j1", 1, "h1", 1, 5, "stopped")...)
	resumed := attempt("j1", 2, "h2", 5, 9, "completed")
	resumed[0].ProgressMillis = 4000
	evidence.Journal = append(evidence.Journal, resumed...)
	evidence.Journal = append(evidence.Journal, attempt("w1", 1, "h1", 2, 0, "")...)
	evidence.Journal = append(evidence.Journal, served("r1", "h1", 1, 2)...)
	evidence.Journal = append(evidence.Journal, journaler.Entry{Event: journaler.Leaving, Host: "h1", Service: "s", At: at(30)})
	return evidence
}

// seeded breaks one promise each.
var seeded = []struct {
	name string
	seed func(*checker.Evidence)
}{
	{"overlapping attempts", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("j1", 3, "h3", 8, 8.5, "failed")...)
	}},
	{"overlap with an attempt that never ended", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("w1", 2, "h3", 99, 0, "")...)
	}},
	{"run again after its completion", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("j1", 3, "h3", 10, 20, "completed")...)
	}},
	{"never completed", func(e *checker.Evidence) {
		e.Jobs = append(e.Jobs, checker.Job{ID: "j2", Tasks: 1, Outcome: checker.Answered})
	}},
	{"told to be done", func(e *checker.Evidence) {
		e.Jobs = append(e.Jobs, checker.Job{ID: "j2", Tasks: 1, Outcome: checker.Answered, Completed: []int{0}})
	}},
	{"done and not told", func(e *checker.Evidence) { e.Jobs[0].Completed = nil }},
	{"watch stopped with its host", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, journaler.Entry{Event: journaler.Killed, Host: "h1", At: at(40)})
	}},
	{"checkpoint not used", func(e *checker.Evidence) { e.Journal[2].ProgressMillis = 0 }},
	{"host over its capacity", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("j3", 1, "h1", 4, 6, "completed")...)
	}},
	{"start in a data centre that is out", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("j3", 1, "h1", 55.1, 56, "completed")...)
	}},
	{"refused request ran", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, served("refused", "h1", 1, 2)...)
	}},
	{"refused job ran", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, attempt("refused job", 1, "h2", 1, 2, "completed")...)
	}},
	{"keyed request ran twice", func(e *checker.Evidence) {
		e.Requests[0].Key = "k"
		e.Journal = append(e.Journal, served("r1", "h2", 3, 4)...)
	}},
	{"keyed request ran with two bodies", func(e *checker.Evidence) {
		first, second := request("a", checker.Unknown), request("b", checker.Unknown)
		first.Key, second.Key = "k", "k"
		e.Requests = append(e.Requests, first, second)
		e.Journal = append(e.Journal, served("a", "h2", 3, 4)...)
		e.Journal = append(e.Journal, served("b", "h2", 3, 4)...)
	}},
	{"request without a key ran twice", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, served("r1", "h2", 3, 4)...)
	}},
	{"answer of another caller", func(e *checker.Evidence) { e.Requests[0].Answer = answer("r2") }},
	{"answer cut short", func(e *checker.Evidence) { e.Requests[0].Answer = answer("r1")[:20] }},
	{"answer that no target gave", func(e *checker.Evidence) {
		e.Requests = append(e.Requests, request("r3", checker.Answered))
	}},
	{"leaving target served", func(e *checker.Evidence) {
		e.Journal = append(e.Journal, served("r4", "h1", 33.1, 34)...)
	}},
	{"cut off at a shutdown", func(e *checker.Evidence) {
		broken := request("r5", checker.Broken)
		broken.ReceivedAt = at(10)
		e.Requests = append(e.Requests, broken)
	}},
	{"setting reverted", func(e *checker.Evidence) {
		e.Observed = append(e.Observed, checker.Setting{Place: "entry", Path: "teams/a", Revision: 3, Value: "0", At: at(17), SeenAt: at(17.1)})
	}},
	{"setting late at a replaced process", func(e *checker.Evidence) {
		e.Observed = append(e.Observed, checker.Setting{Place: "entry2", Path: "teams/a", Revision: 3, Value: "0", At: at(15.1), SeenAt: at(15.2)})
	}},
	{"setting with another value", func(e *checker.Evidence) { e.Observed[1].Value = "2" }},
}

func TestCleanRunHasNoViolation(t *testing.T) {
	if diff := cmp.Diff([]checker.Violation(nil), checker.Check(clean())); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}

func TestSeededViolationsAreFound(t *testing.T) {
	found := map[string]bool{}
	var trace string
	for _, test := range seeded {
		evidence := clean()
		test.seed(&evidence)
		trace += test.name + "\n"
		violations := checker.Check(evidence)
		if len(violations) == 0 {
			t.Errorf("%s: not found", test.name)
		}
		for _, violation := range violations {
			found[violation.Rule] = true
			trace += "\t" + violation.String() + "\n"
		}
	}
	goldie.New(t).Assert(t, "seeded", []byte(trace))
	for _, rule := range checker.Rules() {
		if !found[rule] {
			t.Errorf("rule %s has no seeded violation", rule)
		}
	}
}

// Each of these is close to a violation and allowed.
func TestAllowed(t *testing.T) {
	tests := map[string]func(*checker.Evidence){
		"completed on a host that died, run again": func(e *checker.Evidence) {
			e.Journal = append(e.Journal, journaler.Entry{Event: journaler.Killed, Host: "h2", At: at(9.5)})
			e.Journal = append(e.Journal, attempt("j1", 3, "h3", 10, 20, "completed")...)
		},
		"completed on a host that was cut off, run again": func(e *checker.Evidence) {
			e.CutOffs = []checker.Window{{Place: "h2", From: at(8), To: at(30)}}
			e.Journal = append(e.Journal, attempt("j1", 3, "h3", 10, 20, "completed")...)
		},
		"attempt starts as the one before ends": func(e *checker.Evidence) {
			e.Jobs = append(e.Jobs, checker.Job{ID: "j2", Tasks: 1, Outcome: checker.Answered, Completed: []int{0}})
			e.Journal = append(e.Journal, attempt("j2", 1, "h3", 1, 2, "lapsed")...)
			e.Journal = append(e.Journal, attempt("j2", 2, "h4", 2, 3, "completed")...)
		},
		"attempt starts after the one before died with its host": func(e *checker.Evidence) {
			e.Jobs = append(e.Jobs, checker.Job{ID: "j2", Tasks: 1, Outcome: checker.Answered, Completed: []int{0}})
			e.Journal = append(e.Journal, attempt("j2", 1, "h3", 1, 0, "")...)
			e.Journal = append(e.Journal, journaler.Entry{Event: journaler.Killed, Host: "h3", At: at(2)})
			e.Journal = append(e.Journal, attempt("j2", 2, "h4", 2.5, 3, "completed")...)
		},
		"start within the bound after an out, and after the return": func(e *checker.Evidence) {
			e.Journal = append(e.Journal, attempt("j3", 1, "h1", 54.9, 56, "completed")...)
			e.Journal = append(e.Journal, attempt("j4", 1, "h1", 70.1, 71, "completed")...)
		},
		"idempotent request ran twice": func(e *checker.Evidence) {
			e.Requests[0].Idempotent = true
			e.Journal = append(e.Journal, served("r1", "h2", 3, 4)...)
		},
		"unknown request ran": func(e *checker.Evidence) {
			e.Requests = append(e.Requests, request("r6", checker.Unknown))
			e.Journal = append(e.Journal, served("r6", "h2", 3, 4)...)
		},
		"older revision asked for while a newer one was under way": func(e *checker.Evidence) {
			e.Accepted = nil
			e.Observed = append(e.Observed, checker.Setting{Place: "entry", Path: "teams/a", Revision: 3, At: at(16.2), SeenAt: at(16.3)})
		},
		"connection refused during a shutdown": func(e *checker.Evidence) {
			refused := request("r7", checker.NotConnected)
			refused.SentAt, refused.ReceivedAt = at(11), at(11)
			e.Requests = append(e.Requests, refused)
		},
		"connection broken outside a shutdown": func(e *checker.Evidence) {
			e.Requests = append(e.Requests, request("r8", checker.Broken))
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			evidence := clean()
			change(&evidence)
			if diff := cmp.Diff([]checker.Violation(nil), checker.Check(evidence)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}
