package conductor

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/messenger"
)

// ClaimRecords returns the records of the append by which a member claims an epoch.
func ClaimRecords(member messenger.Member, epoch int64) []appender.KeyedRecord {
	return []appender.KeyedRecord{
		encode(KeyOwner, messenger.OwnerRecord{Member: member, Epoch: int(epoch)}),
		encode(claimKey(epoch), messenger.OwnerClaimRecord{Epoch: int(epoch), Complete: true, BoundsLeases: true}),
	}
}

func claimKey(epoch int64) string { return prefixClaim + strconv.FormatInt(epoch, 10) }

// restoreClaims returns the last owner's record of placements with the epoch up to which it holds. An owner
// that wrote no such record wrote nothing, and if its claim says so, it did nothing else than what the
// record says. allHeld is whether that owner and those since, by their claims, hold all starts until the
// placements are durable. The first append of this owner deletes the records of earlier claims. The error is
// Invalid for claims that can't be decoded, of which only the epoch is known.
func (c *Conductor) restoreClaims(
	records []appender.KeyedRecord, last messenger.PlacementsRecord,
) (restored messenger.PlacementsRecord, allHeld bool, err error) {
	var errs []error
	claims := map[string]messenger.OwnerClaimRecord{}
	for _, r := range records {
		if !strings.HasPrefix(r.Key(), prefixClaim) {
			continue
		}
		var claim messenger.OwnerClaimRecord
		if err := json.Unmarshal(r.Value(), &claim); err != nil {
			errs = append(errs, apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err))
		}
		claims[r.Key()] = claim
		if r.Key() != claimKey(c.epoch) {
			c.deleteRecord(r.Key())
		}
	}
	allHeld = claims[claimKey(int64(last.Epoch))].Complete
	for last.Epoch > 0 && int64(last.Epoch) < c.epoch-1 {
		claim, ok := claims[claimKey(int64(last.Epoch)+1)]
		if !ok {
			break
		}
		last.Epoch++
		last.Complete = last.Complete && claim.Complete
		allHeld = allHeld && claim.Complete
		switch {
		case !claim.BoundsLeases:
			last.BoundedSince = 0
		case last.BoundedSince == 0:
			last.BoundedSince = last.Epoch
		}
	}
	return last, allHeld, errors.Join(errs...)
}
