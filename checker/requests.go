package checker

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"apricotwinch/standin/journaler"
	"apricotwinch/standin/responder"
)

// checkRanAfterNotRun finds requests and jobs that ran though every answer to
// them said that they were not run.
func checkRanAfterNotRun(f *facts) []string {
	outcomes := make(map[string][]Outcome)
	for _, request := range f.Requests {
		outcomes[request.BodyHash] = append(outcomes[request.BodyHash], request.Outcome)
	}
	for _, job := range f.Jobs {
		outcomes[job.BodyHash] = append(outcomes[job.BodyHash], job.Outcome)
	}
	var found []string
	for _, entry := range f.Journal {
		if entry.Event != journaler.RequestStarted && entry.Event != journaler.TaskStarted {
			continue
		}
		told := outcomes[entry.BodyHash]
		if len(told) > 0 && !slices.ContainsFunc(told, mayRun) {
			found = append(found, fmt.Sprintf("%s%s ran on %s at %s", entry.Request, entry.Job, entry.Host, stamp(entry.At)))
		}
	}
	return found
}

func mayRun(outcome Outcome) bool { return outcome != NotRun && outcome != NotConnected }

// checkRanTwice finds requests that are not idempotent and ran more than once,
// alone or under one key.
func checkRanTwice(f *facts) []string {
	bodies := make(map[string][]string)
	for _, request := range f.Requests {
		if name := onceName(request); name != "" && !slices.Contains(bodies[name], request.BodyHash) {
			bodies[name] = append(bodies[name], request.BodyHash)
		}
	}
	var found []string
	for name, hashes := range bodies {
		var runs []string
		for _, hash := range hashes {
			for _, entry := range f.starts[hash] {
				runs = append(runs, fmt.Sprintf("%s at %s", entry.Host, stamp(entry.At)))
			}
		}
		sort.Strings(runs)
		if len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran on %v", name, runs))
		}
	}
	return found
}

// onceName names what may run at most once: a key, or a request without one;
// an idempotent request has no such name.
func onceName(request Request) string {
	switch {
	case request.Key != "":
		return "key " + request.Key
	case request.Idempotent:
		return ""
	}
	return "request of " + request.Caller
}

// checkWrongAnswer finds answers that are not whole, not the caller's own, or
// for a request that no target answered.
func checkWrongAnswer(f *facts) []string {
	ran := make(map[string]bool)
	for _, entry := range f.Journal {
		if entry.Event == journaler.RequestEnded && entry.Phase == responder.PhaseAnswered {
			ran[entry.BodyHash] = true
		}
	}
	var found []string
	for _, request := range f.Requests {
		if request.Outcome != Answered {
			continue
		}
		if text := wrongAnswer(request, ran); text != "" {
			found = append(found, fmt.Sprintf("%s at %s: %s", request.Caller, stamp(request.ReceivedAt), text))
		}
	}
	return found
}

func wrongAnswer(request Request, ran map[string]bool) string {
	var answer responder.Answer
	if err := json.Unmarshal(request.Answer, &answer); err != nil {
		return fmt.Sprintf("answer of %d bytes is not whole: %v", len(request.Answer), err)
	}
	if answer.Service != request.Service || answer.BodyHash != request.BodyHash {
		return fmt.Sprintf("answer is for body %.8s of %s, sent %.8s to %s",
			answer.BodyHash, answer.Service, request.BodyHash, request.Service)
	}
	if !ran[request.BodyHash] {
		return "no target answered the request"
	}
	return ""
}

// checkLeavingServed finds requests that started at a target long after it
// announced its leave.
func checkLeavingServed(f *facts) []string {
	var found []string
	for _, leave := range f.Journal {
		if leave.Event != journaler.Leaving {
			continue
		}
		for _, entry := range f.Journal {
			if entry.Event == journaler.RequestStarted && entry.Host == leave.Host &&
				entry.Service == leave.Service && entry.At.After(leave.At.Add(LeaveBound)) {
				found = append(found, fmt.Sprintf("%s started on %s at %s; it leaves since %s",
					entry.Request, entry.Host, stamp(entry.At), stamp(leave.At)))
			}
		}
	}
	return found
}

// checkCutOff finds requests in flight whose connection broke during a graceful
// shutdown.
func checkCutOff(f *facts) []string {
	var found []string
	for _, request := range f.Requests {
		if request.Outcome != Broken {
			continue
		}
		for _, shutdown := range f.Shutdowns {
			if shutdown.meets(request.SentAt, request.ReceivedAt) {
				found = append(found, fmt.Sprintf("%s (%s) during the shutdown of %s",
					request.Caller, span(request.SentAt, request.ReceivedAt), shutdown.Place))
			}
		}
	}
	return found
}
