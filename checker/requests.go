package checker

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"apricotwinch/standin/journaler"
	"apricotwinch/standin/responder"
)

// checkRanAfterNotRun finds requests and jobs that ran although every outcome that their
// callers received says that they were not run.
func checkRanAfterNotRun(index *evidenceIndex) []string {
	outcomes := make(map[string][]Outcome)
	for _, request := range index.Requests {
		outcomes[request.BodyHash] = append(outcomes[request.BodyHash], request.Outcome)
	}
	for _, job := range index.Jobs {
		outcomes[job.BodyHash] = append(outcomes[job.BodyHash], job.Outcome)
	}
	var found []string
	for _, entry := range index.Journal {
		if entry.Event != journaler.RequestStarted && entry.Event != journaler.TaskStarted {
			continue
		}
		received := outcomes[entry.BodyHash]
		if len(received) > 0 && !slices.ContainsFunc(received, mayHaveRun) {
			found = append(found, fmt.Sprintf("%s%s ran on %s at %s", entry.Request, entry.Job, entry.Host, formatTime(entry.At)))
		}
	}
	return found
}

func mayHaveRun(outcome Outcome) bool { return outcome != NotRun && outcome != NotConnected }

// checkRanTwice finds requests that are not idempotent and ran more than once, on their own
// or under a shared key.
func checkRanTwice(index *evidenceIndex) []string {
	bodies := make(map[string][]string)
	for _, request := range index.Requests {
		if name := atMostOnceName(request); name != "" && !slices.Contains(bodies[name], request.BodyHash) {
			bodies[name] = append(bodies[name], request.BodyHash)
		}
	}
	var found []string
	for name, hashes := range bodies {
		var runs []string
		for _, hash := range hashes {
			for _, entry := range index.requestStarts[hash] {
				runs = append(runs, fmt.Sprintf("%s at %s", entry.Host, formatTime(entry.At)))
			}
		}
		sort.Strings(runs)
		if len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran on %v", name, runs))
		}
	}
	return found
}

// atMostOnceName names what may run at most once: a key, or a single request without one.
// It returns the empty string for an idempotent request without a key.
func atMostOnceName(request Request) string {
	switch {
	case request.Key != "":
		return "key " + request.Key
	case request.Idempotent:
		return ""
	}
	return "request of " + request.Caller
}

// checkWrongAnswer finds answers that are incomplete, that belong to another request, or to
// a request that no target answered.
func checkWrongAnswer(index *evidenceIndex) []string {
	answered := make(map[string]bool)
	for _, entry := range index.Journal {
		if entry.Event == journaler.RequestEnded && entry.Phase == responder.PhaseAnswered {
			answered[entry.BodyHash] = true
		}
	}
	var found []string
	for _, request := range index.Requests {
		if request.Outcome != Answered {
			continue
		}
		if text := describeWrongAnswer(request, answered); text != "" {
			found = append(found, fmt.Sprintf("%s at %s: %s", request.Caller, formatTime(request.ReceivedAt), text))
		}
	}
	return found
}

func describeWrongAnswer(request Request, answered map[string]bool) string {
	var answer responder.Answer
	if err := json.Unmarshal(request.Answer, &answer); err != nil {
		return fmt.Sprintf("answer of %d bytes is incomplete: %v", len(request.Answer), err)
	}
	if answer.Service != request.Service || answer.BodyHash != request.BodyHash {
		return fmt.Sprintf("answer is for body %.8s of service %s, but body %.8s was sent to service %s",
			answer.BodyHash, answer.Service, request.BodyHash, request.Service)
	}
	if !answered[request.BodyHash] {
		return "no target answered the request"
	}
	return ""
}

// checkServedAfterLeaving finds requests that started at a target later than
// MaxRequestAfterLeave after it announced that it is leaving.
func checkServedAfterLeaving(index *evidenceIndex) []string {
	var found []string
	for _, leaving := range index.Journal {
		if leaving.Event != journaler.Leaving {
			continue
		}
		for _, entry := range index.Journal {
			if entry.Event == journaler.RequestStarted && entry.Host == leaving.Host &&
				entry.Service == leaving.Service && entry.At.After(leaving.At.Add(MaxRequestAfterLeave)) {
				found = append(found, fmt.Sprintf("%s started on %s at %s; it announced its leaving at %s",
					entry.Request, entry.Host, formatTime(entry.At), formatTime(leaving.At)))
			}
		}
	}
	return found
}

// checkBrokenByShutdown finds requests in flight whose connection broke during a graceful
// shutdown.
func checkBrokenByShutdown(index *evidenceIndex) []string {
	var found []string
	for _, request := range index.Requests {
		if request.Outcome != Broken {
			continue
		}
		for _, shutdown := range index.Shutdowns {
			if shutdown.overlaps(request.SentAt, request.ReceivedAt) {
				found = append(found, fmt.Sprintf("%s (%s): connection broke during the shutdown of %s",
					request.Caller, formatSpan(request.SentAt, request.ReceivedAt), shutdown.Subject))
			}
		}
	}
	return found
}
