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

	"apricotwinch/appender"
	"apricotwinch/dispatcher"
	"apricotwinch/standin/logserver"
)

const ordersRequest = "POST /v1/services/orders/requests"

// echo returns a handler that answers with the request body and the number of its run.
func echo(runs *atomic.Int64) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		number := runs.Add(1)
		data, _ := io.ReadAll(r.Body)
		fmt.Fprintf(rw, "%s %d", data, number)
	}
}

// concurrently makes count calls at once and returns their outcomes in sorted order:
// the kind of an error, else the status.
func concurrently(count int, call func(n int) answer) []string {
	var group sync.WaitGroup
	outcomes := make([]string, count)
	for n := range count {
		group.Go(func() {
			got := call(n)
			outcomes[n] = got.kind
			if got.kind == "" {
				outcomes[n] = fmt.Sprint(got.status)
			}
		})
	}
	group.Wait()
	slices.Sort(outcomes)
	return outcomes
}

// TestConcurrentEditsOfOneRevision makes edits based on the same revision at once; one
// of them must win.
func TestConcurrentEditsOfOneRevision(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	outcomes := concurrently(4, func(n int) answer {
		return f.call(t, "PUT /v1/settings/teams/ketioli/services/new", ketioliToken,
			fmt.Sprintf(`{"base":0,"value":{"urgency":"batch","timeoutMillis":%d}}`, n+1))
	})
	if diff := cmp.Diff([]string{"200", "conflict", "conflict", "conflict"}, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestConcurrentSubmissionsWithOneKey submits different jobs with one key at once; one
// of them must win. The same job submitted again gets the same answer.
func TestConcurrentSubmissionsWithOneKey(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	submit := func(n int) answer {
		return f.call(t, "POST /v1/jobs", ketioliToken, jobWith(`"tasks":1`, fmt.Sprintf(`"tasks":%d`, n+1)), "Idempotency-Key", "monday")
	}
	if diff := cmp.Diff([]string{"202", "conflict", "conflict", "conflict"}, concurrently(4, submit)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	body := jobWith(`"tasks"`, `"payload":"","tasks"`)
	first := f.call(t, "POST /v1/jobs", ketioliToken, body, "Idempotency-Key", "tuesday")
	second := f.call(t, "POST /v1/jobs", ketioliToken, body, "Idempotency-Key", "tuesday")
	if diff := cmp.Diff(first.body, second.body); diff != "" || first.status != http.StatusAccepted {
		t.Errorf("the same job again (-want +got):\n%s", diff)
	}
}

// TestKeyedRequestRunsOnce sends requests with one key at once and one after another;
// the target must run once.
func TestKeyedRequestRunsOnce(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	var runs atomic.Int64
	f.addTarget(t, echo(&runs))
	send := func(body string) answer { return f.call(t, ordersRequest, ketioliToken, body, "Idempotency-Key", "k") }
	if diff := cmp.Diff([]string{"200", "200", "200"}, concurrently(3, func(int) answer { return send("buy") })); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if got := send("buy"); got.body != "buy 1" || runs.Load() != 1 {
		t.Errorf("answer %d %q after %d runs", got.status, got.body, runs.Load())
	}
	if got := send("sell"); got.kind != "conflict" || !strings.Contains(got.text, "key") || !got.notRun {
		t.Errorf("another body: %d %s", got.status, got.body)
	}
}

// TestLogDown makes the log fail. Calls that need it must be refused as not run,
// idempotent requests must still be answered, and nothing that was refused may take
// effect later.
func TestLogDown(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	var runs atomic.Int64
	f.addTarget(t, echo(&runs))
	submitted := f.call(t, "POST /v1/jobs", ketioliToken, jobWith(`"batch","urgency"`, `"watch","urgency"`))
	id := strings.Split(submitted.body, `"`)[3]
	before := f.records()
	f.failLog(t)
	eventually(t, "the entry to notice the failing log", func() bool {
		return strings.Contains(f.call(t, ordersRequest, ketioliToken, "buy", "Idempotency-Key", "k").text, "the log is failing")
	})
	calls := []struct {
		operation, body string
		headers         []string
	}{
		{ordersRequest, "buy", []string{"Idempotency-Key", "k"}},
		{"POST /v1/jobs", jobBody, nil},
		{"POST /v1/jobs", jobBody, []string{"Idempotency-Key", "k"}},
		{"DELETE /v1/jobs/" + id, "", nil},
		{"PUT /v1/settings/teams/ketioli/services/new", `{"base":0,"value":{"urgency":"batch","timeoutMillis":1}}`, nil},
	}
	for _, call := range calls {
		eventually(t, call.operation+" is refused", func() bool {
			got := f.call(t, call.operation, ketioliToken, call.body, call.headers...)
			if got.kind == "" {
				t.Fatalf("%s: %d %s", call.operation, got.status, got.body)
			}
			return got.kind == "log_unavailable" && got.notRun && got.header.Get("Retry-After") != ""
		})
	}
	if got := f.call(t, ordersRequest, ketioliToken, "urgent", "X-Idempotent", "true"); got.body != "urgent 1" {
		t.Errorf("idempotent request: %d %s", got.status, got.body)
	}
	f.log.SetFaults(logserver.Faults{})
	eventually(t, "an accepted submission", func() bool { return f.call(t, "POST /v1/jobs", ketioliToken, jobBody).status == http.StatusAccepted })
	if diff := cmp.Diff(before+1, f.records()); diff != "" || runs.Load() != 1 {
		t.Errorf("records (-want +got):\n%s%d runs", diff, runs.Load())
	}
}

// TestDrain shuts the entry down while a request is in flight.
func TestDrain(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	f.addTarget(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		fmt.Fprint(rw, "done")
	}))
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.call(t, ordersRequest, ketioliToken, "", "X-Idempotent", "true") }()
	<-arrived
	stopped := make(chan struct{})
	go func() { defer close(stopped); f.stop() }()
	eventually(t, "the entry to be not ready", func() bool {
		got := f.call(t, "GET /readyz", "", "")
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "draining")
	})
	if got := f.call(t, ordersRequest, ketioliToken, "", "X-Idempotent", "true"); got.kind != "draining" || !got.notRun {
		t.Errorf("new request: %d %s", got.status, got.body)
	}
	close(release)
	if got := <-inFlight; got.body != "done" {
		t.Errorf("request in flight: %d %s", got.status, got.body)
	}
	<-stopped
}

