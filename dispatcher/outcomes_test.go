package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/dispatcher"
	"apricotwinch/standin/recorder"
)

const request = "POST /v1/services/orders/requests"

// echo answers with the body that it got and counts how often it ran.
func echo(runs *atomic.Int64) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		number := runs.Add(1)
		data, _ := io.ReadAll(r.Body)
		fmt.Fprintf(rw, "%s %d", data, number)
	}
}

// together makes the calls at once and returns how they ended, in order.
func together(count int, call func(n int) answer) []string {
	var group sync.WaitGroup
	ends := make([]string, count)
	for n := range count {
		group.Go(func() {
			got := call(n)
			ends[n] = got.kind
			if got.kind == "" {
				ends[n] = fmt.Sprint(got.status)
			}
		})
	}
	group.Wait()
	slices.Sort(ends)
	return ends
}

// TestRacingEdits makes edits that are based on one revision at once.
func TestRacingEdits(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	ends := together(4, func(n int) answer {
		return w.call(t, "PUT /v1/settings/teams/ketioli/services/new", ketioli,
			fmt.Sprintf(`{"base":0,"value":{"urgency":"batch","timeoutMillis":%d}}`, n+1))
	})
	if diff := cmp.Diff([]string{"200", "conflict", "conflict", "conflict"}, ends); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
}

// TestRacingSubmissions submits different jobs with one key at once.
func TestRacingSubmissions(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	submit := func(n int) answer {
		return w.call(t, "POST /v1/jobs", ketioli, change(`"tasks":1`, fmt.Sprintf(`"tasks":%d`, n+1)), "Idempotency-Key", "monday")
	}
	if diff := cmp.Diff([]string{"202", "conflict", "conflict", "conflict"}, together(4, submit)); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	body := change(`"tasks"`, `"payload":"","tasks"`)
	first := w.call(t, "POST /v1/jobs", ketioli, body, "Idempotency-Key", "tuesday")
	second := w.call(t, "POST /v1/jobs", ketioli, body, "Idempotency-Key", "tuesday")
	if diff := cmp.Diff(first.body, second.body); diff != "" || first.status != http.StatusAccepted {
		t.Errorf("the same job again (-want +got):\n%s", diff)
	}
}

// TestKeyedRequests sends one key often: the target runs once.
func TestKeyedRequests(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	var runs atomic.Int64
	w.addTarget(t, echo(&runs))
	send := func(body string) answer { return w.call(t, request, ketioli, body, "Idempotency-Key", "k") }
	if diff := cmp.Diff([]string{"200", "200", "200"}, together(3, func(int) answer { return send("buy") })); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	if got := send("buy"); got.body != "buy 1" || runs.Load() != 1 {
		t.Errorf("answer %d %q after %d runs", got.status, got.body, runs.Load())
	}
	if got := send("sell"); got.kind != "conflict" || !strings.Contains(got.text, "key") || !got.notRun {
		t.Errorf("another body: %d %s", got.status, got.body)
	}
}

// TestLogDown takes the log away: what needs it is refused as not run, and
// idempotent requests go on; nothing that was refused happens later.
func TestLogDown(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	var runs atomic.Int64
	w.addTarget(t, echo(&runs))
	submitted := w.call(t, "POST /v1/jobs", ketioli, change(`"batch","urgency"`, `"watch","urgency"`))
	id := strings.Split(submitted.body, `"`)[3]
	before := w.records()
	w.down(t)
	eventually(t, "the entry to see it", func() bool {
		return strings.Contains(w.call(t, request, ketioli, "buy", "Idempotency-Key", "k").text, "the log is failing")
	})
	calls := []struct {
		what, body string
		headers    []string
	}{
		{request, "buy", []string{"Idempotency-Key", "k"}},
		{"POST /v1/jobs", job, nil},
		{"POST /v1/jobs", job, []string{"Idempotency-Key", "k"}},
		{"DELETE /v1/jobs/" + id, "", nil},
		{"PUT /v1/settings/teams/ketioli/services/new", `{"base":0,"value":{"urgency":"batch","timeoutMillis":1}}`, nil},
	}
	for _, call := range calls {
		eventually(t, call.what+" is refused", func() bool {
			got := w.call(t, call.what, ketioli, call.body, call.headers...)
			if got.kind == "" {
				t.Fatalf("%s: %d %s", call.what, got.status, got.body)
			}
			return got.kind == "log_unavailable" && got.notRun && got.header.Get("Retry-After") != ""
		})
	}
	if got := w.call(t, request, ketioli, "urgent", "X-Idempotent", "true"); got.body != "urgent 1" {
		t.Errorf("idempotent request: %d %s", got.status, got.body)
	}
	w.log.SetFaults(recorder.Faults{})
	eventually(t, "submissions again", func() bool { return w.call(t, "POST /v1/jobs", ketioli, job).status == http.StatusAccepted })
	if diff := cmp.Diff(before+1, w.records()); diff != "" || runs.Load() != 1 {
		t.Errorf("records (-want +got):\n%s%d runs", diff, runs.Load())
	}
}

