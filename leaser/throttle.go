package leaser

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// maxPermille is the greatest share of its processors that an attempt can keep, in thousandths.
const maxPermille = 1000

// Throttle checks an owner's command to change the share of its processors that an attempt keeps.
// The reply says whether the attempt runs on this host. Throttle fails with kind StaleEpoch if the
// owner was replaced, and with kind Invalid if the share is not from 1 to 1000 thousandths.
func (l *Leaser) Throttle(command messenger.Throttle) (messenger.ThrottleReply, error) {
	if command.Permille < 1 || command.Permille > maxPermille {
		return messenger.ThrottleReply{}, apricotwinch.Errorf(apricotwinch.Invalid,
			"permille: %d is not from 1 to %d", command.Permille, maxPermille)
	}
	if err := l.checkEpoch(command.Partition, command.Epoch); err != nil {
		return messenger.ThrottleReply{}, err
	}
	return messenger.ThrottleReply{Found: l.MayRun(apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt))}, nil
}
