// Package deduplicator holds a keyed request to one run at most. It folds a keys
// stream, in which the first claim of a key wins, and decides what an entry does
// next for a keyed request.
package deduplicator

import (
	"encoding/json"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxReleased is the number of released request ids remembered for one key, so
// that a second copy of their claims that lands later is void.
const maxReleased = 32

// Bounds is what a folder remembers.
type Bounds struct {
	retention time.Duration
	keys      int
	bytes     int
}

// NewBounds returns bounds: a key is remembered for retention after its last
// change, which the log's retention has to exceed, and new keys are refused while
// keys keys or answers of bytes bytes are remembered.
func NewBounds(retention time.Duration, keys, bytes int) Bounds {
	return Bounds{retention: retention, keys: keys, bytes: bytes}
}

// Folder folds one keys stream. It isn't safe for concurrent use.
//
// The first claim of a free key wins; a claim of a key that is claimed or settled
// is void. A request claims at most once: after its release every copy of its
// claim is void. The first answer settles a key; an unknown outcome gives way to a
// later answer or release.
type Folder struct {
	bounds  Bounds
	keys    map[keyID]*entry
	changes []change
	bytes   int
	next    int64
	now     time.Time
}

type keyID struct {
	team    string
	service string
	key     string
}

// entry is what is remembered of one key.
type entry struct {
	claim     Claim
	released  []string
	changedAt time.Time
}

// change is a change of a key, in order of time.
type change struct {
	id keyID
	at time.Time
}

// rules is the table from the type of a record to its effect on a key.
var rules = map[string]func(e *entry, record messenger.KeyRecord) bool{
	messenger.KeyClaimed:  (*entry).claimBy,
	messenger.KeyReleased: (*entry).releaseBy,
	messenger.KeySettled:  (*entry).settleBy,
}

// New returns a folder that starts at offset 0.
func New(bounds Bounds) *Folder {
	return &Folder{bounds: bounds, keys: make(map[keyID]*entry)}
}

// Next returns the offset of the record that the folder expects.
func (f *Folder) Next() int64 { return f.next }

// Gap tells that the records before offset earliest were dropped unread; what was
// folded stays remembered.
func (f *Folder) Gap(earliest int64) { f.next = max(f.next, earliest) }

// FoldData decodes data and folds it. It fails with kind Invalid for a record that
// can't be decoded, which changes nothing.
func (f *Folder) FoldData(now time.Time, offset int64, data []byte) error {
	var record messenger.KeyRecord
	err := json.Unmarshal(data, &record)
	if err == nil && rules[record.Type] == nil {
		err = apricotwinch.Errorf(apricotwinch.Invalid, "type: %q is none of the known ones", record.Type)
	}
	if err != nil {
		f.Gap(offset + 1)
		return apricotwinch.Errorf(apricotwinch.Invalid, "key record at offset %d: %w", offset, err)
	}
	f.Fold(now, offset, record)
	return nil
}

// Fold folds the record at offset, which was read by now. A record before Next
// changes nothing.
func (f *Folder) Fold(now time.Time, offset int64, record messenger.KeyRecord) {
	rule := rules[record.Type]
	if offset < f.next {
		return
	}
	f.next = offset + 1
	f.Expire(now)
	if rule == nil {
		return
	}
	id := keyID{team: record.Team, service: record.Service, key: record.Key}
	e := f.keys[id]
	if e == nil {
		e = &entry{claim: Claim{phase: Released}}
	}
	size := len(e.claim.answer.Body)
	if !rule(e, record) {
		return
	}
	f.keys[id] = e
	f.bytes += len(e.claim.answer.Body) - size
	e.changedAt = f.now
	f.changes = append(f.changes, change{id: id, at: f.now})
}

// Expire forgets the keys that did not change for the retention time.
func (f *Folder) Expire(now time.Time) {
	if now.After(f.now) {
		f.now = now
	}
	for len(f.changes) > 0 && f.now.Sub(f.changes[0].at) >= f.bounds.retention {
		c := f.changes[0]
		f.changes = f.changes[1:]
		if e := f.keys[c.id]; e != nil && e.changedAt.Equal(c.at) {
			f.bytes -= len(e.claim.answer.Body)
			delete(f.keys, c.id)
		}
	}
}

// Lookup returns the latest claim of a key that won.
func (f *Folder) Lookup(team, service, key string) (Claim, bool) {
	e := f.keys[keyID{team: team, service: service, key: key}]
	if e == nil || e.claim.request == "" {
		return Claim{}, false
	}
	return e.claim, true
}

// Len returns the number of keys remembered.
func (f *Folder) Len() int { return len(f.keys) }

// Full reports whether a bound is reached, so that no new key may be claimed.
func (f *Folder) Full() bool {
	return len(f.keys) >= f.bounds.keys || f.bytes >= f.bounds.bytes
}

// wasReleased reports whether request released its claim of the key.
func (f *Folder) wasReleased(id keyID, request string) bool {
	e := f.keys[id]
	return e != nil && slices.Contains(e.released, request)
}

// claimBy applies a claim and reports whether it changed the key.
func (e *entry) claimBy(record messenger.KeyRecord) bool {
	if e.claim.phase != Released || record.Request == "" || slices.Contains(e.released, record.Request) {
		return false
	}
	e.claim = newClaim(record)
	return true
}

// releaseBy applies a release; one that lands before its claim voids the claim.
func (e *entry) releaseBy(record messenger.KeyRecord) bool {
	if record.Request == "" || slices.Contains(e.released, record.Request) {
		return false
	}
	if e.claim.request == record.Request {
		if e.claim.final() {
			return false
		}
		e.claim.phase = Released
		e.claim.answer = messenger.DispatchReply{}
	}
	e.released = append(e.released, record.Request)
	if len(e.released) > maxReleased {
		e.released = e.released[1:]
	}
	return true
}

// settleBy applies an outcome. It adopts the claim when that expired from the log.
func (e *entry) settleBy(record messenger.KeyRecord) bool {
	if record.Answer == nil || record.Request == "" || slices.Contains(e.released, record.Request) {
		return false
	}
	if e.claim.request == "" {
		e.claim = newClaim(record)
	}
	if e.claim.request != record.Request || e.claim.phase == Settled && (e.claim.final() || record.Answer.Outcome != messenger.OutcomeAnswered) {
		return false
	}
	e.claim.phase = Settled
	e.claim.answer = *record.Answer
	return true
}
