package coordinator_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// logBuffer holds log lines in JSON. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// find returns the lines with a message.
func (b *logBuffer) find(t *testing.T, message string) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for text := range strings.Lines(b.lines.String()) {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("line %s: %v", text, err)
		}
		if line["@message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// sum returns the sum of a field of the lines with a message.
func (b *logBuffer) sum(t *testing.T, message, field string) float64 {
	t.Helper()
	total := 0.0
	for _, line := range b.find(t, message) {
		total += line[field].(float64)
	}
	return total
}

// TestIgnoredReportsAreLogged guards against an owner that ignores the reports of restarted agents, or
// all reports, and whose log doesn't show that.
func TestIgnoredReportsAreLogged(t *testing.T) {
	d := newDeployment(t, 1)
	eventually(t, "the owner has written all that it must", d.isSettled)
	address := d.address(t, "entry-0")
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	defer pool.Close()
	// The owner has no authority while neither the store nor this peer answers.
	ping := messenger.Ping{Member: messenger.Member{Name: "silent", Address: "127.0.0.1:1", Incarnation: "silent-1"}, Epoch: 1, StoreMillis: -1}
	if err := pool.Call(t.Context(), address, messenger.MethodPing, ping, new(messenger.PingReply)); err != nil {
		t.Fatal(err)
	}
	d.store.setUnresponsive(true)
	report := messenger.Report{Host: "other", Address: "other:1", Incarnation: "other-2", Whole: true}
	for range 3 {
		if err := pool.Call(t.Context(), address, messenger.MethodReport, report, new(messenger.ReportReply)); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "3 reports without a proof are logged", func() bool { return d.logs.sum(t, "reports ignored", "unproven") == 3 })
	eventually(t, "the owner has no authority", func() bool {
		var reply messenger.ReportReply
		report.Epoch, report.TicketMillis = 1, report.TicketMillis+1
		if err := pool.Call(t.Context(), address, messenger.MethodReport, report, &reply); err != nil {
			t.Fatal(err)
		}
		return !reply.Owner
	})
	eventually(t, "reports without authority are logged", func() bool { return d.logs.sum(t, "reports ignored", "unauthorized") > 0 })
	for _, line := range d.logs.find(t, "reports ignored") {
		if line["unproven"].(float64) > 0 && line["host"] != "other" {
			t.Errorf("host: got %v, want other", line["host"])
		}
	}
}

// TestLateReportsAreLogged guards against an owner that applies reports that are seconds old and whose
// log doesn't show that.
func TestLateReportsAreLogged(t *testing.T) {
	d := newDeployment(t, 1)
	eventually(t, "the owner has written all that it must", d.isSettled)
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	defer pool.Close()
	report := messenger.Report{Host: "other", Address: "other:1", Incarnation: "other-1", Epoch: 1}
	// The third report was sent 2 s earlier than it would have been if it had been as fast as the first.
	for _, ticket := range []int{10_000, 10_000, 8_000, 10_000} {
		report.TicketMillis = ticket
		if err := pool.Call(t.Context(), d.address(t, "entry-0"), messenger.MethodReport, report, new(messenger.ReportReply)); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the late report is logged", func() bool { return len(d.logs.find(t, "reports late")) > 0 })
	line := d.logs.find(t, "reports late")[0]
	if diff := cmp.Diff([]any{1.0, "other"}, []any{line["reports"], line["host"]}); diff != "" {
		t.Errorf("reports and host (-want +got):\n%s", diff)
	}
	if age := time.Duration(line["ageMillis"].(float64)) * time.Millisecond; age < 2*time.Second || age > 3*time.Second {
		t.Errorf("age: got %s, want 2 s and what the calls took", age)
	}
}
