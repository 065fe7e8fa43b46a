// Package coordinator is the shell of an entry that serves workloads: it takes
// part in the ownership, runs the conductor while it is the owner, and passes
// callers' requests to the owner.
//
// The decisions are those of elector and conductor; this package adds sockets,
// goroutines and timers.
package coordinator

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/connector"
	"apricotwinch/elector"
	"apricotwinch/messenger"
)

// Periods and bounds of the shell.
const (
	// tickPeriod is the resolution of what is due.
	tickPeriod = 25 * time.Millisecond
	// pingPeriod is the time between two pings of a peer; an owner's silence of
	// several of them is noticed.
	pingPeriod = 200 * time.Millisecond
	// peerTimeout bounds a call to a peer or an agent.
	peerTimeout = 600 * time.Millisecond
	// dialTimeout bounds the dial of a peer: a host that came back is dialed anew.
	dialTimeout = 400 * time.Millisecond
	// storeTimeout bounds an append; a slow store takes 60 times its 4 ms.
	storeTimeout = 1500 * time.Millisecond
	// storeRetry is the delay after a failed call of the store.
	storeRetry = 100 * time.Millisecond
	// lazyFlush is how long a record that nobody waits for may wait for others.
	lazyFlush = 25 * time.Millisecond
	// failFast is how long an append may be under way before callers are refused.
	failFast = 800 * time.Millisecond
	// refusedFor is how long after a refusal of the store callers are refused without
	// asking it again.
	refusedFor = 200 * time.Millisecond
	// configPatience is how long an entry waits for the store to bring a configuration
	// that a peer has; users allow 2 s.
	configPatience = 500 * time.Millisecond
	// configPause is the time between two questions to peers for it.
	configPause = time.Second
	// ownerPoll is the time between two tries to reach the owner.
	ownerPoll = 25 * time.Millisecond
	// maxPeerConns bounds the connections of agents and entries.
	maxPeerConns = 4096
)

// Settings says who an entry is.
type Settings struct {
	// Name names the entry.
	Name string
	// Listen is the address for peers and agents, host:port.
	Listen string
	// Advertise is the address that peers and agents dial, host:port; empty for the one
	// that the entry listens on.
	Advertise string
	// Seeds are addresses of entries that may be known before the store answers.
	Seeds []string
	// ProcessorMillis is the processor time that the entry may use, in thousandths of
	// a processor; 0 for unknown.
	ProcessorMillis int
}

// Deps is what a coordinator is given by its driver.
type Deps struct {
	Log appender.KeyedLog
	// Advise asks the advice service which executors may run a step, and returns their
	// tickets; nil where there is none.
	Advise   func(ctx context.Context, step messenger.TaskRef, executors []string) (map[string]string, error)
	Clock    clockwork.Clock
	Wall     func() time.Time
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Coordinator is one entry.
type Coordinator struct {
	settings Settings
	deps     Deps
	self     messenger.Member
	pool     *connector.Pool
	listener net.Listener

	mu        sync.Mutex
	elector   *elector.Elector
	conductor *conductor.Conductor
	producer  appender.Producer
	claiming  bool
	// failedClaims counts the claims that another entry's forestalled, in a row.
	failedClaims int
	changed      chan struct{}
	wake         chan struct{}
	// writeAt is when the append that is under way was first sent; zero for none.
	// refusedAt is when the store provably refused the last one; zero for not.
	writeAt   time.Time
	refusedAt time.Time
	lazySince time.Time
	senders   map[string]*sender
	catalog   *cataloger.Catalog
	// encoded is the configuration as peers get it; empty until one asks.
	encoded string
	// behindSince is since when a peer has a later configuration, while this entry's has
	// not changed; askedConfigAt is when one was last asked for it.
	behindSince   time.Time
	askedConfigAt time.Time
	out           map[string]bool
	draining      bool
	// yielding is whether the entry takes no requests as the owner any more, for a
	// stronger one to take over.
	yielding bool
}

// New returns an entry that listens on the address of its settings.
func New(settings Settings, deps Deps) (*Coordinator, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", settings.Listen)
	if err != nil {
		return nil, err
	}
	address := cmp.Or(settings.Advertise, listener.Addr().String())
	self := messenger.Member{Name: settings.Name, Address: address, Incarnation: uuid.NewString(), ProcessorMillis: settings.ProcessorMillis}
	pool := connector.NewPool(connector.Security{}, deps.Registry)
	pool.SetDialTimeout(dialTimeout)
	return &Coordinator{
		settings: settings,
		deps:     deps,
		self:     self,
		pool:     pool,
		listener: listener,
		elector:  elector.New(deps.Clock.Now(), elector.DefaultConfig(), self),
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
		senders:  map[string]*sender{},
		out:      map[string]bool{},
	}, nil
}

// Run serves until ctx is done, and then hands its ownership over.
func (c *Coordinator) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.pool.Close()
	group, serving := errgroup.WithContext(running)
	server := connector.NewServer(c.table(), connector.Security{}, c.deps.Registry, maxPeerConns)
	group.Go(func() error { return server.Serve(serving, c.listener) })
	group.Go(func() error { c.join(serving); return nil })
	group.Go(func() error { c.tick(serving); return nil })
	group.Go(func() error { c.ping(serving); return nil })
	group.Go(func() error { c.write(serving); return nil })
	c.deps.Logger.Info("entry started", "entry", c.self.Name, "incarnation", c.self.Incarnation, "address", c.self.Address)
	select {
	case <-ctx.Done():
		c.HandOver(serving)
	case <-serving.Done():
	}
	cancel()
	err := group.Wait()
	c.deps.Logger.Info("entry stopped", "entry", c.self.Name)
	return err
}

