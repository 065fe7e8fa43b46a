package dispatcher_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/dispatcher"
)

const job = `{"name":"plan","kind":"batch","urgency":"batch","tasks":1,"resources":{"processorMillis":100,"memoryBytes":1,"accelerators":0}}`

// change returns job with old replaced by new.
func change(old, new string) string { return strings.Replace(job, old, new, 1) }

// doors are calls that are refused, with the kind and the field that the text names.
var doors = []struct {
	name, what, token, body string
	headers                 []string
	kind, field             string
}{
	{name: "no token", what: "GET /v1/jobs", kind: "unauthenticated", field: "Authorization"},
	{name: "unknown token", what: "GET /v1/jobs", token: "guess", kind: "unauthenticated", field: "Authorization"},
	{name: "read another's subtree", what: "GET /v1/settings/teams/jua", token: ketioli, kind: "forbidden", field: "path"},
	{name: "read a subtree of like name", what: "GET /v1/settings/teams/ketioli2", token: ketioli, kind: "forbidden", field: "path"},
	{name: "read all", what: "GET /v1/settings/", token: ketioli, kind: "forbidden", field: "path"},
	{name: "read another's quota", what: "GET /v1/settings/quotas/jua", token: ketioli, kind: "forbidden", field: "path"},
	{name: "another's history", what: "GET /v1/history/teams/jua/access", token: ketioli, kind: "forbidden", field: "path"},
	{name: "edit another's subtree", what: "PUT /v1/settings/teams/jua/services/x", token: ketioli, body: `{"base":0,"value":{"urgency":"batch","timeoutMillis":1}}`, kind: "forbidden", field: "teams/jua/services/x"},
	{name: "remove another's leaf", what: "DELETE /v1/settings/teams/jua/services/orders", token: ketioli, body: `{"base":0}`, kind: "forbidden", field: "teams/jua/services/orders"},
	{name: "validate in another's subtree", what: "POST /v1/validate/teams/jua/services/x", token: ketioli, body: `{"base":0,"value":{}}`, kind: "forbidden", field: "teams/jua/services/x"},
	{name: "edit the own access", what: "PUT /v1/settings/teams/ketioli/access", token: ketioli, body: `{"base":0,"value":{"tokenHashes":[]}}`, kind: "forbidden", field: "teams/ketioli/access"},
	{name: "edit the own quota", what: "PUT /v1/settings/quotas/ketioli", token: ketioli, body: `{"base":0,"value":{}}`, kind: "forbidden", field: "quotas/ketioli"},
	{name: "take a data centre out", what: "POST /v1/data-centres/kopli/out", token: ketioli, kind: "forbidden", field: "operator"},
	{name: "jobs of another team", what: "GET /v1/jobs?team=jua", token: ketioli, kind: "forbidden", field: "team"},
	{name: "submit for another team", what: "POST /v1/jobs?team=jua", token: ketioli, body: job, kind: "forbidden", field: "team"},
	{name: "request for another team", what: "POST /v1/services/orders/requests?team=jua", token: ketioli, kind: "forbidden", field: "team"},
	{name: "operator without a team", what: "GET /v1/jobs", token: operator, kind: "invalid", field: "team"},
	{name: "unknown service", what: "POST /v1/services/none/requests", token: ketioli, kind: "not_found", field: "service"},
	{name: "unknown job", what: "GET /v1/jobs/none", token: ketioli, kind: "not_found", field: "none"},
	{name: "unknown leaf", what: "GET /v1/settings/teams/ketioli/services/none", token: ketioli, kind: "not_found", field: "path"},
	{name: "unknown kind of leaf", what: "PUT /v1/settings/racks/r1", token: operator, body: `{"base":0,"value":{}}`, kind: "invalid", field: "path"},
	{name: "unknown data centre", what: "POST /v1/data-centres/none/out", token: operator, kind: "not_found", field: "data centre"},
	{name: "unknown path", what: "GET /v2/jobs", token: ketioli, kind: "not_found", field: "path"},
	{name: "wrong method", what: "PATCH /v1/jobs", token: ketioli, kind: "invalid", field: "method"},
	{name: "unknown field", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks"`, `"taskCount":2,"tasks"`), kind: "invalid", field: "taskCount"},
	{name: "field of another type", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks":1`, `"tasks":"1"`), kind: "invalid", field: "tasks"},
	{name: "two values", what: "POST /v1/jobs", token: ketioli, body: job + job, kind: "invalid", field: "body"},
	{name: "no JSON", what: "POST /v1/jobs", token: ketioli, body: `{`, kind: "invalid", field: "body"},
	{name: "no tasks", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks":1`, `"tasks":0`), kind: "invalid", field: "tasks"},
	{name: "too many tasks", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks":1`, `"tasks":100001`), kind: "invalid", field: "tasks"},
	{name: "unknown kind of job", what: "POST /v1/jobs", token: ketioli, body: change(`"kind":"batch"`, `"kind":"cron"`), kind: "invalid", field: "kind"},
	{name: "unknown urgency of a job", what: "POST /v1/jobs", token: ketioli, body: change(`"urgency":"batch"`, `"urgency":"soon"`), kind: "invalid", field: "urgency"},
	{name: "no resources", what: "POST /v1/jobs", token: ketioli, body: change(`"processorMillis":100,"memoryBytes":1`, `"processorMillis":0,"memoryBytes":0`), kind: "invalid", field: "resources"},
	{name: "negative run time", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks"`, `"runMillis":-1,"tasks"`), kind: "invalid", field: "runMillis"},
	{name: "large payload", what: "POST /v1/jobs", token: ketioli, body: change(`"tasks"`, fmt.Sprintf(`"payload":%q,"tasks"`, strings.Repeat("AAAA", 30_000))), kind: "invalid", field: "payload"},
	{name: "long key of a job", what: "POST /v1/jobs", token: ketioli, body: job, headers: []string{"Idempotency-Key", strings.Repeat("k", 257)}, kind: "invalid", field: "Idempotency-Key"},
	{name: "empty key", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"Idempotency-Key", ""}, kind: "invalid", field: "Idempotency-Key"},
	{name: "long key", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"Idempotency-Key", strings.Repeat("k", 257)}, kind: "invalid", field: "Idempotency-Key"},
	{name: "key and idempotent", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"Idempotency-Key", "k", "X-Idempotent", "true"}, kind: "invalid", field: "X-Idempotent"},
	{name: "idempotent maybe", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"X-Idempotent", "maybe"}, kind: "invalid", field: "X-Idempotent"},
	{name: "timeout in seconds", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"X-Timeout-Millis", "2s"}, kind: "invalid", field: "X-Timeout-Millis"},
	{name: "endless timeout", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"X-Timeout-Millis", "9223372036854775807"}, kind: "invalid", field: "X-Timeout-Millis"},
	{name: "unknown urgency", what: "POST /v1/services/orders/requests", token: ketioli, headers: []string{"X-Urgency", "soon"}, kind: "invalid", field: "X-Urgency"},
	{name: "large body", what: "POST /v1/services/orders/requests", token: ketioli, body: strings.Repeat("x", 200_001), kind: "too_large", field: "body"},
	{name: "large job", what: "POST /v1/jobs", token: ketioli, body: strings.Repeat(" ", 200_001), kind: "too_large", field: "body"},
	{name: "large headers", what: "GET /v1/jobs", token: ketioli, headers: []string{"X-Note", strings.Repeat("x", 9000)}, kind: "too_large", field: "headers"},
	{name: "value of a wrong unit", what: "PUT /v1/settings/teams/ketioli/services/x", token: ketioli, body: `{"base":0,"value":{"urgency":"batch","timeoutMillis":"2s"}}`, kind: "invalid", field: "/timeoutMillis"},
	{name: "value with an unknown field", what: "PUT /v1/settings/teams/ketioli/services/x", token: ketioli, body: `{"base":0,"value":{"urgency":"batch","timeoutMillis":1,"shade":1}}`, kind: "invalid", field: "shade"},
	{name: "reference to nothing", what: "PUT /v1/settings/teams/ketioli/services/x", token: ketioli, body: `{"base":0,"value":{"urgency":"batch","timeoutMillis":1,"dataCentres":["none"]}}`, kind: "invalid", field: "/dataCentres/0"},
	{name: "edit without a value", what: "PUT /v1/settings/teams/ketioli/services/x", token: ketioli, body: `{"base":0}`, kind: "invalid", field: "value"},
	{name: "removal with a value", what: "DELETE /v1/settings/teams/ketioli/services/orders", token: ketioli, body: `{"base":0,"value":{}}`, kind: "invalid", field: "value"},
	{name: "old revision", what: "PUT /v1/settings/teams/ketioli/services/orders", token: ketioli, body: `{"base":0,"value":{"urgency":"batch","timeoutMillis":1}}`, kind: "conflict", field: "revision"},
}

