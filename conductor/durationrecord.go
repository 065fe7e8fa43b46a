package conductor

import (
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/estimator"
	"apricotwinch/messenger"
)

// keyDurations is the key of the DurationsRecord.
const keyDurations = "durations"

const (
	// durationsPeriod is the time between two records of the learned durations.
	durationsPeriod = 2 * time.Second
	// minDurationChange is the factor by which a quantile of a class must change to be recorded and logged. Declared
	// durations are off by 20% and more.
	minDurationChange = 1.2
	// maxDurationLines bounds the lines about changed durations in a period.
	maxDurationLines = 4
)

// durations holds the learned durations.
type durations struct {
	estimates *estimator.Durations
	// now is the time of the last tick or sample, as of which durations are estimated.
	now        time.Time
	recordedAt time.Time
}

// recordDurations writes the learned durations to the journal for the next owner if they have changed much.
func (c *Conductor) recordDurations(now time.Time) {
	if !c.learnsDurations() {
		return
	}
	c.durations.now = now
	if now.Sub(c.durations.recordedAt) < durationsPeriod {
		return
	}
	c.durations.recordedAt = now
	metrics.GetOrRegisterGauge("durations.classes", c.registry).Update(int64(c.durations.estimates.Classes()))
	changed := c.durations.estimates.Changed(now, minDurationChange)
	if len(changed) == 0 {
		return
	}
	for _, b := range changed[:min(len(changed), maxDurationLines)] {
		c.logger.Info("durations changed", "queue", b.Class.Queue, "image", b.Class.Image, "size", b.Class.Size, "declaredMillis", b.Declared.Milliseconds(),
			"median", b.Median, "high", b.High, "samples", int(b.Samples), "ageMillis", b.Age.Milliseconds(), "changed", len(changed))
	}
	record := messenger.DurationsRecord{}
	for _, s := range c.durations.estimates.Snapshot(now) {
		record.Histories = append(record.Histories, messenger.DurationHistory{
			Scope: string(s.Scope), Queue: s.Class.Queue, Image: s.Class.Image, Size: s.Class.Size, DeclaredMillis: int(s.Declared.Milliseconds()),
			Ratios: s.Ratios, Weights: s.Weights,
		})
	}
	c.records = append(c.records, encode(keyDurations, record))
}

// restoreDurations loads the durations that the last owner had learned.
func (c *Conductor) restoreDurations(now time.Time, r appender.KeyedRecord) error {
	if !c.learnsDurations() {
		return nil
	}
	var record messenger.DurationsRecord
	if err := json.Unmarshal(r.Value(), &record); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
	}
	var snapshots []estimator.DurationSnapshot
	for _, h := range record.Histories {
		snapshots = append(snapshots, estimator.DurationSnapshot{
			Scope: estimator.Scope(h.Scope), Class: estimator.DurationClass{Queue: h.Queue, Image: h.Image, Size: h.Size},
			Declared: time.Duration(h.DeclaredMillis) * time.Millisecond, Ratios: h.Ratios, Weights: h.Weights,
		})
	}
	if err := c.durations.estimates.Restore(now, snapshots); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
	}
	c.durations.now, c.durations.recordedAt = now, now
	return nil
}
