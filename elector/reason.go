package elector

// ClaimReason is why an entry claims the ownership.
type ClaimReason string

const (
	// NoOwnerKnown means that the owner of the greatest known epoch is not known by name, or that there
	// has been none.
	NoOwnerKnown ClaimReason = "no owner known"
	// OwnedBefore means that this entry, or an earlier process of it, owned the workloads last.
	OwnedBefore ClaimReason = "owned before"
	// OwnerNotListed means that the owner is no entry that this one knows.
	OwnerNotListed ClaimReason = "owner not listed"
	// OwnerLeft means that the owner shuts down.
	OwnerLeft ClaimReason = "owner left"
	// OwnerReleased means that the owner released the ownership.
	OwnerReleased ClaimReason = "owner released"
	// OwnerGone means that connections to the owner are refused.
	OwnerGone ClaimReason = "owner gone"
	// OwnerReplaced means that another process has the name of the owner.
	OwnerReplaced ClaimReason = "owner replaced"
	// OwnerSilent means that the owner hasn't been heard for too long.
	OwnerSilent ClaimReason = "owner silent"
)

// ClaimReason returns why this entry would claim the ownership now. Whether it does depends on its turn
// and on the store, too; see ClaimDue.
func (e *Elector) ClaimReason() ClaimReason {
	p := e.peers[e.owner.Name]
	switch {
	case e.owner.Name == "":
		return NoOwnerKnown
	case e.owner.Name == e.self.Name:
		return OwnedBefore
	case p == nil:
		return OwnerNotListed
	case e.ownerLeaving(p):
		return OwnerLeft
	case e.ownerReleased(p):
		return OwnerReleased
	case e.ownerGone(p):
		return OwnerGone
	case e.ownerReplaced(p) && !p.ping.Owner:
		return OwnerReplaced
	}
	return OwnerSilent
}
