package dispatcher

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// Limits of a job, and periods and timeouts of the calls about jobs.
const (
	maxPayloadBytes   = 64 << 10
	maxNameBytes      = 128
	forwardTimeout    = 3 * time.Second
	progressPeriod    = 250 * time.Millisecond
	visibleTimeout    = 5 * time.Second
	visiblePollPeriod = 20 * time.Millisecond
)

func init() {
	register("POST /v1/jobs", (*Entry).submitJob)
	register("GET /v1/jobs", (*Entry).listJobs)
	register("GET /v1/jobs/{job}", (*Entry).showJob)
	register("GET /v1/jobs/{job}/progress", (*Entry).followJob)
	register("DELETE /v1/jobs/{job}", (*Entry).cancelJob)
	register("POST /v1/jobs/{job}/resume", (*Entry).resumeJob)
}

// partitionOf returns the partition that holds a team's jobs and idempotency keys.
func (e *Entry) partitionOf(team string) int {
	return int(xxhash.Sum64String(team) % uint64(e.settings.Partitions))
}

// jobID returns the id of a new job. The same key of a team always gives the same id.
func jobID(team, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	digest := uuid.NewSHA1(uuid.NameSpaceOID, []byte(team+"\x00"+key))
	return hex.EncodeToString(digest[:])
}

func (e *Entry) submitJob(c *call) error {
	team, err := c.team()
	if err != nil {
		return err
	}
	if !e.knowsTeam(team) {
		return apricotwinch.Errorf(apricotwinch.NotFound, "team: %q is not in the settings", team)
	}
	var spec messenger.JobSpec
	if err := c.decode(&spec); err != nil {
		return err
	}
	if err := checkSpec(&spec); err != nil {
		return err
	}
	key, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	id := jobID(team, key)
	if key != "" {
		if _, err := e.findMatchingJob(c.ctx, team, id, spec); err != nil {
			return err
		}
	}
	record := messenger.LedgerRecord{
		Type: messenger.RecordSubmitted, Entry: e.settings.Name, Team: team, Job: id, Spec: &spec,
	}
	if err := e.appendRecord(c.ctx, e.partitionOf(team), record); err != nil {
		return err
	}
	if err := e.awaitJobVisible(c.ctx, team, id, key, spec); err != nil {
		return err
	}
	e.count("jobs.submitted")
	writeJSON(c.writer, http.StatusAccepted, messenger.SubmitAnswer{Job: id})
	return nil
}

// knowsTeam reports whether the settings contain a quota or any other entry of a team.
func (e *Entry) knowsTeam(team string) bool {
	view := e.settingsStream.current()
	_, limited := view.Quota(team)
	return limited || len(view.Entries("teams/"+team)) > 0
}

// findMatchingJob reports whether the owner knows the job called id. It fails with
// kind Conflict if that job differs from spec, because its idempotency key was then
// used for another job, and with kind NotOwner if the owner can't be asked.
func (e *Entry) findMatchingJob(ctx context.Context, team, id string, spec messenger.JobSpec) (bool, error) {
	reply, err := e.forward(ctx, messenger.Forward{Team: team, Job: id})
	if apricotwinch.KindOf(err) == apricotwinch.NotFound {
		return false, nil
	}
	if err != nil {
		return false, apricotwinch.Errorf(apricotwinch.NotOwner, "%s: can't be checked now: %w", headerKey, err)
	}
	if !sameSpec(reply.Jobs[0].Spec, spec) {
		return true, apricotwinch.Errorf(apricotwinch.Conflict, "%s: was used for another job", headerKey)
	}
	return true, nil
}

// sameSpec reports whether a and b have the same JSON encoding.
func sameSpec(a, b messenger.JobSpec) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// awaitJobVisible waits, once the record of spec is durable, until the owner returns
// the job, so that its submitter can see it. It fails with kind Conflict if another
// job with the same key came first. If the wait times out, it fails with kind Unknown
// for a job with a key; a job without a key exists in any case, so there is no error.
func (e *Entry) awaitJobVisible(ctx context.Context, team, id, key string, spec messenger.JobSpec) error {
	ctx, cancel := context.WithTimeout(ctx, visibleTimeout)
	defer cancel()
	for {
		known, err := e.findMatchingJob(ctx, team, id, spec)
		if known {
			return err
		}
		if e.sleepUntil(ctx, e.clock.Now().Add(visiblePollPeriod)) {
			continue
		}
		if key == "" {
			return nil
		}
		return apricotwinch.Errorf(apricotwinch.Unknown, "%s: the job is durable, but whether another job uses the key could not be confirmed in time; submit it again", headerKey)
	}
}

// specCheck is one validation rule for a field of a job.
type specCheck struct {
	field   string
	invalid func(*messenger.JobSpec) bool
	message string
}

