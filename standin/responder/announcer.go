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
	// announceTimeout is the timeout of one announcement.
	announceTimeout = time.Second
)

// Announcer announces a target to the agent on its host.
type Announcer struct {
	agent        string
	announcement messenger.TargetAnnounce
	client       *http.Client
	clock        clockwork.Clock
	leaving      atomic.Bool
}

// NewAnnouncer returns an announcer that sends announcement to the agent at the base URL agent.
func NewAnnouncer(agent string, announcement messenger.TargetAnnounce, clock clockwork.Clock) *Announcer {
	return &Announcer{
		agent:        agent,
		announcement: announcement,
		client:       &http.Client{Timeout: announceTimeout},
		clock:        clock,
	}
}

// Run announces the target every second until ctx is done. It ignores errors, because the next
// announcement follows soon.
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

// Leave makes all further announcements say that the target is leaving.
func (a *Announcer) Leave() { a.leaving.Store(true) }

// Announce sends one announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	announcement := a.announcement
	announcement.Leaving = a.leaving.Load()
	request, err := sling.New().Post(a.agent + "/v1/targets").BodyJSON(announcement).Request()
	if err != nil {
		return err
	}
	response, err := a.client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	return response.Body.Close()
}