// TestDoors tries each door: the answer has its kind and names the field, the
// counter moves by one, and nothing reaches the log.
func TestDoors(t *testing.T) {
	w := start(t, func(s *dispatcher.Settings) { s.Limits = dispatcher.Limits{BodyBytes: 200_000, HeaderBytes: 8000} })
	w.configure(t)
	before := w.records()
	for _, door := range doors {
		t.Run(door.name, func(t *testing.T) {
			counted := w.counter("refused." + door.kind)
			got := w.call(t, door.what, door.token, door.body, door.headers...)
			if diff := cmp.Diff(door.kind, got.kind); diff != "" || !got.notRun || !strings.Contains(got.text, door.field) {
				t.Errorf("kind (-want +got):\n%s%d %q, not run %v, want field %s", diff, got.status, got.body, got.notRun, door.field)
			}
			if moved := w.counter("refused."+door.kind) - counted; moved != 1 {
				t.Errorf("counter refused.%s moved by %d", door.kind, moved)
			}
		})
	}
	if diff := cmp.Diff(before, w.records()); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	if got := w.call(t, "GET /v1/settings/teams/ketioli/services/orders", ketioli, ""); got.status != http.StatusOK {
		t.Errorf("the service after all refusals: %d %s", got.status, got.body)
	}
}

