package deduplicator_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/deduplicator"
	"apricotwinch/messenger"
)

func newRequest(id, entry, bodyHash string, gone bool) *deduplicator.Request {
	spec := deduplicator.NewSpec(id, "t", "s", "k", bodyHash, start.Add(10*time.Second))
	self := messenger.EntryAddress{Entry: entry, Incarnation: entry + "-1"}
	return deduplicator.NewRequest(spec, self, deduplicator.NewTarget("host-"+id, "i", 70), func(string, string) bool { return gone })
}

func describe(actions []deduplicator.Action) string {
	var all []string
	for _, a := range actions {
		switch a.Type() {
		case deduplicator.ClaimKey, deduplicator.Append:
			all = append(all, fmt.Sprintf("%s %s of %s, ticket %d", a.Type(), a.Record().Type, a.Record().Request, a.Record().TicketMillis))
		case deduplicator.Dispatch, deduplicator.Ask:
			all = append(all, fmt.Sprintf("%s %s at %s, ticket %d", a.Type(), a.Request(), a.Target().Host(), a.Target().TicketMillis()))
		case deduplicator.Answer:
			all = append(all, fmt.Sprintf("answer %s: %s", a.Reply().Request, a.Reply().Body))
		case deduplicator.Refuse:
			kind := apricotwinch.KindOf(a.Err())
			all = append(all, fmt.Sprintf("refuse %s, not run %v: %v", kind, kind.Answer().NotRun(), a.Err()))
		}
	}
	return strings.Join(all, "; ")
}

