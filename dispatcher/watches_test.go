package dispatcher_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/appender"
	"apricotwinch/dispatcher"
	"apricotwinch/messenger"
	"apricotwinch/reporter"
	"apricotwinch/standin/recorder"
)

// watchRecords counts the records of a type about jobs.
func (w *world) watchRecords(recordType string) int {
	count := 0
	for _, stream := range []string{appender.JobsStream(0), appender.JobsStream(1)} {
		for _, record := range w.log.Records(stream) {
			var decoded messenger.LedgerRecord
			if json.Unmarshal(record.Data, &decoded) == nil && decoded.Type == recordType {
				count++
			}
		}
	}
	return count
}

// TestUnreadSettingsStopNoWatch replaces the owner of a watch service by an entry
// that can't read the settings: it must not take the service for removed.
func TestUnreadSettingsStopNoWatch(t *testing.T) {
	w := start(t, nil)
	w.configure(t)
	w.set(t, ketioli, "teams/ketioli/watches/stock",
		`{"urgency":"batch","count":1,"resources":{"processorMillis":100,"memoryBytes":1,"accelerators":0}}`)
	eventually(t, "the job of the watch service", func() bool { return w.watchRecords(messenger.RecordSubmitted) == 1 })
	w.stop()
	w.log.SetFaults(recorder.Faults{ReadsDown: []string{appender.StreamSettings}})
	settings := w.settings
	settings.Name = "e2"
	registry := metrics.NewRegistry()
	second, err := dispatcher.New(settings, dispatcher.Deps{
		Log: appender.NewHTTP(settings.Log, w.client), Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(),
		Registry: registry, Metrics: reporter.New(registry),
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := runUntilStopped(second.Run)
	defer stop()
	eventually(t, "the second owner", func() bool { return w.watchRecords(messenger.RecordBegan) == 4 })
	time.Sleep(4 * time.Second)
	if canceled := w.watchRecords(messenger.RecordCanceled); canceled != 0 {
		t.Errorf("%d watch services were canceled", canceled)
	}
}

// TestUnreadSettingsEvictNothing asks an entry that has not read the settings
// whether it evicts what runs in a data centre, and one that read an order to.
func TestUnreadSettingsEvictNothing(t *testing.T) {
	w := start(t, nil)
	unread, err := dispatcher.New(w.settings, dispatcher.Deps{
		Log: appender.NewHTTP(w.settings.Log, w.client), Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(),
		Registry: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if unread.Evacuated("kopli") {
		t.Error("an entry that has not read the settings evicts")
	}
	w.configure(t)
	if got := w.call(t, "POST /v1/data-centres/kopli/out", operator, ""); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	eventually(t, "the order", func() bool { return w.entry.Evacuated("kopli") })
}
