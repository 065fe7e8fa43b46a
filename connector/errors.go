package connector

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"apricotwinch"
)

// codeApplication is the JSON-RPC code of every error that carries a kind.
const codeApplication = -32000

type errorData struct {
	Kind apricotwinch.Kind `json:"kind"`
}

// encodeError returns err in the form that travels to the peer.
func encodeError(err error) *jsonrpc2.Error {
	encoded := &jsonrpc2.Error{Code: codeApplication, Message: err.Error()}
	encoded.SetError(errorData{Kind: apricotwinch.KindOf(err)})
	return encoded
}

// decodeError returns the peer's error with its kind; any other error of a call
// leaves open whether the peer acted, and is of kind Unknown.
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
	return apricotwinch.Errorf(kind, "%s at %s: %s", method, address, remote.Message)
}
