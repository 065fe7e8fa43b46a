// Package deduplicator runs a request with an idempotency key at most once. It replays
// a keys stream, in which the first claim of a key wins, and decides what an entry
// does next for a request with a key.
package deduplicator

import (
	"encoding/json"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxReleased is the number of released request ids remembered per key, so that copies
// of their claims that are appended later are rejected.
const maxReleased = 32

// Bounds limits what a KeyTable remembers.
type Bounds struct {
	retention time.Duration
	keys      int
	bytes     int
}

// NewBounds returns bounds. A key is remembered for retention after its last change;
// the retention of the log has to be longer. New keys are refused while the number of
// remembered keys is at least keys or the size of their answers is at least bytes.
func NewBounds(retention time.Duration, keys, bytes int) Bounds {
	return Bounds{retention: retention, keys: keys, bytes: bytes}
}

// KeyTable holds the state of the keys of one keys stream, whose records it applies in
// order. It isn't safe for concurrent use.
//
// The first claim of a free key wins; a claim of a key that is claimed or settled is
// rejected. A request can claim a key only once: after its release, every copy of its
// claim is rejected. The first answer settles a key. An unknown outcome is replaced by
// a later answer or release.
type KeyTable struct {
	bounds  Bounds
	keys    map[keyID]*keyState
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

// keyState is the remembered state of one key.
type keyState struct {
	claim     Claim
	released  []string
	changedAt time.Time
}

// change is the time of one change of a key. A table holds the changes in order of
// time.
type change struct {
	id keyID
	at time.Time
}

// recordHandlers maps the type of a record to the function that applies it to the
// state of its key and reports whether that changed.
var recordHandlers = map[string]func(s *keyState, record messenger.KeyRecord) bool{
	messenger.KeyClaimed:  (*keyState).applyClaim,
	messenger.KeyReleased: (*keyState).applyRelease,
	messenger.KeySettled:  (*keyState).applySettlement,
}

// New returns an empty table that starts at offset 0.
func New(bounds Bounds) *KeyTable {
	return &KeyTable{bounds: bounds, keys: make(map[keyID]*keyState)}
}

// Next returns the offset of the next record to apply.
func (t *KeyTable) Next() int64 { return t.next }

// HandleGap skips the records before offset earliest, which were dropped from the log
// before they were read. The state of the keys is kept.
func (t *KeyTable) HandleGap(earliest int64) { t.next = max(t.next, earliest) }

// ApplyData decodes the record in data and applies it like Apply. A record that can't
// be decoded or has an unknown type is skipped, with an error of kind Invalid.
func (t *KeyTable) ApplyData(now time.Time, offset int64, data []byte) error {
	var record messenger.KeyRecord
	err := json.Unmarshal(data, &record)
	if err == nil && recordHandlers[record.Type] == nil {
		err = apricotwinch.Errorf(apricotwinch.Invalid, "type: %q is unknown", record.Type)
	}
	if err != nil {
		t.HandleGap(offset + 1)
		return apricotwinch.Errorf(apricotwinch.Invalid, "key record at offset %d: %w", offset, err)
	}
	t.Apply(now, offset, record)
	return nil
}

// Apply applies the record at offset, read at now. A record before Next has no effect.
func (t *KeyTable) Apply(now time.Time, offset int64, record messenger.KeyRecord) {
	handler := recordHandlers[record.Type]
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.Expire(now)
	if handler == nil {
		return
	}
	id := keyID{team: record.Team, service: record.Service, key: record.Key}
	s := t.keys[id]
	if s == nil {
		s = &keyState{claim: Claim{phase: Released}}
	}
	size := len(s.claim.answer.Body)
	if !handler(s, record) {
		return
	}
	t.keys[id] = s
	t.bytes += len(s.claim.answer.Body) - size
	s.changedAt = t.now
	t.changes = append(t.changes, change{id: id, at: t.now})
}

// Expire forgets the keys that have not changed for the retention time.
func (t *KeyTable) Expire(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
	for len(t.changes) > 0 && t.now.Sub(t.changes[0].at) >= t.bounds.retention {
		c := t.changes[0]
		t.changes = t.changes[1:]
		if s := t.keys[c.id]; s != nil && s.changedAt.Equal(c.at) {
			t.bytes -= len(s.claim.answer.Body)
			delete(t.keys, c.id)
		}
	}
}

// Lookup returns the latest winning claim of a key, and whether there is one.
func (t *KeyTable) Lookup(team, service, key string) (Claim, bool) {
	s := t.keys[keyID{team: team, service: service, key: key}]
	if s == nil || s.claim.request == "" {
		return Claim{}, false
	}
	return s.claim, true
}

// Len returns the number of remembered keys.
func (t *KeyTable) Len() int { return len(t.keys) }

// Full reports whether the limit of keys or bytes is reached, so that no new key may
// be claimed.
func (t *KeyTable) Full() bool {
	return len(t.keys) >= t.bounds.keys || t.bytes >= t.bounds.bytes
}

// wasReleased reports whether the claim of the key by request was released.
func (t *KeyTable) wasReleased(id keyID, request string) bool {
	s := t.keys[id]
	return s != nil && slices.Contains(s.released, request)
}

// applyClaim applies a claim and reports whether it changed the key.
func (s *keyState) applyClaim(record messenger.KeyRecord) bool {
	if s.claim.phase != Released || record.Request == "" || slices.Contains(s.released, record.Request) {
		return false
	}
	s.claim = newClaim(record)
	return true
}

// applyRelease applies a release and reports whether it changed the key. A release that
// precedes its claim in the stream causes the claim to be rejected.
func (s *keyState) applyRelease(record messenger.KeyRecord) bool {
	if record.Request == "" || slices.Contains(s.released, record.Request) {
		return false
	}
	if s.claim.request == record.Request {
		if s.claim.isFinal() {
			return false
		}
		s.claim.phase = Released
		s.claim.answer = messenger.DispatchReply{}
	}
	s.released = append(s.released, record.Request)
	if len(s.released) > maxReleased {
		s.released = s.released[1:]
	}
	return true
}

// applySettlement applies an outcome and reports whether it changed the key. If the claim
// is unknown, because it expired from the log, it is taken from the record of the outcome.
func (s *keyState) applySettlement(record messenger.KeyRecord) bool {
	if record.Answer == nil || record.Request == "" || slices.Contains(s.released, record.Request) {
		return false
	}
	if s.claim.request == "" {
		s.claim = newClaim(record)
	}
	if s.claim.request != record.Request || s.claim.phase == Settled && (s.claim.isFinal() || record.Answer.Outcome != messenger.OutcomeAnswered) {
		return false
	}
	s.claim.phase = Settled
	s.claim.answer = *record.Answer
	return true
}
