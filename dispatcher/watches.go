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
	watchPeriod = time.Second
	watchResend = 5 * time.Second
	// maxWatchViewAge is the greatest age of the settings that are acted on.
	maxWatchViewAge = 6 * time.Second
)

// watchPrefix starts the ids of jobs that the settings ask for.
const watchPrefix = "watch."

// watchKeeper keeps the watch services of the settings running as jobs.
type watchKeeper struct {
	at   time.Time
	sent map[string]time.Time
}

// watchID returns the id of the job of one revision of a watch service.
func watchID(team, name string, revision int64) string {
	return fmt.Sprintf("%s%s.%s.%d", watchPrefix, team, name, revision)
}

// watchRevision returns the revision in the id of a watch service's job; false
// means that the job is no such job.
func watchRevision(id string) (int64, bool) {
	if !strings.HasPrefix(id, watchPrefix) {
		return 0, false
	}
	revision, err := strconv.ParseInt(id[strings.LastIndexByte(id, '.')+1:], 10, 64)
	return revision, err == nil
}

// reconcileWatches submits the jobs of watch services that are missing and
// cancels those that the settings no longer ask for; without a fresh proof that
// the settings are known whole it does neither. p.mu is held.
func (p *partition) reconcileWatches(ctx context.Context, now time.Time) {
	if now.Sub(p.watches.at) < watchPeriod {
		return
	}
	p.watches.at = now
	if p.entry.views.age() > maxWatchViewAge {
		p.entry.count("watch.stale_view")
		return
	}
	view := p.entry.views.current()
	wanted := make(map[string]bool)
	ready := make(map[string]bool)
	for _, team := range view.Teams() {
		if p.entry.partitionOf(team) != p.number {
			continue
		}
		for _, watch := range view.Watches(team) {
			p.want(ctx, now, view, watch, wanted, ready)
		}
	}
	p.cancelUnwanted(ctx, now, view.Revision(), wanted, ready)
}

// want submits the job of a watch service unless it is known.
func (p *partition) want(ctx context.Context, now time.Time, view *configurator.View, watch configurator.Watch, wanted, ready map[string]bool) {
	if watch.Count() == 0 {
		return
	}
	entry, _ := view.Entry("teams/" + watch.Team() + "/watches/" + watch.Name())
	id := watchID(watch.Team(), watch.Name(), entry.Revision())
	service := watch.Team() + "." + watch.Name()
	wanted[id] = true
	ready[service] = false
	if job, ok := p.book.Job(id); ok {
		ready[service] = unassigned(job) == 0
		return
	}
	spec := watch.Spec()
	p.sendOnce(ctx, now, messenger.LedgerRecord{
		Type: messenger.RecordSubmitted, Entry: p.entry.settings.Name, Team: watch.Team(), Job: id, Spec: &spec,
	})
}

// cancelUnwanted cancels jobs of older revisions once the job of the newer one
// runs, and those of watch services that were removed. A job of a later revision
// than the view's is one that the view has not seen yet.
func (p *partition) cancelUnwanted(ctx context.Context, now time.Time, seen int64, wanted, ready map[string]bool) {
	for job := range p.book.All() {
		revision, ok := watchRevision(job.ID())
		if !ok || revision > seen || job.Canceled() || wanted[job.ID()] {
			continue
		}
		running, replaced := ready[job.Team()+"."+job.Spec().Name]
		if replaced && !running {
			continue
		}
		p.sendOnce(ctx, now, messenger.LedgerRecord{
			Type: messenger.RecordCanceled, Entry: p.entry.settings.Name, Team: job.Team(), Job: job.ID(),
		})
	}
}

// sendOnce appends a record unless the same was sent a moment ago.
func (p *partition) sendOnce(ctx context.Context, now time.Time, record messenger.LedgerRecord) {
	key := record.Type + record.Job
	if now.Sub(p.watches.sent[key]) < watchResend {
		return
	}
	p.watches.sent[key] = now
	go p.appendFor(ctx, record)
}
