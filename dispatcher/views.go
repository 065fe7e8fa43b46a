package dispatcher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/configurator"
	"apricotwinch/messenger"
)

// Bounds of the settings snapshots.
const (
	settingsPartBytes      = 256 << 10
	settingsSnapshotPeriod = 5 * time.Minute
)

// views follows the settings stream and knows how old its proof of
// completeness is.
type views struct {
	entry *Entry

	mu      sync.Mutex
	folder  *configurator.Folder
	asOf    time.Time
	snapAt  time.Time
	changed chan struct{}
}

func newViews(entry *Entry) *views {
	return &views{entry: entry, folder: configurator.New(), changed: make(chan struct{})}
}

// run follows the stream until ctx ends.
func (v *views) run(ctx context.Context) {
	follower := appender.NewFollower(v.entry.log, appender.StreamSettings, v.entry.clock, v.entry.registry, v.handle)
	follower.Run(ctx, 0)
}

func (v *views) handle(view appender.View) {
	v.mu.Lock()
	if view.Gap() {
		v.folder.Gap(view.Earliest())
	}
	for _, record := range view.Records() {
		if err := v.folder.FoldData(record.Offset(), record.Data()).Err(); err != nil {
			v.entry.count("settings.void." + string(apricotwinch.KindOf(err)))
		}
	}
	if view.Complete() && v.folder.Whole() {
		v.asOf = view.AsOf()
	}
	changed := len(view.Records()) > 0
	if changed {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	current := v.folder.View()
	v.mu.Unlock()
	if changed {
		v.entry.members.setView(current)
		v.entry.admission.setQuotas(current)
		v.entry.logger.Info("settings in force", "revision", current.Revision())
	}
}

// current returns the settings in force.
func (v *views) current() *configurator.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.folder.View()
}

// age returns the age of the proof that the view is complete; without one it is
// the greatest duration.
func (v *views) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.asOf.IsZero() {
		return maxAge
	}
	return v.entry.clock.Since(v.asOf)
}

// maxAge stands for a view that was never complete.
const maxAge = 24 * time.Hour

// history returns the remembered edits of path, void ones too.
func (v *views) history(path string) []configurator.Outcome {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.folder.History(path)
}

// edit appends an edit and returns the verdict of the fold on it.
func (v *views) edit(ctx context.Context, record messenger.EditRecord) (configurator.Outcome, error) {
	if err := v.current().Check(record); err != nil {
		return configurator.Outcome{}, err
	}
	if err := v.entry.checkLog(); err != nil {
		return configurator.Outcome{}, err
	}
	record.Id = uuid.NewString()
	data, err := json.Marshal(record)
	if err != nil {
		return configurator.Outcome{}, apricotwinch.Errorf(apricotwinch.Invalid, "value: %w", err)
	}
	if err := v.entry.checkLog(); err != nil {
		return configurator.Outcome{}, err
	}
	if _, err := v.entry.settingsLog.Append(ctx, record.Id, data); err != nil {
		return configurator.Outcome{}, err
	}
	return v.await(ctx, record.Id)
}

// await waits until the fold has judged the record called id.
func (v *views) await(ctx context.Context, id string) (configurator.Outcome, error) {
	for {
		v.mu.Lock()
		outcome, ok := v.folder.Outcome(id)
		changed := v.changed
		v.mu.Unlock()
		if ok && !outcome.Pending() {
			return outcome, outcome.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return configurator.Outcome{}, apricotwinch.Errorf(apricotwinch.Unknown, "edit %s: durable, but its verdict was not seen in time", id)
		}
	}
}

// tick appends a snapshot from time to time, also when nothing was edited, for
// the log drops the last one as well; the first entry in the order of names does it.
func (v *views) tick(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.entry.clock.Now()
	if v.snapAt.IsZero() {
		v.snapAt = now
	}
	if now.Sub(v.snapAt) < settingsSnapshotPeriod || !v.folder.Whole() || !v.entry.ownership.leads() {
		return
	}
	v.snapAt = now
	go v.appendSnapshot(ctx, v.folder.Snapshot(settingsPartBytes))
}

func (v *views) appendSnapshot(ctx context.Context, parts []messenger.SettingsSnapshot) {
	for i := range parts {
		record := messenger.EditRecord{Id: uuid.NewString(), Author: configurator.Operator(operatorName).String(), Snapshot: &parts[i]}
		data, err := json.Marshal(record)
		if err != nil {
			return
		}
		if _, err := v.entry.settingsLog.Append(ctx, record.Id, data); err != nil {
			v.entry.count("settings.snapshot_failures")
			return
		}
	}
	v.entry.count("settings.snapshots")
}
