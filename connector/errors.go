package connector

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"apricotwinch"
)

// codeApplication is the JSON-RPC error code of every error that carries a kind.
const codeApplication = -32000

// maxRetryAfterMillis bounds the time that a peer may ask a caller to wait, in milliseconds: an hour.
const maxRetryAfterMillis = 3_600_000

type errorData struct {
	Kind apricotwinch.Kind `json:"kind"`
	// RetryAfterMillis is when the caller should retry; 0 for the time of the kind.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// encodeError converts err, with its kind, to the JSON-RPC error that is sent to the peer.
func encodeError(err error) *jsonrpc2.Error {
	encoded := &jsonrpc2.Error{Code: codeApplication, Message: err.Error()}
	encoded.SetError(errorData{Kind: apricotwinch.KindOf(err), RetryAfterMillis: apricotwinch.RetryAfterOf(err).Milliseconds()})
	return encoded
}

// decodeError converts the error of a call. An error that the peer returned keeps its kind, or gets
// kind Internal if it has none. After any other error the peer may or may not have acted, so the
// result has kind Unknown.
func decodeError(method, address string, err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return apricotwinch.Errorf(apricotwinch.Unknown, "%s at %s: %w", method, address, err)
	}
	kind := apricotwinch.Internal
	var data errorData
	if remote.Data != nil && json.Unmarshal(*remote.Data, &data) == nil && data.Kind != "" {
		kind = data.Kind
	}
	wait := time.Duration(min(max(data.RetryAfterMillis, 0), maxRetryAfterMillis)) * time.Millisecond
	return apricotwinch.WithRetryAfter(apricotwinch.Errorf(kind, "%s at %s: %s", method, address, remote.Message), wait)
}