// TestFollowOutlastsReadTimeout follows a job for longer than the timeout for reading
// a call.
func TestFollowOutlastsReadTimeout(t *testing.T) {
	f := startEntry(t, func(s *dispatcher.Settings) { s.Limits.ReadMillis = 300 })
	f.configure(t)
	submitted := f.call(t, "POST /v1/jobs", ketioliToken, jobBody)
	id := strings.Split(submitted.body, `"`)[3]
	eventually(t, "the job", func() bool { return f.call(t, "GET /v1/jobs/"+id, ketioliToken, "").status == http.StatusOK })
	_, reader := f.sendRaw(t, "GET /v1/jobs/"+id+"/progress HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer "+ketioliToken+"\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	time.Sleep(time.Second)
	f.call(t, "DELETE /v1/jobs/"+id, ketioliToken, "")
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if !strings.Contains(last, `"canceled":true`) {
		t.Errorf("last line: %s", last)
	}
}

// TestSubmittedJobIsVisible reads each job immediately after its submission.
func TestSubmittedJobIsVisible(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	for range 100 {
		id := strings.Split(f.call(t, "POST /v1/jobs", ketioliToken, jobBody).body, `"`)[3]
		if got := f.call(t, "GET /v1/jobs/"+id, ketioliToken, ""); got.status != http.StatusOK {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
}

// abortAnswer returns a handler that counts its run and aborts the connection without
// an answer.
func abortAnswer(runs *atomic.Int64) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// TestLostAnswerStaysUnknown has the only target abort its answer to an idempotent
// request. The retry finds no other target, but its error must not tell the caller
// that the request did not run.
func TestLostAnswerStaysUnknown(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	var runs atomic.Int64
	f.addTarget(t, abortAnswer(&runs))
	got := f.call(t, ordersRequest, ketioliToken, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || got.notRun || runs.Load() == 0 {
		t.Errorf("%d %s after %d runs", got.status, got.body, runs.Load())
	}
}

// TestServiceSettings limits a service to one attempt, and then to a data centre
// without a target.
func TestServiceSettings(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	f.addSetting(t, operatorToken, "dataCentres/ulemiste", `{"region":"harju"}`)
	var runs atomic.Int64
	f.addTarget(t, abortAnswer(&runs))
	f.setOrders(t, `{"urgency":"critical","timeoutMillis":30000,"maxAttempts":1}`)
	got := f.call(t, ordersRequest, ketioliToken, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || f.counter("requests.max_attempts") != 1 {
		t.Errorf("one attempt: %d %s, counter %d", got.status, got.body, f.counter("requests.max_attempts"))
	}
	ran := runs.Load()
	f.setOrders(t, `{"urgency":"critical","timeoutMillis":30000,"dataCentres":["ulemiste"]}`)
	if got := f.call(t, ordersRequest, ketioliToken, "urgent", "X-Idempotent", "true"); got.kind != "no_target" || !got.notRun || runs.Load() != ran {
		t.Errorf("another data centre: %d %s after %d runs", got.status, got.body, runs.Load()-ran)
	}
}

// TestBrokenConnectionStaysUnknown has the only target close the connection instead of
// answering an idempotent request. The retry finds no other target, but its error must
// not tell the caller that the request did not run.
func TestBrokenConnectionStaysUnknown(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	var runs atomic.Int64
	f.addTarget(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	got := f.call(t, ordersRequest, ketioliToken, "urgent", "X-Idempotent", "true")
	if got.kind != "unknown" || got.notRun || runs.Load() == 0 {
		t.Errorf("after %d runs: %d %s, not run %v", runs.Load(), got.status, got.body, got.notRun)
	}
}

// TestDuplicateWithoutTarget sends a key again after the settings excluded the only target.
// The caller must get the recorded answer and not an error that says that the request
// did not run.
func TestDuplicateWithoutTarget(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	f.addSetting(t, operatorToken, "dataCentres/ulemiste", `{"region":"harju"}`)
	var runs atomic.Int64
	f.addTarget(t, echo(&runs))
	first := f.call(t, ordersRequest, ketioliToken, "buy", "Idempotency-Key", "k")
	f.setOrders(t, `{"urgency":"critical","timeoutMillis":30000,"dataCentres":["ulemiste"]}`)
	second := f.call(t, ordersRequest, ketioliToken, "buy", "Idempotency-Key", "k")
	if diff := cmp.Diff(first.body, second.body); diff != "" || runs.Load() != 1 {
		t.Errorf("the same key again (-want +got):\n%s%d runs", diff, runs.Load())
	}
}

// TestDuplicateBeforeRecordIsRead sends a key again, without a target, before the entry has read
// the record of the first answer back from the log. The caller must get that answer as soon as
// the log can be read.
func TestDuplicateBeforeRecordIsRead(t *testing.T) {
	f := startEntry(t, nil)
	f.configure(t)
	var runs atomic.Int64
	answer := echo(&runs)
	f.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.log.SetFaults(logserver.Faults{ReadsDown: []string{appender.KeysStream(0), appender.KeysStream(1)}})
		answer.ServeHTTP(w, r)
	}))
	first := f.call(t, ordersRequest, ketioliToken, "buy", "Idempotency-Key", "k")
	f.addSetting(t, operatorToken, "dataCentres/ulemiste", `{"region":"harju"}`)
	f.setOrders(t, `{"urgency":"critical","timeoutMillis":30000,"dataCentres":["ulemiste"]}`)
	heal := time.AfterFunc(300*time.Millisecond, func() { f.log.SetFaults(logserver.Faults{}) })
	defer heal.Stop()
	second := f.call(t, ordersRequest, ketioliToken, "buy", "Idempotency-Key", "k")
	if diff := cmp.Diff(first.body, second.body); diff != "" || runs.Load() != 1 {
		t.Errorf("the same key again (-want +got):\n%s%d runs", diff, runs.Load())
	}
}
