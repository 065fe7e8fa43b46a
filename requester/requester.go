// Package requester is the client of an entry's HTTP API, for callers and operators.
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

// maxResponseBytes bounds the size of a response body that is read as a whole, in bytes.
const maxResponseBytes = 64 << 20

// Requester calls one entry with one token. It is safe for concurrent use.
type Requester struct {
	base   *sling.Sling
	client *http.Client
}

// New returns a requester for the entry at baseURL that authenticates with token.
func New(baseURL, token string, client *http.Client) *Requester {
	base := sling.New().Base(strings.TrimSuffix(baseURL, "/")+"/").Set("Authorization", "Bearer "+token)
	return &Requester{base: base, client: client}
}

// Options control how a request to a service is handled.
type Options struct {
	// Team is the team that owns the service. Only operators set it.
	Team string
	// Key is the idempotency key: requests with the same key run at most once, however often and by
	// whomever they are sent.
	Key string
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Timeout is the time until the deadline; 0 means the service's default.
	Timeout time.Duration
	// Urgency is an urgency below that of the service; "" means the service's.
	Urgency string
	// ContentType is the media type of the body.
	ContentType string
}

// Response is the complete response of a target.
type Response struct {
	request string
	status  int
	body    []byte
}

// Request returns the ID of the request.
func (r Response) Request() string { return r.request }

// Status returns the HTTP status code of the target.
func (r Response) Status() int { return r.status }

// Body returns the body of the response.
func (r Response) Body() []byte { return r.body }

// Request sends body to a service and returns the response of its target. An error has the kind
// that the entry returned, Unreachable if nothing reached the entry, or Unknown if the request may
// have run.
func (r *Requester) Request(ctx context.Context, service string, body []byte, options Options) (Response, error) {
	s := r.base.New().Post("v1/services/" + url.PathEscape(service) + "/requests" + teamQuery(options.Team)).Body(bytes.NewReader(body))
	for _, h := range options.headers() {
		s = s.Set(h[0], h[1])
	}
	response, err := r.send(ctx, s)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	data, err := readBody(response)
	if err != nil {
		return Response{}, err
	}
	request := response.Header.Get("X-Request-Id")
	if errorKind := response.Header.Get("X-Error-Kind"); errorKind != "" {
		return Response{request: request}, decodeError(response.StatusCode, data)
	}
	return Response{request: request, status: response.StatusCode, body: data}, nil
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

// Submit submits a job and returns its ID. Submitting again with the same team and key returns the
// same job; "" means no key.
func (r *Requester) Submit(ctx context.Context, team, key string, spec messenger.JobSpec) (string, error) {
	s := r.base.New().Post("v1/jobs" + teamQuery(team)).BodyJSON(spec)
	if key != "" {
		s = s.Set("Idempotency-Key", key)
	}
	var answer messenger.SubmitAnswer
	err := r.call(ctx, s, &answer)
	return answer.Job, err
}

// Jobs returns the jobs of a team in order of submission.
func (r *Requester) Jobs(ctx context.Context, team string) ([]messenger.JobState, error) {
	var list messenger.JobList
	err := r.call(ctx, r.base.New().Get("v1/jobs"+teamQuery(team)), &list)
	return list.Jobs, err
}

// Job returns the state of a job.
func (r *Requester) Job(ctx context.Context, team, job string) (messenger.JobState, error) {
	var state messenger.JobState
	err := r.call(ctx, r.base.New().Get("v1/jobs/"+url.PathEscape(job)+teamQuery(team)), &state)
	return state, err
}

// Follow calls onState with each state of a job until the job has ended or the entry shuts down.
func (r *Requester) Follow(ctx context.Context, team, job string, onState func(messenger.JobState)) error {
	response, err := r.send(ctx, r.base.New().Get("v1/jobs/"+url.PathEscape(job)+"/progress"+teamQuery(team)))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := readBody(response)
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
		onState(state)
	}
}

// Cancel cancels a job.
func (r *Requester) Cancel(ctx context.Context, team, job string) error {
	return r.call(ctx, r.base.New().Delete("v1/jobs/"+url.PathEscape(job)+teamQuery(team)), nil)
}

// Resume makes a parked job, which is no longer tried, eligible to run again.
func (r *Requester) Resume(ctx context.Context, team, job string) error {
	return r.call(ctx, r.base.New().Post("v1/jobs/"+url.PathEscape(job)+"/resume"+teamQuery(team)), nil)
}

// Settings returns the setting at path, or every setting below it.
func (r *Requester) Settings(ctx context.Context, path string) ([]messenger.SettingsAnswer, error) {
	var data json.RawMessage
	if err := r.call(ctx, r.base.New().Get("v1/settings/"+path), &data); err != nil {
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

// Edit replaces the setting at path; base is the revision that the edit is based on.
func (r *Requester) Edit(ctx context.Context, path string, base int, value json.RawMessage) (messenger.SettingsAnswer, error) {
	var answer messenger.SettingsAnswer
	s := r.base.New().Put("v1/settings/" + path).BodyJSON(messenger.SettingsEdit{Base: base, Value: value})
	err := r.call(ctx, s, &answer)
	return answer, err
}

// Remove removes the setting at path; base is the revision that the removal is based on.
func (r *Requester) Remove(ctx context.Context, path string, base int) error {
	s := r.base.New().Delete("v1/settings/" + path).BodyJSON(messenger.SettingsEdit{Base: base})
	return r.call(ctx, s, nil)
}

// Validate returns nil if an edit would be accepted now, and the error of the edit otherwise.
func (r *Requester) Validate(ctx context.Context, path string, base int, value json.RawMessage) error {
	s := r.base.New().Post("v1/validate/" + path).BodyJSON(messenger.SettingsEdit{Base: base, Value: value})
	return r.call(ctx, s, nil)
}

// History returns the edits of path that the entry keeps, oldest first.
func (r *Requester) History(ctx context.Context, path string) ([]messenger.SettingsAnswer, error) {
	var list messenger.SettingsList
	err := r.call(ctx, r.base.New().Get("v1/history/"+path), &list)
	return list.Entries, err
}

// SwitchDataCentre takes a data centre out of service, or puts it back into service.
func (r *Requester) SwitchDataCentre(ctx context.Context, name string, out bool) (messenger.SettingsAnswer, error) {
	action := "back"
	if out {
		action = "out"
	}
	var answer messenger.SettingsAnswer
	err := r.call(ctx, r.base.New().Post("v1/data-centres/"+url.PathEscape(name)+"/"+action), &answer)
	return answer, err
}

// Hosts returns the entry's view of the hosts.
func (r *Requester) Hosts(ctx context.Context) ([]messenger.HostView, error) {
	var list messenger.HostList
	err := r.call(ctx, r.base.New().Get("v1/hosts"), &list)
	return list.Hosts, err
}

func teamQuery(team string) string {
	if team == "" {
		return ""
	}
	return "?team=" + url.QueryEscape(team)
}

// call sends a request and decodes the JSON response into v, unless v is nil.
func (r *Requester) call(ctx context.Context, s *sling.Sling, v any) error {
	response, err := r.send(ctx, s)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := readBody(response)
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

func readBody(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Unknown, "answer: %w", err)
	}
	return data, nil
}

func decodeError(status int, data []byte) error {
	var answer messenger.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Kind == "" {
		return apricotwinch.Errorf(apricotwinch.Unknown, "entry: HTTP status %s without an error kind", fmt.Sprint(status))
	}
	return apricotwinch.Errorf(apricotwinch.Kind(answer.Kind), "%s", answer.Text)
}