// HandOver gives the ownership up and tells the peers; the entry goes on passing
// requests to the new owner.
func (c *Coordinator) HandOver(ctx context.Context) {
	c.mu.Lock()
	owned := c.elector.Owned()
	again := c.draining
	c.draining = true
	c.mu.Unlock()
	if again {
		return
	}
	if owned {
		c.awaitWritten(ctx)
	}
	c.mu.Lock()
	c.elector.Left()
	c.drop("handed over")
	c.mu.Unlock()
	c.pingAll(ctx)
}

// yield gives the ownership to a stronger entry once nothing waits to be written.
func (c *Coordinator) yield(ctx context.Context) {
	c.awaitWritten(ctx)
	c.mu.Lock()
	c.yielding = false
	if c.conductor != nil {
		c.elector.Yielded(c.deps.Clock.Now())
		c.drop("yielded to a stronger entry")
	}
	c.mu.Unlock()
	c.pingAll(ctx)
}

// awaitWritten waits a short time until what waits to be written now is durable.
func (c *Coordinator) awaitWritten(ctx context.Context) {
	c.mu.Lock()
	owner := c.conductor
	if owner == nil {
		c.mu.Unlock()
		return
	}
	last := owner.LastWrite()
	c.kick()
	c.mu.Unlock()
	deadline := c.deps.Clock.Now().Add(storeTimeout)
	for c.deps.Clock.Now().Before(deadline) && ctx.Err() == nil {
		c.mu.Lock()
		done := c.conductor != owner || owner.Durable() >= last
		c.mu.Unlock()
		if done {
			return
		}
		c.deps.Clock.Sleep(tickPeriod)
	}
}

// drop ends the ownership; c.mu is held.
func (c *Coordinator) drop(reason string) {
	if c.conductor == nil {
		return
	}
	c.deps.Logger.Info("ownership lost", "epoch", c.conductor.Epoch(), "reason", reason)
	c.conductor = nil
	for _, s := range c.senders {
		s.close()
	}
	c.senders = map[string]*sender{}
	c.broadcast()
}

// broadcast wakes whoever waits for a change; c.mu is held.
func (c *Coordinator) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// kick wakes the writer.
func (c *Coordinator) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// tick drives what is due until ctx is done.
func (c *Coordinator) tick(ctx context.Context) {
	ticker := c.deps.Clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.step(ctx)
		}
	}
}

func (c *Coordinator) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	switch c.elector.Tick(now) {
	case elector.Claim:
		if !c.claiming && !c.draining {
			c.claiming = true
			go c.claim(ctx)
		}
	case elector.Yield:
		if !c.yielding && !c.draining {
			c.yielding = true
			go c.yield(ctx)
		}
	case elector.Release:
		c.drop("the store answers another entry, not this one")
	}
	if c.conductor != nil && !c.elector.Owned() {
		c.drop("a later epoch")
	}
	if c.conductor != nil && c.checkStore(now) != nil && c.conductor.Withdraw() > 0 {
		c.broadcast()
	}
	c.advance(ctx, now, true)
}

// advance lets the conductor decide and sends what it decided; c.mu is held.
func (c *Coordinator) advance(ctx context.Context, now time.Time, due bool) {
	if c.conductor == nil || !c.elector.Authority(now) {
		return
	}
	if due {
		c.conductor.Tick(now, c.deps.Wall())
	}
	c.conductor.Schedule(now)
	c.send(ctx)
	c.askAdvice(ctx)
	if any, urgent := c.conductor.Wants(); any && (urgent || c.lazyDue(now)) {
		c.kick()
	}
}

// lazyDue reports whether records that nobody waits for have waited long enough.
func (c *Coordinator) lazyDue(now time.Time) bool {
	if c.lazySince.IsZero() {
		c.lazySince = now
	}
	return now.Sub(c.lazySince) >= lazyFlush
}

// SetCatalog takes a version of the configuration.
func (c *Coordinator) SetCatalog(catalog *cataloger.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog != nil && catalog.Version() <= c.catalog.Version() {
		return
	}
	c.deps.Logger.Info("configuration in force", "version", catalog.Version())
	c.catalog = catalog
	c.encoded = ""
	c.behindSince = time.Time{}
	if c.conductor != nil {
		c.conductor.SetCatalog(catalog)
	}
}

// SetOut takes the data centres that are out of service.
func (c *Coordinator) SetOut(out map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deps.Logger.Info("data centres out of service", "out", out)
	c.out = out
	if c.conductor != nil {
		c.conductor.SetOut(out)
	}
}

// StoreAnswered takes an answer of the store to a call that was sent at sent.
func (c *Coordinator) StoreAnswered(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.StoreAnswered(sent, c.deps.Clock.Now())
}

// Catalog returns the configuration in force, or nil.
func (c *Coordinator) Catalog() *cataloger.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog
}

// Ready reports whether the entry can accept workloads: it has a configuration and
// reaches an owner.
func (c *Coordinator) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil || c.draining {
		return false
	}
	return c.conductor != nil || c.elector.OwnerHeard(c.deps.Clock.Now())
}