// TestDrain shuts the entry down while a request is in flight.
func TestDrain(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	w.addTarget(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		fmt.Fprint(rw, "done")
	}))
	inFlight := make(chan answer, 1)
	go func() { inFlight <- w.call(t, request, ketioli, "", "X-Idempotent", "true") }()
	<-arrived
	stopped := make(chan struct{})
	go func() { defer close(stopped); w.stop() }()
	eventually(t, "readiness to go", func() bool {
		got := w.call(t, "GET /readyz", "", "")
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "draining")
	})
	if got := w.call(t, request, ketioli, "", "X-Idempotent", "true"); got.kind != "draining" || !got.notRun {
		t.Errorf("new request: %d %s", got.status, got.body)
	}
	close(release)
	if got := <-inFlight; got.body != "done" {
		t.Errorf("request in flight: %d %s", got.status, got.body)
	}
	<-stopped
}

// TestFollowOutlastsReadTimeout follows a job for longer than a call may take to
// arrive.
func TestFollowOutlastsReadTimeout(t *testing.T) {
	w := start(t, func(s *dispatcher.Settings) { s.Limits.ReadMillis = 300 })
	w.configure(t)
	submitted := w.call(t, "POST /v1/jobs", ketioli, job)
	id := strings.Split(submitted.body, `"`)[3]
	eventually(t, "the job", func() bool { return w.call(t, "GET /v1/jobs/"+id, ketioli, "").status == http.StatusOK })
	_, reader := w.send(t, "GET /v1/jobs/"+id+"/progress HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer "+ketioli+"\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	time.Sleep(time.Second)
	w.call(t, "DELETE /v1/jobs/"+id, ketioli, "")
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if !strings.Contains(last, `"canceled":true`) {
		t.Errorf("last line: %s", last)
	}
}

// TestSubmittedJobShows looks for each job at once after its submission.
func TestSubmittedJobShows(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	for range 100 {
		id := strings.Split(w.call(t, "POST /v1/jobs", ketioli, job).body, `"`)[3]
		if got := w.call(t, "GET /v1/jobs/"+id, ketioli, ""); got.status != http.StatusOK {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
}

// abort counts a run and loses its answer.
func abort(runs *atomic.Int64) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// TestLostAnswerStaysUnknown has the only target lose its answer to an idempotent
// request: that no other target is left doesn't make it a request that did not run.
func TestLostAnswerStaysUnknown(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	var runs atomic.Int64
	w.addTarget(t, abort(&runs))
	got := w.call(t, request, ketioli, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || got.notRun || runs.Load() == 0 {
		t.Errorf("%d %s after %d runs", got.status, got.body, runs.Load())
	}
}

// TestServiceSettings sets what a service allows: one attempt, and then only
// another data centre than that of its target.
func TestServiceSettings(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	w.set(t, operator, "dataCentres/ulemiste", `{"region":"harju"}`)
	var runs atomic.Int64
	w.addTarget(t, abort(&runs))
	set := func(value string) {
		t.Helper()
		leaf := w.call(t, "GET /v1/settings/teams/ketioli/services/orders", ketioli, "").body
		_, rest, _ := strings.Cut(leaf, `"revision":`)
		base, _, _ := strings.Cut(rest, ",")
		if got := w.call(t, "PUT /v1/settings/teams/ketioli/services/orders", ketioli, `{"base":`+base+`,"value":`+value+`}`); got.status != http.StatusOK {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	set(`{"urgency":"critical","timeoutMillis":30000,"maxAttempts":1}`)
	got := w.call(t, request, ketioli, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || w.counter("requests.max_attempts") != 1 {
		t.Errorf("one attempt: %d %s, counter %d", got.status, got.body, w.counter("requests.max_attempts"))
	}
	ran := runs.Load()
	set(`{"urgency":"critical","timeoutMillis":30000,"dataCentres":["ulemiste"]}`)
	if got := w.call(t, request, ketioli, "urgent", "X-Idempotent", "true"); got.kind != "no_target" || !got.notRun || runs.Load() != ran {
		t.Errorf("another data centre: %d %s after %d runs", got.status, got.body, runs.Load()-ran)
	}
}

// TestLostAnswerIsNotCalledNotRun lets the only target break off its answer: the
// second try of the idempotent request finds no other target, and the caller must
// still not be told that the request did not run.
func TestLostAnswerIsNotCalledNotRun(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	var runs atomic.Int64
	w.addTarget(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	got := w.call(t, request, ketioli, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || got.notRun || runs.Load() == 0 {
		t.Errorf("after %d runs: %d %s, not run %v", runs.Load(), got.status, got.body, got.notRun)
	}
}

// TestDuplicateWithoutTarget sends a key again when no target may serve it any
// more: the caller gets the first outcome, and is not told that it did not run.
func TestDuplicateWithoutTarget(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	w.set(t, operator, "dataCentres/ulemiste", `{"region":"harju"}`)
	var runs atomic.Int64
	w.addTarget(t, echo(&runs))
	first := w.call(t, request, ketioli, "buy", "Idempotency-Key", "k")
	leaf := w.call(t, "GET /v1/settings/teams/ketioli/services/orders", ketioli, "").body
	_, rest, _ := strings.Cut(leaf, `"revision":`)
	base, _, _ := strings.Cut(rest, ",")
	elsewhere := `{"base":` + base + `,"value":{"urgency":"critical","timeoutMillis":30000,"dataCentres":["ulemiste"]}}`
	if got := w.call(t, "PUT /v1/settings/teams/ketioli/services/orders", ketioli, elsewhere); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	second := w.call(t, request, ketioli, "buy", "Idempotency-Key", "k")
	if diff := cmp.Diff(first.body, second.body); diff != "" || runs.Load() != 1 {
		t.Errorf("the same key again (-want +got):\n%s%d runs", diff, runs.Load())
	}
}
