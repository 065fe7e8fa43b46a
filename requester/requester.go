// Package requester calls the interface of an entry for callers and operators.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// Requester calls one entry with one token. It is safe for concurrent use.
type Requester struct {
	base   *sling.Sling
	client *http.Client
}

// New returns a requester of the entry at baseURL that authenticates by token.
func New(baseURL, token string, client *http.Client) *Requester {
	base := sling.New().Base(strings.TrimSuffix(baseURL, "/")+"/").Set("Authorization", "Bearer "+token)
	return &Requester{base: base, client: client}
}

// Options change how a request to a service is handled.
type Options struct {
	// Team names the team of the service, for operators.
	Team string
	// Key makes the request run at most once, whoever sends it how often.
	Key string
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Timeout is the time until the deadline; 0 takes the service's.
	Timeout time.Duration
	// Urgency lowers the urgency of the request; "" takes the service's.
	Urgency string
	// ContentType is the media type of the body.
	ContentType string
}

// Answer is the whole answer of a target.
type Answer struct {
	request string
	status  int
	body    []byte
}

// Request returns the id of the request.
func (a Answer) Request() string { return a.request }

// Status returns the status code of the target.
func (a Answer) Status() int { return a.status }

// Body returns the body of the answer.
func (a Answer) Body() []byte { return a.body }

// Request sends body to a service and returns the answer of its target. An error
// has the kind that the entry gave, Unreachable when the entry got nothing, or
// Unknown.
func (r *Requester) Request(ctx context.Context, service string, body []byte, options Options) (Answer, error) {
	s := r.base.New().Post("v1/services/" + url.PathEscape(service) + "/requests" + query(options.Team)).Body(bytes.NewReader(body))
	for _, h := range options.headers() {
		s = s.Set(h[0], h[1])
	}
	response, err := r.send(ctx, s)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	data, err := readWhole(response)
	if err != nil {
		return Answer{}, err
	}
	request := response.Header.Get("X-Request-Id")
	if refused := response.Header.Get("X-Error-Kind"); refused != "" {
		return Answer{request: request}, decodeError(response.StatusCode, data)
	}
	return Answer{request: request, status: response.StatusCode, body: data}, nil
}

func (o Options) headers() [][2]string {
	var headers [][2]string
	add := func(name, value string, set bool) {
		if set {
			headers = append(headers, [2]string{name, value})
		}
	}
	add("Idempotency-Key", o.Key, o.Key != "")
	add("X-Idempotent", "true", o.Idempotent)
	add("X-Timeout-Millis", strconv.FormatInt(o.Timeout.Milliseconds(), 10), o.Timeout > 0)
	add("X-Urgency", o.Urgency, o.Urgency != "")
	add("Content-Type", o.ContentType, o.ContentType != "")
	return headers
}

// Submit submits a job; the same key of a team names the same job.
func (r *Requester) Submit(ctx context.Context, team, key string, spec messenger.JobSpec) (string, error) {
	s := r.base.New().Post("v1/jobs" + query(team)).BodyJSON(spec)
	if key != "" {
		s = s.Set("Idempotency-Key", key)
	}
	var answer messenger.SubmitAnswer
	err := r.receive(ctx, s, &answer)
	return answer.Job, err
}

// Jobs returns the jobs of a team in order of submission.
func (r *Requester) Jobs(ctx context.Context, team string) ([]messenger.JobState, error) {
	var list messenger.JobList
	err := r.receive(ctx, r.base.New().Get("v1/jobs"+query(team)), &list)
	return list.Jobs, err
}

// Job returns the state of a job.
func (r *Requester) Job(ctx context.Context, team, job string) (messenger.JobState, error) {
	var state messenger.JobState
	err := r.receive(ctx, r.base.New().Get("v1/jobs/"+url.PathEscape(job)+query(team)), &state)
	return state, err
}

// Follow calls seen with each state of a job until it has ended or the entry
// shuts down.
func (r *Requester) Follow(ctx context.Context, team, job string, seen func(messenger.JobState)) error {
	response, err := r.send(ctx, r.base.New().Get("v1/jobs/"+url.PathEscape(job)+"/progress"+query(team)))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := readWhole(response)
		return decodeError(response.StatusCode, data)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var state messenger.JobState
		if err := decoder.Decode(&state); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return apricotwinch.Errorf(apricotwinch.Unreachable, "progress of %s: %w", job, err)
		}
		seen(state)
	}
}

