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

// Bounds of a job.
const (
	maxPayloadBytes = 64 << 10
	maxNameBytes    = 128
	forwardTimeout  = 3 * time.Second
	progressPeriod  = 250 * time.Millisecond
	confirmTimeout  = 5 * time.Second
	confirmPeriod   = 20 * time.Millisecond
)

func init() {
	register("POST /v1/jobs", (*Entry).submit)
	register("GET /v1/jobs", (*Entry).listJobs)
	register("GET /v1/jobs/{job}", (*Entry).showJob)
	register("GET /v1/jobs/{job}/progress", (*Entry).followJob)
	register("DELETE /v1/jobs/{job}", (*Entry).cancelJob)
	register("POST /v1/jobs/{job}/resume", (*Entry).resumeJob)
}

// partitionOf returns the partition of a team's jobs and keys.
func (e *Entry) partitionOf(team string) int {
	return int(xxhash.Sum64String(team) % uint64(e.settings.Partitions))
}

// jobID returns the id of a new job; the same key of a team gives the same id.
func jobID(team, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	digest := uuid.NewSHA1(uuid.NameSpaceOID, []byte(team+"\x00"+key))
	return hex.EncodeToString(digest[:])
}

func (e *Entry) submit(c *call) error {
	team, err := c.team()
	if err != nil {
		return err
	}
	var spec messenger.JobSpec
	if err := c.decode(&spec); err != nil {
		return err
	}
	if err := checkSpec(&spec); err != nil {
		return err
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	id := jobID(team, key)
	if key != "" {
		if _, err := e.checkKey(c.ctx, team, id, spec); err != nil {
			return err
		}
	}
	record := messenger.LedgerRecord{
		Type: messenger.RecordSubmitted, Entry: e.settings.Name, Team: team, Job: id, Spec: &spec,
	}
	if err := e.appendRecord(c.ctx, e.partitionOf(team), record); err != nil {
		return err
	}
	if err := e.confirm(c.ctx, team, id, key, spec); err != nil {
		return err
	}
	e.count("jobs.submitted")
	writeJSON(c.writer, http.StatusAccepted, messenger.SubmitAnswer{Job: id})
	return nil
}

// checkKey reports whether the job that a key stands for is known; it refuses a
// key that stands for another job than spec.
func (e *Entry) checkKey(ctx context.Context, team, id string, spec messenger.JobSpec) (bool, error) {
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

// sameSpec reports whether a and b are the same job on the wire.
func sameSpec(a, b messenger.JobSpec) bool {
	one, errOne := json.Marshal(a)
	two, errTwo := json.Marshal(b)
	return errOne == nil && errTwo == nil && bytes.Equal(one, two)
}

// confirm waits, now that the record of spec is durable, until the owner shows the
// job, so that its submitter can see it. It refuses a key that another job got
// first; without a key a job that is not shown in time is there all the same.
func (e *Entry) confirm(ctx context.Context, team, id, key string, spec messenger.JobSpec) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		known, err := e.checkKey(ctx, team, id, spec)
		if known {
			return err
		}
		if e.sleepUntil(ctx, e.clock.Now().Add(confirmPeriod)) {
			continue
		}
		if key == "" {
			return nil
		}
		return apricotwinch.Errorf(apricotwinch.Unknown, "%s: the job is durable, but whether another one has the key was not seen in time; submit it again", headerKey)
	}
}

// specCheck is one rule for the fields of a job.
type specCheck struct {
	field string
	bad   func(*messenger.JobSpec) bool
	want  string
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

// checkSpec fills in defaults and returns an error of kind Invalid that names
// the first bad field.
func checkSpec(spec *messenger.JobSpec) error {
	if spec.Urgency == "" {
		spec.Urgency = apricotwinch.Batch.String()
	}
	if _, err := apricotwinch.ParseUrgency(spec.Urgency); err != nil {
		return err
	}
	for _, check := range specChecks {
		if check.bad(spec) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s", check.field, check.want)
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

// followJob streams the state of a job, one JSON line for each change, until the
// job has ended or the caller leaves.
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
		if ended(state) || e.drainer.Draining() {
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

// ended reports whether nothing of a job will run any more.
func ended(state messenger.JobState) bool {
	return !slices.ContainsFunc(state.Tasks, func(t messenger.TaskState) bool {
		return t.Phase == messenger.TaskWaiting || t.Phase == messenger.TaskAssigned
	})
}

func (e *Entry) cancelJob(c *call) error { return e.change(c, messenger.RecordCanceled) }

func (e *Entry) resumeJob(c *call) error { return e.change(c, messenger.RecordResumed) }

// change appends a caller's change of a job.
func (e *Entry) change(c *call, recordType string) error {
	state, err := e.job(c)
	if err != nil {
		return err
	}
	if recordType == messenger.RecordCanceled && (state.Canceled || ended(state)) {
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

// forward asks the owner of a team's partition about its jobs.
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
