package checker_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/configurator"
	"apricotwinch/messenger"
)

var settingsPaths = []string{"dataCentres/a", "dataCentres/b", "teams/x/services/s", "teams/y/services/s"}

var settingsValues = map[string][]string{
	"dataCentres/a":      {`{"region":"r"}`, `{"region":"r","out":true}`},
	"dataCentres/b":      {`{"region":"r"}`, `{"region":"q"}`},
	"teams/x/services/s": {`{"urgency":"batch","timeoutMillis":1}`, `{"urgency":"batch","timeoutMillis":2}`},
	"teams/y/services/s": {`{"urgency":"critical","timeoutMillis":1,"dataCentres":["a"]}`},
}

// settingsRun is one settings stream with an entry that folds all of it, entries
// that fold it late, and entries that start after old records have expired.
type settingsRun struct {
	stream  []messenger.EditRecord
	whole   *configurator.Folder
	late    []*configurator.Folder
	started []*configurator.Folder
	parts   [][]messenger.SettingsSnapshot // Snapshots under way, by late entry.
	seen    map[*configurator.Folder]map[string]int64
}

func newSettingsRun() *settingsRun {
	late := []*configurator.Folder{configurator.New(), configurator.New()}
	return &settingsRun{
		whole: configurator.New(), late: late, parts: make([][]messenger.SettingsSnapshot, len(late)),
		seen: make(map[*configurator.Folder]map[string]int64),
	}
}

// add appends a record and lets every entry but the late ones fold it.
func (r *settingsRun) add(t *rapid.T, record messenger.EditRecord) {
	offset := int64(len(r.stream))
	r.stream = append(r.stream, record)
	r.whole.Fold(offset, record)
	r.checkForward(t, r.whole)
	for _, folder := range r.started {
		folder.Fold(offset, record)
		r.checkForward(t, folder)
		if folder.Whole() {
			r.checkEqual(t, folder)
		}
	}
}

// catchUp lets a late entry fold count more records.
func (r *settingsRun) catchUp(t *rapid.T, folder *configurator.Folder, count int) {
	for next := folder.Next(); next < int64(len(r.stream)) && count > 0; next++ {
		folder.Fold(next, r.stream[next])
		r.checkForward(t, folder)
		count--
	}
}

// snapshot appends the next part of a late entry's snapshot; parts of several
// snapshots and edits interleave.
func (r *settingsRun) snapshot(t *rapid.T, number int) {
	if len(r.parts[number]) == 0 {
		r.parts[number] = r.late[number].Snapshot(60)
	}
	if len(r.parts[number]) == 0 {
		return
	}
	part := r.parts[number][0]
	r.parts[number] = r.parts[number][1:]
	r.add(t, messenger.EditRecord{
		Id: fmt.Sprint("snapshot-", len(r.stream)), Author: fmt.Sprint("operators/late", number), Snapshot: &part,
	})
}

// start starts an entry from a stream whose records before earliest are gone.
func (r *settingsRun) start(t *rapid.T, earliest int64) {
	folder := configurator.New()
	folder.Gap(earliest)
	for offset := earliest; offset < int64(len(r.stream)); offset++ {
		folder.Fold(offset, r.stream[offset])
		r.checkForward(t, folder)
	}
	if folder.Whole() {
		r.checkEqual(t, folder)
	}
	r.started = append(r.started, folder)
}

// checkForward checks that no leaf goes back to an older revision.
func (r *settingsRun) checkForward(t *rapid.T, folder *configurator.Folder) {
	if r.seen[folder] == nil {
		r.seen[folder] = make(map[string]int64)
	}
	for _, path := range settingsPaths {
		entry, _ := folder.View().Entry(path)
		if entry.Revision() < r.seen[folder][path] {
			t.Fatalf("%s goes back from revision %d to %d", path, r.seen[folder][path], entry.Revision())
		}
		r.seen[folder][path] = entry.Revision()
	}
}

func (r *settingsRun) checkEqual(t *rapid.T, folder *configurator.Folder) {
	if diff := cmp.Diff(describeSettings(r.whole), describeSettings(folder)); diff != "" {
		t.Fatalf("settings of an entry that started late (-whole +late):\n%s", diff)
	}
}

func describeSettings(folder *configurator.Folder) []string {
	var lines []string
	for _, path := range settingsPaths {
		entry, ok := folder.View().Entry(path)
		lines = append(lines, fmt.Sprintf("%s %d %t %s", path, entry.Revision(), ok, entry.Value()))
	}
	return lines
}

func (r *settingsRun) drawEdit(t *rapid.T) messenger.EditRecord {
	path := rapid.SampledFrom(settingsPaths).Draw(t, "path")
	entry, _ := r.whole.View().Entry(path)
	base := entry.Revision()
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = int64(rapid.IntRange(0, len(r.stream)).Draw(t, "base"))
	}
	record := messenger.EditRecord{
		Id: fmt.Sprint("edit-", len(r.stream)), Author: "operators/o", Path: path, Base: int(base),
	}
	if rapid.IntRange(0, 4).Draw(t, "removal") > 0 {
		record.Value = json.RawMessage(rapid.SampledFrom(settingsValues[path]).Draw(t, "value"))
	}
	return record
}

// TestSettingsNeverRevertAndAgree folds edits, second copies of edits, and the
// interleaved snapshots of entries that lag, from the start and after expiry.
func TestSettingsNeverRevertAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newSettingsRun()
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			number := rapid.IntRange(0, len(run.late)-1).Draw(t, "late")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				run.catchUp(t, run.late[number], rapid.IntRange(1, 20).Draw(t, "count"))
			case 2, 3:
				run.snapshot(t, number)
			case 4:
				if len(run.started) < 4 {
					run.start(t, int64(rapid.IntRange(0, len(run.stream)).Draw(t, "earliest")))
				}
			case 5:
				if len(run.stream) > 0 {
					run.add(t, rapid.SampledFrom(run.stream).Draw(t, "copy"))
				}
			default:
				run.add(t, run.drawEdit(t))
			}
		}
	})
}
