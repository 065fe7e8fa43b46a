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

// idleConnTimeout is the time after which an idle connection to a target is closed.
const idleConnTimeout = time.Minute

// Headers of a request to a target.
const (
	// HeaderRequest carries the ID of the request.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline carries the time left until the deadline in milliseconds.
	HeaderDeadline = "X-Deadline-Millis"
)

// forward sends x to dest and returns the result. It stops waiting for the response when the grace
// period after the deadline is over.
func (r *requestForwarder) forward(dest *target, x *exchange) messenger.DispatchReply {
	if dest == nil {
		return refusedReply(apricotwinch.Errorf(apricotwinch.NoTarget, "service %s: its target on this host is no longer registered", x.service))
	}
	remaining := x.deadline.Sub(r.clock.Now())
	if remaining <= 0 {
		return refusedReply(apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent"))
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), r.clock, remaining+r.grace)
	defer cancel()
	req, err := newTargetRequest(dest.address, remaining, x)
	if err != nil {
		return refusedReply(apricotwinch.Errorf(apricotwinch.Unreachable, "target: %w", err))
	}
	resp, err := dest.client.Do(req.WithContext(ctx))
	if err != nil {
		return transportFailure(err)
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

func newTargetRequest(address string, remaining time.Duration, x *exchange) (*http.Request, error) {
	return sling.New().Post(address).
		Body(bytes.NewReader(x.request.Body)).
		Set(HeaderRequest, x.request.Request).
		Set(HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10)).
		Set("Content-Type", x.request.ContentType).
		Request()
}

// newTargetClient returns a client that opens at most the given number of connections and follows
// no redirects.
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

// transportFailure returns the reply for a request that failed without a response: refused if it
// was provably not sent, unknown otherwise.
func transportFailure(err error) messenger.DispatchReply {
	kind := transportErrorKind(err)
	failure := apricotwinch.Errorf(kind, "target: %w", err)
	if kind == apricotwinch.Unreachable {
		return refusedReply(failure)
	}
	return unknownReply(failure)
}

// readResponse returns the complete response of a target. The outcome is unknown if the response
// is incomplete or too large.
func readResponse(resp *http.Response) messenger.DispatchReply {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return unknownReply(apricotwinch.Errorf(apricotwinch.Unknown, "target: the response is incomplete: %w", err))
	}
	if len(body) > MaxBodyBytes {
		return unknownReply(apricotwinch.Errorf(apricotwinch.TargetFailed, "target: the response is larger than %d bytes", MaxBodyBytes))
	}
	return messenger.DispatchReply{
		Outcome:     messenger.OutcomeAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}