// TestRequestTrace holds what a request does in each case in a golden file.
func TestRequestTrace(t *testing.T) {
	var got strings.Builder
	var folder *deduplicator.Folder
	var request *deduplicator.Request
	now := start
	begin := func(name string, q *deduplicator.Request, records ...messenger.KeyRecord) {
		fmt.Fprintf(&got, "\n%s\n", name)
		folder, request, now = newFolder(), q, start
		for offset, r := range records {
			folder.Fold(now, int64(offset), r)
		}
		fmt.Fprintf(&got, "  start: %s\n", describe(request.Step(now, folder)))
	}
	step := func(name string) { fmt.Fprintf(&got, "  %s: %s\n", name, describe(request.Step(now, folder))) }
	fold := func(r messenger.KeyRecord) {
		folder.Fold(now, folder.Next(), r)
		step("folded " + r.Type + " of " + r.Request)
	}
	claimAndWin := func() {
		request.ClaimEnded(folder.Next(), nil)
		step("claim landed")
		fold(record(messenger.KeyClaimed, "a", ""))
	}
	answered := messenger.DispatchReply{Outcome: messenger.OutcomeAnswered, Body: []byte("paid"), Request: "a"}

	begin("answered", newRequest("a", "e", "h", false))
	claimAndWin()
	request.Dispatched(answered)
	step("answered")
	step("again")

	begin("refused by the agent", newRequest("a", "e", "h", false))
	claimAndWin()
	request.Dispatched(messenger.DispatchReply{Outcome: messenger.OutcomeRefused, Kind: string(apricotwinch.NoCapacity), Text: "full"})
	step("refused")

	begin("reply lost, then withdrawn", newRequest("a", "e", "h", false))
	claimAndWin()
	request.Dispatched(messenger.DispatchReply{Outcome: messenger.OutcomeUnknown})
	step("reply lost")
	request.Asked("a", messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.Unreachable, "cut"))
	step("host not reached")
	now = now.Add(time.Second)
	step("a second later")
	request.Asked("a", messenger.RevokeReply{Revoked: true}, nil)
	step("withdrawn")

	begin("reply lost, agent replaced", newRequest("a", "e", "h", false))
	claimAndWin()
	request.Dispatched(messenger.DispatchReply{Outcome: messenger.OutcomeUnknown})
	step("reply lost")
	request.Asked("a", messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "new"))
	step("asked")

	begin("reply lost, still running at the deadline", newRequest("a", "e", "h", false))
	claimAndWin()
	request.Dispatched(messenger.DispatchReply{Outcome: messenger.OutcomeUnknown})
	step("reply lost")
	request.Asked("a", messenger.RevokeReply{}, nil)
	now = now.Add(10 * time.Second)
	step("deadline")

	begin("log down", newRequest("a", "e", "h", false))
	request.ClaimEnded(0, apricotwinch.Errorf(apricotwinch.LogUnavailable, "down"))
	step("claim not sent")

	begin("claim may land", newRequest("a", "e", "h", false))
	request.ClaimEnded(0, errors.New("lost"))
	step("claim unknown")

	begin("fold stands still", newRequest("a", "e", "h", false))
	request.ClaimEnded(0, nil)
	now = now.Add(10 * time.Second)
	step("deadline")

	begin("withdrawn by another entry before the verdict was folded", newRequest("a", "e", "h", false))
	folder.Fold(now, 0, record(messenger.KeyClaimed, "a", ""))
	folder.Fold(now, 1, record(messenger.KeyReleased, "a", ""))
	request.ClaimEnded(0, nil)
	step("claim landed")

	begin("lost the race", newRequest("a", "e", "h", false))
	folder.Fold(now, 0, record(messenger.KeyClaimed, "b", ""))
	request.ClaimEnded(1, nil)
	step("claim landed")
	fold(record(messenger.KeyClaimed, "a", ""))
	fold(record(messenger.KeySettled, "b", "paid by b"))

	begin("another body", newRequest("a", "e", "other", false), record(messenger.KeyClaimed, "b", ""))
	begin("duplicate of a settled key", newRequest("a", "e", "h", false), record(messenger.KeyClaimed, "b", ""), record(messenger.KeySettled, "b", "paid by b"))
	begin("duplicate of an unknown outcome", newRequest("a", "e", "h", false), record(messenger.KeyClaimed, "b", ""), record(messenger.KeySettled, "b", "?"))
	begin("duplicate of a released key", newRequest("a", "e", "h", false), record(messenger.KeyClaimed, "b", ""), record(messenger.KeyReleased, "b", ""))

	begin("duplicate at the deadline", newRequest("a", "e", "h", false), record(messenger.KeyClaimed, "b", ""))
	now = now.Add(10 * time.Second)
	step("deadline")

	begin("claimant gone, its host answered", newRequest("a", "e", "h", true), record(messenger.KeyClaimed, "b", ""))
	request.Asked("b", messenger.RevokeReply{Reply: &messenger.DispatchReply{Outcome: messenger.OutcomeAnswered, Body: []byte("paid by b")}}, nil)
	step("asked")

	begin("claimant gone, never sent", newRequest("a", "e", "h", true), record(messenger.KeyClaimed, "b", ""))
	request.Asked("b", messenger.RevokeReply{Revoked: true}, nil)
	step("asked")
	fold(record(messenger.KeyReleased, "b", ""))

	begin("claimant gone, its host has forgotten the request", newRequest("a", "e", "h", true), record(messenger.KeyClaimed, "b", ""))
	request.Asked("b", messenger.RevokeReply{Forgotten: true}, nil)
	step("asked")

	begin("late reply about an earlier claim", newRequest("a", "e", "h", true), record(messenger.KeyClaimed, "b", ""))
	fold(record(messenger.KeyReleased, "b", ""))
	request.ClaimEnded(2, nil)
	fold(record(messenger.KeyClaimed, "c", ""))
	fold(record(messenger.KeyClaimed, "a", ""))
	now = now.Add(time.Second)
	step("a second later")
	request.Asked("b", messenger.RevokeReply{Revoked: true}, nil)
	step("host of b answers")

	begin("claimant comes back while its host is asked", newRequest("a", "e", "h", true), record(messenger.KeyClaimed, "b", ""))
	fold(record(messenger.KeySettled, "b", "paid by b"))

	goldie.New(t).Assert(t, "requests", []byte(got.String()))
}
