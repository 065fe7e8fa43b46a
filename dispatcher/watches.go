package dispatcher

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"apricotwinch/configurator"
	"apricotwinch/messenger"
)

// Periods of the reconciliation of watch services.
const (
	watchReconcilePeriod = time.Second
	watchResendPeriod    = 5 * time.Second
	// maxWatchSettingsAge is the greatest age of the settings at which watch services
	// are reconciled.
	maxWatchSettingsAge = 6 * time.Second
)

// watchPrefix starts the ids of the jobs of watch services.
const watchPrefix = "watch."

// watchState is the state of the reconciliation of watch services, which keeps those
// in the settings running as jobs.
type watchState struct {
	reconciledAt time.Time
	// appendedAt holds when each record was last appended, by its type and job.
	appendedAt map[string]time.Time
}

// watchID returns the id of the job of one revision of a watch service.
func watchID(team, name string, revision int64) string {
	return fmt.Sprintf("%s%s.%s.%d", watchPrefix, team, name, revision)
}

// watchRevision returns the revision in the id of a watch service's job; false means
// that the job belongs to no watch service.
func watchRevision(id string) (int64, bool) {
	if !strings.HasPrefix(id, watchPrefix) {
		return 0, false
	}
	revision, err := strconv.ParseInt(id[strings.LastIndexByte(id, '.')+1:], 10, 64)
	return revision, err == nil
}

// reconcileWatches submits the missing jobs of watch services and cancels those that
// the settings no longer contain. It does neither unless the settings were recently
// known to be complete. p.mu is held.
func (p *partition) reconcileWatches(ctx context.Context, now time.Time) {
	if now.Sub(p.watches.reconciledAt) < watchReconcilePeriod {
		return
	}
	p.watches.reconciledAt = now
	if p.entry.settingsStream.age() > maxWatchSettingsAge {
		p.entry.count("watch.stale_view")
		return
	}
	view := p.entry.settingsStream.current()
	wanted := make(map[string]bool)
	ready := make(map[string]bool)
	for _, team := range view.Teams() {
		if p.entry.partitionOf(team) != p.number {
			continue
		}
		for _, watch := range view.Watches(team) {
			p.submitMissing(ctx, now, view, watch, wanted, ready)
		}
	}
	p.cancelObsolete(ctx, now, view.Revision(), wanted, ready)
}

// submitMissing submits the job of a watch service unless it is known. It adds the job
// to wanted, and sets in ready whether all of its tasks have a host.
func (p *partition) submitMissing(ctx context.Context, now time.Time, view *configurator.View, watch configurator.Watch, wanted, ready map[string]bool) {
	if watch.Count() == 0 {
		return
	}
	entry, _ := view.Entry("teams/" + watch.Team() + "/watches/" + watch.Name())
	id := watchID(watch.Team(), watch.Name(), entry.Revision())
	service := watch.Team() + "." + watch.Name()
	wanted[id] = true
	ready[service] = false
	if job, ok := p.state.Job(id); ok {
		ready[service] = unassignedTasks(job) == 0
		return
	}
	spec := watch.Spec()
	p.appendWatchRecord(ctx, now, messenger.LedgerRecord{
		Type: messenger.RecordSubmitted, Entry: p.entry.settings.Name, Team: watch.Team(), Job: id, Spec: &spec,
	})
}

// cancelObsolete cancels jobs of older revisions once the job of the newer one runs,
// and jobs of watch services that were removed. It keeps a job of a revision after
// viewRevision, which the view has not reached yet.
func (p *partition) cancelObsolete(ctx context.Context, now time.Time, viewRevision int64, wanted, ready map[string]bool) {
	for job := range p.state.All() {
		revision, ok := watchRevision(job.ID())
		if !ok || revision > viewRevision || job.Canceled() || wanted[job.ID()] {
			continue
		}
		running, replaced := ready[job.Team()+"."+job.Spec().Name]
		if replaced && !running {
			continue
		}
		p.appendWatchRecord(ctx, now, messenger.LedgerRecord{
			Type: messenger.RecordCanceled, Entry: p.entry.settings.Name, Team: job.Team(), Job: job.ID(),
		})
	}
}

// appendWatchRecord appends a record unless it did so less than watchResendPeriod ago.
func (p *partition) appendWatchRecord(ctx context.Context, now time.Time, record messenger.LedgerRecord) {
	key := record.Type + record.Job
	if now.Sub(p.watches.appendedAt[key]) < watchResendPeriod {
		return
	}
	p.watches.appendedAt[key] = now
	go p.appendForScheduler(ctx, record)
}