var specChecks = []specCheck{
	{"name", func(s *messenger.JobSpec) bool { return s.Name == "" || len(s.Name) > maxNameBytes }, "must have 1 to 128 bytes"},
	{"kind", func(s *messenger.JobSpec) bool {
		return !slices.Contains([]string{messenger.JobBatch, messenger.JobWatch}, s.Kind)
	}, "must be batch or watch"},
	{"tasks", func(s *messenger.JobSpec) bool { return s.Tasks < 1 || s.Tasks > bookkeeper.MaxTasks }, "must be 1 to 100000"},
	{"resources", func(s *messenger.JobSpec) bool { return s.Resources.Value().Negative() || s.Resources.Value().Zero() }, "must be positive"},
	{"runMillis", func(s *messenger.JobSpec) bool { return s.RunMillis < 0 }, "must not be negative"},
	{"maxAttempts", func(s *messenger.JobSpec) bool { return s.MaxAttempts < 0 }, "must not be negative"},
	{"payload", func(s *messenger.JobSpec) bool { return len(s.Payload) > maxPayloadBytes }, "must have at most 65536 bytes"},
}

// checkSpec fills in the default urgency and returns an error of kind Invalid that
// names the first wrong field.
func checkSpec(spec *messenger.JobSpec) error {
	if spec.Urgency == "" {
		spec.Urgency = apricotwinch.Batch.String()
	}
	if _, err := apricotwinch.ParseUrgency(spec.Urgency); err != nil {
		return err
	}
	for _, check := range specChecks {
		if check.invalid(spec) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s", check.field, check.message)
		}
	}
	return nil
}

func (e *Entry) listJobs(c *call) error {
	team, err := c.team()
	if err != nil {
		return err
	}
	reply, err := e.forward(c.ctx, messenger.Forward{Team: team})
	if err != nil {
		return err
	}
	writeJSON(c.writer, http.StatusOK, messenger.JobList{Jobs: reply.Jobs})
	return nil
}

// job returns the state of the job that a call names.
func (e *Entry) job(c *call) (messenger.JobState, error) {
	team, err := c.team()
	if err != nil {
		return messenger.JobState{}, err
	}
	reply, err := e.forward(c.ctx, messenger.Forward{Team: team, Job: c.PathValue("job")})
	if err != nil {
		return messenger.JobState{}, err
	}
	return reply.Jobs[0], nil
}

func (e *Entry) showJob(c *call) error {
	state, err := e.job(c)
	if err != nil {
		return err
	}
	writeJSON(c.writer, http.StatusOK, state)
	return nil
}

// followJob streams the state of a job, one JSON line for each change, until the job
// has ended, the caller disconnects or the entry drains.
func (e *Entry) followJob(c *call) error {
	state, err := e.job(c)
	if err != nil {
		return err
	}
	c.writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(c.writer)
	_ = controller.SetWriteDeadline(time.Time{})
	encoder := json.NewEncoder(c.writer)
	ticker := e.clock.NewTicker(progressPeriod)
	defer ticker.Stop()
	var last messenger.JobState
	for {
		if !reflect.DeepEqual(last, state) {
			if encoder.Encode(state) != nil || controller.Flush() != nil {
				return nil
			}
			last = state
		}
		if jobEnded(state) || e.drainer.Draining() {
			return nil
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if next, err := e.job(c); err == nil {
			state = next
		}
	}
}

// jobEnded reports whether no task of a job is waiting or assigned.
func jobEnded(state messenger.JobState) bool {
	return !slices.ContainsFunc(state.Tasks, func(t messenger.TaskState) bool {
		return t.Phase == messenger.TaskWaiting || t.Phase == messenger.TaskAssigned
	})
}

func (e *Entry) cancelJob(c *call) error { return e.appendJobChange(c, messenger.RecordCanceled) }

func (e *Entry) resumeJob(c *call) error { return e.appendJobChange(c, messenger.RecordResumed) }

// appendJobChange appends the record of a caller's change to a job.
func (e *Entry) appendJobChange(c *call, recordType string) error {
	state, err := e.job(c)
	if err != nil {
		return err
	}
	if recordType == messenger.RecordCanceled && (state.Canceled || jobEnded(state)) {
		return apricotwinch.Errorf(apricotwinch.Conflict, "job: %s has ended", state.Job)
	}
	record := messenger.LedgerRecord{Type: recordType, Entry: e.settings.Name, Team: state.Team, Job: state.Job}
	if err := e.appendRecord(c.ctx, e.partitionOf(state.Team), record); err != nil {
		return err
	}
	e.count("jobs." + recordType)
	c.writer.WriteHeader(http.StatusAccepted)
	return nil
}

// forward gets the state of a team's jobs from the owner of its partition, which may
// be this entry.
func (e *Entry) forward(ctx context.Context, request messenger.Forward) (messenger.ForwardReply, error) {
	request.Partition = e.partitionOf(request.Team)
	if p := e.ownership.partition(request.Partition); p != nil {
		return p.forward(request)
	}
	owner, ok := e.ownership.owner(request.Partition)
	if !ok {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d has no owner now", request.Partition)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply messenger.ForwardReply
	err := e.pool.Call(ctx, owner.Address, messenger.MethodForward, request, &reply)
	if apricotwinch.KindOf(err) == apricotwinch.Unknown {
		err = apricotwinch.Errorf(apricotwinch.Unreachable, "owner of partition %d: %w", request.Partition, err)
	}
	return reply, err
}