// TestAnotherTeamsJob reaches for a job by its id with another team's token.
func TestAnotherTeamsJob(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	submitted := w.call(t, "POST /v1/jobs", ketioli, job)
	id := strings.Split(submitted.body, `"`)[3]
	if got := w.call(t, "GET /v1/jobs/"+id, ketioli, ""); got.status != http.StatusOK {
		t.Errorf("the job at once after its submission: %d %s", got.status, got.body)
	}
	for _, what := range []string{"GET /v1/jobs/" + id, "GET /v1/jobs/" + id + "/progress", "DELETE /v1/jobs/" + id, "POST /v1/jobs/" + id + "/resume"} {
		if got := w.call(t, what, jua, ""); got.kind != "not_found" {
			t.Errorf("%s: %d %s", what, got.status, got.body)
		}
	}
	if got := w.call(t, "GET /v1/jobs/"+id, ketioli, ""); strings.Contains(got.body, "canceled") {
		t.Errorf("the job after another team's calls: %s", got.body)
	}
}

// send writes text to a new connection and returns it with its reader.
func (w *world) send(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", w.entry.HTTPAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// exchange sends text on a new connection and reports whether it was answered.
func (w *world) exchange(t *testing.T, text string) (net.Conn, answer, bool) {
	t.Helper()
	conn, reader := w.send(t, text)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return conn, answer{}, false
	}
	return conn, read(t, response), true
}

func TestSlowBody(t *testing.T) {
	w := start(t, func(s *dispatcher.Settings) { s.Limits.ReadMillis = 300 })
	w.configure(t)
	_, got, _ := w.exchange(t, "POST /v1/jobs HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer "+ketioli+"\r\nContent-Length: 10\r\n\r\n{")
	if got.kind != "too_slow" || !strings.Contains(got.text, "body") || w.counter("refused.too_slow") != 1 {
		t.Errorf("%d %s, counter %d", got.status, got.body, w.counter("refused.too_slow"))
	}
}

// TestUnreadRequests sends requests whose head never arrives whole or is over
// every bound: the connection is closed and counted.
func TestUnreadRequests(t *testing.T) {
	w := start(t, func(s *dispatcher.Settings) { s.Limits.ReadMillis = 300 })
	for i, head := range []string{"GET /readyz HTTP/1.1\r\nHost:", "GET /readyz HTTP/1.1\r\nX-Note: " + strings.Repeat("x", 1<<20), "nonsense\r\n\r\n"} {
		conn, reader := w.send(t, head)
		for _, err := reader.ReadByte(); err == nil; {
			_, err = reader.ReadByte()
		}
		conn.Close()
		eventually(t, "the counter", func() bool { return w.counter("refused.unread") == int64(i+1) })
	}
}

func TestTooManyConnections(t *testing.T) {
	w := start(t, func(s *dispatcher.Settings) { s.Limits.Connections = 2 })
	w.client.CloseIdleConnections()
	const health = "GET /healthz HTTP/1.1\r\nHost: e1\r\n\r\n"
	var open []net.Conn
	eventually(t, "two connections", func() bool {
		conn, _, ok := w.exchange(t, health)
		if ok {
			open = append(open, conn)
		}
		return len(open) == 2
	})
	refused := w.counter("refused.connections")
	if _, _, ok := w.exchange(t, health); ok || w.counter("refused.connections") != refused+1 {
		t.Errorf("a third connection: answered %v, counter moved by %d", ok, w.counter("refused.connections")-refused)
	}
	open[0].Close()
	eventually(t, "room again", func() bool {
		_, _, ok := w.exchange(t, health)
		return ok
	})
}
