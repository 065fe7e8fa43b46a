package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/router"
)

// expected is what the property test knows of one host.
type expected struct {
	present     bool
	draining    bool
	withdrawn   bool
	withdrawnAt time.Time
	incarnation int
	heard       time.Time
	inFlight    int
	others      int
	failedAt    time.Time
}

// request is a request in flight and the life of the host that it went to.
type request struct {
	target router.Target
	host   *expected
}

// world is a router under random events next to a model of its hosts.
type world struct {
	*fixture
	hosts map[string]*expected
	out   map[string]bool
	sent  []request
}

var hostNames = []string{"kopli-1", "kopli-2", "kopli-3", "kalamaja-1", "kalamaja-2", "ulemiste-1"}

func (w *world) heartbeat(t *rapid.T) {
	name := rapid.SampledFrom(hostNames).Draw(t, "host")
	h := w.hosts[name]
	if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
		h = &expected{incarnation: h.incarnation + 1}
	} else if w.now.Sub(h.heard) >= 30*time.Second {
		h = &expected{incarnation: h.incarnation}
	}
	w.hosts[name] = h
	load := rapid.IntRange(0, 70).Draw(t, "busy")
	h.present, h.heard, h.others = true, w.now, max(0, load-h.inFlight)
	h.draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
	h.withdrawn = h.withdrawn && w.now.Sub(h.withdrawnAt) < 3*time.Second
	w.fixture.heartbeat(name, func(a *messenger.Announce) {
		a.Incarnation = fmt.Sprint(h.incarnation)
		a.Draining = h.draining
		a.Services[0].Busy = load
		a.Services[0].LatencyMicros = rapid.SampledFrom([]int{0, 1000, 100_000}).Draw(t, "latency")
	})
}

func (w *world) pause(t *rapid.T) {
	w.wait(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "millis")) * time.Millisecond)
}

func (w *world) takeOut(t *rapid.T) {
	dataCentre := rapid.SampledFrom([]string{"kopli", "kalamaja", "ulemiste"}).Draw(t, "data centre")
	w.out[dataCentre] = rapid.Bool().Draw(t, "out")
	w.routes.SetOut(w.now, dataCentre, w.out[dataCentre])
}

func (w *world) request(t *rapid.T) {
	excluded := rapid.SampledFrom(hostNames).Draw(t, "excluded")
	target, err := w.routes.Choose(w.now, portal, apricotwinch.Critical, "kopli", excluded)
	if err != nil {
		w.checkRefusal(t, excluded)
		return
	}
	h := w.hosts[target.Host()]
	dataCentre, _, _ := strings.Cut(target.Host(), "-")
	switch {
	case target.Host() == excluded, w.out[dataCentre], !h.present, h.draining, h.withdrawn:
		t.Fatalf("%s was chosen: excluded %s, out %v, %+v", target.Host(), excluded, w.out, h)
	case target.Incarnation() != fmt.Sprint(h.incarnation), h.inFlight+h.others >= 64, w.now.Sub(h.heard) >= 30*time.Second:
		t.Fatalf("%s of incarnation %s was chosen: %+v", target.Host(), target.Incarnation(), h)
	}
	h.inFlight++
	w.routes.Sent(w.now, target)
	w.sent = append(w.sent, request{target: target, host: h})
}

// checkRefusal checks that no target that never failed was left out.
func (w *world) checkRefusal(t *rapid.T, excluded string) {
	for _, name := range hostNames {
		h := w.hosts[name]
		dataCentre, _, _ := strings.Cut(name, "-")
		closed := name == excluded || w.out[dataCentre] || !h.present || h.draining || h.withdrawn || !h.failedAt.IsZero()
		if !closed && h.inFlight+h.others < 64 && w.now.Sub(h.heard) < 30*time.Second {
			t.Fatalf("refused though %s has room: %+v", name, h)
		}
	}
}

func (w *world) answer(t *rapid.T) {
	if len(w.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.sent)-1).Draw(t, "request")
	target, h := w.sent[i].target, w.sent[i].host
	w.sent = append(w.sent[:i], w.sent[i+1:]...)
	kinds := []apricotwinch.Kind{"", "", apricotwinch.TargetFailed, apricotwinch.NoCapacity, apricotwinch.Draining, apricotwinch.Invalid}
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	w.routes.Answered(w.now, target, time.Millisecond, kind)
	h.inFlight--
	if kind == apricotwinch.NoCapacity {
		h.others = max(h.others, 64-h.inFlight)
	}
	if kind == apricotwinch.Draining {
		h.withdrawn, h.withdrawnAt = true, w.now
	}
	if kind == apricotwinch.TargetFailed {
		h.failedAt = w.now
	}
}

func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{fixture: newFixture(t), hosts: map[string]*expected{}, out: map[string]bool{}}
		for _, name := range hostNames {
			w.hosts[name] = &expected{}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"heartbeat": w.heartbeat,
			"pause":     w.pause,
			"out":       w.takeOut,
			"request":   w.request,
			"request 2": w.request,
			"request 3": w.request,
			"answer":    w.answer,
		})
	})
}
