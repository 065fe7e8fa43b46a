package leaser

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// fullShare is the greatest share of its processors that an attempt can keep, in
// thousandths.
const fullShare = 1000

// Throttle checks an owner's command to change the share of its processors that
// an attempt keeps, and reports whether the attempt runs here. It fails with kind
// StaleEpoch for a replaced owner and with Invalid for a share that is none.
func (l *Leaser) Throttle(command messenger.Throttle) (messenger.ThrottleReply, error) {
	if command.Permille < 1 || command.Permille > fullShare {
		return messenger.ThrottleReply{}, apricotwinch.Errorf(apricotwinch.Invalid,
			"permille: %d is not from 1 to %d", command.Permille, fullShare)
	}
	if err := l.checkEpoch(command.Partition, command.Epoch); err != nil {
		return messenger.ThrottleReply{}, err
	}
	return messenger.ThrottleReply{Found: l.Live(apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt))}, nil
}
