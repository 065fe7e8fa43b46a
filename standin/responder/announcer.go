package responder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"

	"apricotwinch/messenger"
)

const (
	// announceEvery is the period of announcements.
	announceEvery = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// Announcer announces a target to the agent beside it.
type Announcer struct {
	agent    string
	announce messenger.TargetAnnounce
	client   *http.Client
	clock    clockwork.Clock
	leaving  atomic.Bool
}

// NewAnnouncer returns an announcer of announce to the agent at the base URL agent.
func NewAnnouncer(agent string, announce messenger.TargetAnnounce, clock clockwork.Clock) *Announcer {
	return &Announcer{
		agent:    agent,
		announce: announce,
		client:   &http.Client{Timeout: announceTimeout},
		clock:    clock,
	}
}

// Run announces the target every second until ctx ends; an announcement that
// fails is left to the next one.
func (a *Announcer) Run(ctx context.Context) {
	ticker := a.clock.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		_ = a.Announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Leave makes the announcements from now on say that the target leaves.
func (a *Announcer) Leave() { a.leaving.Store(true) }

// Announce sends one announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	announce := a.announce
	announce.Leaving = a.leaving.Load()
	request, err := sling.New().Post(a.agent + "/v1/targets").BodyJSON(announce).Request()
	if err != nil {
		return err
	}
	response, err := a.client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	return response.Body.Close()
}
