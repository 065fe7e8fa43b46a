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

// Size of the parts of a settings snapshot, and the period of snapshots.
const (
	settingsPartBytes      = 256 << 10
	settingsSnapshotPeriod = 5 * time.Minute
)

// settingsStream maintains the settings in force from their stream.
type settingsStream struct {
	entry *Entry

	mu       sync.Mutex
	replayer *configurator.Replayer
	// asOf is the latest time at which the settings were known to be complete.
	asOf       time.Time
	snapshotAt time.Time
	changed    chan struct{}
}

func newSettingsStream(entry *Entry) *settingsStream {
	return &settingsStream{entry: entry, replayer: configurator.New(), changed: make(chan struct{})}
}

// run follows the stream until ctx ends.
func (s *settingsStream) run(ctx context.Context) {
	follower := appender.NewFollower(s.entry.log, appender.StreamSettings, s.entry.clock, s.entry.registry, s.applyView)
	follower.Run(ctx, 0)
}

func (s *settingsStream) applyView(view appender.View) {
	s.mu.Lock()
	if view.Gap() {
		s.replayer.HandleGap(view.Earliest())
	}
	for _, record := range view.Records() {
		if err := s.replayer.ApplyData(record.Offset(), record.Data()).Err(); err != nil {
			s.entry.count("settings.void." + string(apricotwinch.KindOf(err)))
		}
	}
	if view.Complete() && s.replayer.Complete() {
		s.asOf = view.AsOf()
	}
	changed := len(view.Records()) > 0
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	current := s.replayer.View()
	s.mu.Unlock()
	if changed {
		s.entry.fleet.setView(current)
		s.entry.admission.setQuotas(current)
		s.entry.logger.Info("settings applied", "revision", current.Revision())
	}
}

// current returns the settings in force.
func (s *settingsStream) current() *configurator.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayer.View()
}

// age returns how long ago the settings were last known to be complete, or
// neverCompleteAge if they never were.
func (s *settingsStream) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asOf.IsZero() {
		return neverCompleteAge
	}
	return s.entry.clock.Since(s.asOf)
}

// neverCompleteAge is the age of settings that were never complete.
const neverCompleteAge = 24 * time.Hour

// history returns the retained edits of path, including rejected ones.
func (s *settingsStream) history(path string) []configurator.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayer.History(path)
}

// edit appends an edit and returns its outcome once the stream shows it.
func (s *settingsStream) edit(ctx context.Context, record messenger.EditRecord) (configurator.Outcome, error) {
	if err := s.current().Check(record); err != nil {
		return configurator.Outcome{}, err
	}
	if err := s.entry.checkLog(); err != nil {
		return configurator.Outcome{}, err
	}
	record.Id = uuid.NewString()
	data, err := json.Marshal(record)
	if err != nil {
		return configurator.Outcome{}, apricotwinch.Errorf(apricotwinch.Invalid, "value: %w", err)
	}
	if err := s.entry.checkLog(); err != nil {
		return configurator.Outcome{}, err
	}
	if _, err := s.entry.settingsLog.Append(ctx, record.Id, data); err != nil {
		return configurator.Outcome{}, err
	}
	return s.awaitOutcome(ctx, record.Id)
}

// awaitOutcome waits until the edit called id was accepted or rejected.
func (s *settingsStream) awaitOutcome(ctx context.Context, id string) (configurator.Outcome, error) {
	for {
		s.mu.Lock()
		outcome, ok := s.replayer.Outcome(id)
		changed := s.changed
		s.mu.Unlock()
		if ok && !outcome.Pending() {
			return outcome, outcome.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return configurator.Outcome{}, apricotwinch.Errorf(apricotwinch.Unknown, "edit %s: durable, but its outcome was not known in time", id)
		}
	}
}

// tick appends a snapshot every settingsSnapshotPeriod, even if nothing was edited,
// because the log expires the last snapshot as well. Only the first live entry in the
// order of names does so.
func (s *settingsStream) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.clock.Now()
	if s.snapshotAt.IsZero() {
		s.snapshotAt = now
	}
	if now.Sub(s.snapshotAt) < settingsSnapshotPeriod || !s.replayer.Complete() || !s.entry.ownership.isFirstLive() {
		return
	}
	s.snapshotAt = now
	go s.appendSnapshot(ctx, s.replayer.Snapshot(settingsPartBytes))
}

func (s *settingsStream) appendSnapshot(ctx context.Context, parts []messenger.SettingsSnapshot) {
	for i := range parts {
		record := messenger.EditRecord{Id: uuid.NewString(), Author: configurator.Operator(operatorName).String(), Snapshot: &parts[i]}
		data, err := json.Marshal(record)
		if err != nil {
			return
		}
		if _, err := s.entry.settingsLog.Append(ctx, record.Id, data); err != nil {
			s.entry.count("settings.snapshot_failures")
			return
		}
	}
	s.entry.count("settings.snapshots")
}
