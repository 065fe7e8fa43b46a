// Package budgeter decides how much memory and how many connections each peer of a process may hold, so
// that no peer takes what the others need.
//
// It only counts: it reads nothing, opens nothing, starts nothing and reads no clock. It is safe for
// concurrent use.
package budgeter

import (
	"errors"
	"sync"

	"apricotwinch"
)

// Config is the size of a budget.
type Config struct {
	// Bytes is the part for all grants above SmallGrant, in bytes.
	Bytes int64
	// SmallBytes is the part for grants of at most SmallGrant bytes each, in bytes. Large grants can't use
	// it, so that ordinary small requests are served beside a crowd of large ones.
	SmallBytes int64
	SmallGrant int64
}

// Reasons of refusals, as parts of the names of counters.
const (
	// ReasonBudget is for what is larger than all that is free.
	ReasonBudget = "budget"
	// ReasonShare is for what would take a peer beyond its fair share.
	ReasonShare = "share"
)

// refusal is the cause of a refusal.
type refusal struct{ reason, text string }

// Error returns the text of the refusal.
func (r *refusal) Error() string { return r.text }

// ReasonOf returns the reason of the refusal in err's chain, or "" if there is none.
func ReasonOf(err error) string {
	var r *refusal
	if errors.As(err, &r) {
		return r.reason
	}
	return ""
}

// Refusals are the same for all requests, so that a crowd that is refused costs no allocation.
var (
	errBudget = apricotwinch.Errorf(apricotwinch.Overloaded, "memory: %w", &refusal{reason: ReasonBudget, text: "requests in progress hold all of it"})
	errShare  = apricotwinch.Errorf(apricotwinch.Overloaded, "memory: %w", &refusal{reason: ReasonShare, text: "the peer's requests in progress hold its share of it"})
)

// Budgeter grants bytes of a budget to peers.
type Budgeter struct {
	config Config

	mu    sync.Mutex
	small part
	large part
	// freed is closed when bytes are returned; it is nil while nobody waits.
	freed chan struct{}
}

// part is a part of a budget with what each peer holds of it.
type part struct {
	size, used int64
	held       map[string]int64
}

// New returns a budget of which nothing is granted. Negative sizes count as 0.
func New(config Config) *Budgeter {
	return &Budgeter{
		config: config,
		small:  part{size: max(0, config.SmallBytes), held: map[string]int64{}},
		large:  part{size: max(0, config.Bytes), held: map[string]int64{}},
	}
}

// Grant is an amount of the budget that a peer holds until Release.
type Grant struct {
	budgeter *Budgeter
	peer     string
	bytes    int64
	from     *part
	released bool
}

// Acquire grants bytes to a peer; a negative amount counts as 0. It fails with kind Overloaded, and grants
// nothing, if the peer would then hold more than was free before. So one large grant can take all that is free,
// but many small ones of one peer take at most half of the budget, and those of n peers an n+1st part
// each, so that there is something left for the next peer.
func (b *Budgeter) Acquire(peer string, bytes int64) (*Grant, error) {
	g := &Grant{budgeter: b, peer: peer}
	if err := g.Grow(bytes); err != nil {
		return nil, err
	}
	return g, nil
}

// Grow adds bytes to a grant; a negative amount counts as 0. It fails like Acquire, and the grant stays as it
// was. A grant that was released grows no more.
func (g *Grant) Grow(bytes int64) error {
	b := g.budgeter
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.released {
		return errBudget
	}
	// No sum of a grant and an amount that fits into a part can overflow.
	bytes = min(max(0, bytes), max(b.small.size, b.large.size)+1)
	want := g.bytes + bytes
	to := &b.large
	if want <= b.config.SmallGrant {
		to = &b.small
	}
	if to != g.from {
		if err := to.take(g.peer, want); err != nil {
			return err
		}
		if g.from != nil {
			g.from.giveBack(g.peer, g.bytes)
			b.signal()
		}
	} else if err := to.take(g.peer, bytes); err != nil {
		return err
	}
	g.bytes, g.from = want, to
	return nil
}

// Bytes returns how many bytes are granted.
func (g *Grant) Bytes() int64 {
	g.budgeter.mu.Lock()
	defer g.budgeter.mu.Unlock()
	return g.bytes
}

// Release returns a grant. Calls after the first have no effect.
func (g *Grant) Release() {
	b := g.budgeter
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	if g.from != nil {
		g.from.giveBack(g.peer, g.bytes)
	}
	g.bytes, g.from = 0, nil
	b.signal()
}

// Freed returns a channel that is closed when bytes are returned next.
func (b *Budgeter) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Used returns how many bytes are granted.
func (b *Budgeter) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.used + b.large.used
}

// Largest returns the largest grant that a peer can get while nothing is granted, in bytes.
func (b *Budgeter) Largest() int64 {
	return max(b.large.size, min(b.small.size, b.config.SmallGrant))
}

func (b *Budgeter) signal() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

func (p *part) take(peer string, bytes int64) error {
	if bytes == 0 {
		return nil
	}
	free := p.size - p.used
	if bytes > free {
		return errBudget
	}
	if p.held[peer]+bytes > free {
		return errShare
	}
	p.used += bytes
	p.held[peer] += bytes
	return nil
}

func (p *part) giveBack(peer string, bytes int64) {
	p.used -= bytes
	if p.held[peer] -= bytes; p.held[peer] == 0 {
		delete(p.held, peer)
	}
}
