package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// gate stands between an agent and its executor. It can cut the link, and keep a start that gets no answer.
type gate struct {
	next http.Handler

	mu     sync.Mutex
	closed bool
	// wanted begins the names of the tasks of which the first start is kept; empty for none.
	wanted string
	kept   *http.Request
	body   []byte
	keptAt time.Time
	// atRenewal is whether the next renewal of the leases cuts the link.
	atRenewal bool
}

// ServeHTTP passes a call on. A call in a cut, and one that is kept, gets no answer.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !g.admit(r, body) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	g.next.ServeHTTP(w, r)
}

// admit reports whether a call passes.
func (g *gate) admit(r *http.Request, body []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	if g.atRenewal && strings.HasSuffix(r.URL.Path, "/hold") && bytes.Contains(body, []byte(`"deadline_ms"`)) {
		g.atRenewal, g.closed = false, true
		return false
	}
	if g.wanted == "" || !strings.HasSuffix(r.URL.Path, "/run-start") || !bytes.Contains(body, []byte(`"task":"`+g.wanted)) {
		return true
	}
	g.wanted, g.kept, g.body, g.keptAt = "", r, body, time.Now()
	g.closed = true
	return false
}

// keep has the next start of a task whose name begins so kept; the link is cut then.
func (g *gate) keep(prefix string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted = prefix
}

// keptSince returns when a start was kept; zero if none was.
func (g *gate) keptSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keptAt
}

// carryOut has the executor carry out the start that was kept, and returns the status of the answer that nobody gets.
func (g *gate) carryOut() int {
	g.mu.Lock()
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, g.kept.URL.Path, bytes.NewReader(g.body))
	request.Header = g.kept.Header.Clone()
	g.mu.Unlock()
	answer := httptest.NewRecorder()
	g.next.ServeHTTP(answer, request)
	return answer.Code
}

// cutAtRenewal cuts the link at the next call that renews the leases, which is lost.
func (g *gate) cutAtRenewal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atRenewal = true
}

// isClosed reports whether the link is cut.
func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// open ends the cut.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.wanted = false, ""
}