// Cancel cancels a job.
func (r *Requester) Cancel(ctx context.Context, team, job string) error {
	return r.receive(ctx, r.base.New().Delete("v1/jobs/"+url.PathEscape(job)+query(team)), nil)
}

// Resume lets a parked job be tried again.
func (r *Requester) Resume(ctx context.Context, team, job string) error {
	return r.receive(ctx, r.base.New().Post("v1/jobs/"+url.PathEscape(job)+"/resume"+query(team)), nil)
}

// Settings returns the leaf at path, or every leaf under it.
func (r *Requester) Settings(ctx context.Context, path string) ([]messenger.SettingsAnswer, error) {
	var data json.RawMessage
	if err := r.receive(ctx, r.base.New().Get("v1/settings/"+path), &data); err != nil {
		return nil, err
	}
	var list messenger.SettingsList
	if err := json.Unmarshal(data, &list); err == nil && list.Entries != nil {
		return list.Entries, nil
	}
	var answer messenger.SettingsAnswer
	err := json.Unmarshal(data, &answer)
	return []messenger.SettingsAnswer{answer}, err
}

// Edit replaces the leaf at path; base is the revision that the edit is based on.
func (r *Requester) Edit(ctx context.Context, path string, base int, value json.RawMessage) (messenger.SettingsAnswer, error) {
	var answer messenger.SettingsAnswer
	s := r.base.New().Put("v1/settings/" + path).BodyJSON(messenger.SettingsEdit{Base: base, Value: value})
	err := r.receive(ctx, s, &answer)
	return answer, err
}

// Remove removes the leaf at path.
func (r *Requester) Remove(ctx context.Context, path string, base int) error {
	s := r.base.New().Delete("v1/settings/" + path).BodyJSON(messenger.SettingsEdit{Base: base})
	return r.receive(ctx, s, nil)
}

// Validate returns nil when an edit would be accepted now.
func (r *Requester) Validate(ctx context.Context, path string, base int, value json.RawMessage) error {
	s := r.base.New().Post("v1/validate/" + path).BodyJSON(messenger.SettingsEdit{Base: base, Value: value})
	return r.receive(ctx, s, nil)
}

// History returns the remembered edits of path, the oldest first.
func (r *Requester) History(ctx context.Context, path string) ([]messenger.SettingsAnswer, error) {
	var list messenger.SettingsList
	err := r.receive(ctx, r.base.New().Get("v1/history/"+path), &list)
	return list.Entries, err
}

// SwitchDataCentre takes a data centre out of service or brings it back.
func (r *Requester) SwitchDataCentre(ctx context.Context, name string, out bool) (messenger.SettingsAnswer, error) {
	order := "back"
	if out {
		order = "out"
	}
	var answer messenger.SettingsAnswer
	err := r.receive(ctx, r.base.New().Post("v1/data-centres/"+url.PathEscape(name)+"/"+order), &answer)
	return answer, err
}

// Hosts returns what the entry knows of the hosts.
func (r *Requester) Hosts(ctx context.Context) ([]messenger.HostView, error) {
	var list messenger.HostList
	err := r.receive(ctx, r.base.New().Get("v1/hosts"), &list)
	return list.Hosts, err
}

func query(team string) string {
	if team == "" {
		return ""
	}
	return "?team=" + url.QueryEscape(team)
}

// receive sends a call and decodes its answer into v, unless v is nil.
func (r *Requester) receive(ctx context.Context, s *sling.Sling, v any) error {
	response, err := r.send(ctx, s)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := readWhole(response)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeError(response.StatusCode, data)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(data, v); err != nil {
		return apricotwinch.Errorf(apricotwinch.Internal, "answer: %w", err)
	}
	return nil
}

func (r *Requester) send(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	request, err := s.Request()
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "call: %w", err)
	}
	response, err := r.client.Do(request.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, apricotwinch.Errorf(apricotwinch.Unreachable, "entry: %w", err)
	}
	return nil, apricotwinch.Errorf(apricotwinch.Unknown, "entry: %w", err)
}

func readWhole(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Unknown, "answer: %w", err)
	}
	return data, nil
}

func decodeError(status int, data []byte) error {
	var answer messenger.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Kind == "" {
		return apricotwinch.Errorf(apricotwinch.Unknown, "entry answered %s", fmt.Sprint(status))
	}
	return apricotwinch.Errorf(apricotwinch.Kind(answer.Kind), "%s", answer.Text)
}
