package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/messenger"
)

// idleConnTimeout is how long a connection to a target may be idle.
const idleConnTimeout = time.Minute

// Headers of a request to a target.
const (
	// HeaderRequest carries the id of the request.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline carries the time left until the deadline in milliseconds.
	HeaderDeadline = "X-Deadline-Millis"
)

// post sends x to its target and returns what came back. It gives up some grace
// after the deadline.
func (r *requests) post(known *target, x *exchange) messenger.DispatchReply {
	if known == nil {
		return refused(apricotwinch.Errorf(apricotwinch.NoTarget, "service %s: its target on this host is gone", x.service))
	}
	left := x.deadline.Sub(r.clock.Now())
	if left <= 0 {
		return refused(apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent"))
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), r.clock, left+r.grace)
	defer cancel()
	req, err := newTargetRequest(known.address, left, x)
	if err != nil {
		return refused(apricotwinch.Errorf(apricotwinch.Unreachable, "target: %w", err))
	}
	resp, err := known.client.Do(req.WithContext(ctx))
	if err != nil {
		return sendFailure(err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

func newTargetRequest(address string, left time.Duration, x *exchange) (*http.Request, error) {
	return sling.New().Post(address).
		Body(bytes.NewReader(x.request.Body)).
		Set(HeaderRequest, x.request.Request).
		Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10)).
		Set("Content-Type", x.request.ContentType).
		Request()
}

// newTargetClient returns a client that opens at most connections connections
// and follows no redirect.
func newTargetClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func sendFailure(err error) messenger.DispatchReply {
	kind := sendKind(err)
	failure := apricotwinch.Errorf(kind, "target: %w", err)
	if kind == apricotwinch.Unreachable {
		return refused(failure)
	}
	return unknown(failure)
}

// readAnswer returns the whole answer, or unknown when it can't be had whole.
func readAnswer(resp *http.Response) messenger.DispatchReply {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return unknown(apricotwinch.Errorf(apricotwinch.Unknown, "target: the answer broke off: %w", err))
	}
	if len(body) > MaxBodyBytes {
		return unknown(apricotwinch.Errorf(apricotwinch.TargetFailed, "target: the answer is over %d bytes", MaxBodyBytes))
	}
	return messenger.DispatchReply{
		Outcome:     messenger.OutcomeAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}
