package dispatcher

import (
	"context"

	"apricotwinch"
	"apricotwinch/messenger"
)

func (e *Entry) answerKeyed(_ context.Context, _ string, _ *request) (messenger.DispatchReply, error) {
	return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.LogUnavailable, "tmp")
}
