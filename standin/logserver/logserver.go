// Package logserver simulates the platform's append-only log for tests. It keeps the streams in
// memory, serves them over HTTP and injects faults on demand.
package logserver

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/standin/disrupter"
)

// Limits of one request.
const (
	// DefaultReadRecords is the default limit of Config.ReadRecords.
	DefaultReadRecords = 1000
	// maxReadBytes is the largest total size of the records of one read, in bytes. A first record
	// that is larger is returned alone.
	maxReadBytes = 4 << 20
	// maxWait is the longest time that one read waits for a record.
	maxWait = time.Minute
)

// Config configures a server.
type Config struct {
	// ReadRecords is the largest number of records in one read; 0 means DefaultReadRecords.
	ReadRecords int
}

// Faults are the faults of a server; the zero value has none.
type Faults struct {
	disrupter.Faults
	// AppendsPerSecond limits the rate of appends; 0 sets no limit.
	AppendsPerSecond float64 `json:"appendsPerSecond,omitempty"`
	// RetainRecords is the number of newest records kept in each stream; 0 keeps all.
	RetainRecords int `json:"retainRecords,omitempty"`
	// RetainMillis is the age at which records expire, in milliseconds; 0 keeps them forever.
	RetainMillis int `json:"retainMillis,omitempty"`
	// ReadsDown names the streams whose reads fail with status 503.
	ReadsDown []string `json:"readsDown,omitempty"`
	// Expire drops the given records once, when the faults are set.
	Expire []Expiry `json:"expire,omitempty"`
}

// Expiry drops the records of a stream that precede an offset.
type Expiry struct {
	// Stream is the name of the stream.
	Stream string `json:"stream"`
	// Before is the first offset that is kept.
	Before int `json:"before"`
}

// Stats holds the counters of a server.
type Stats struct {
	// Appends is the number of successful appends.
	Appends int `json:"appends"`
	// Records is the number of appended records.
	Records int `json:"records"`
	// Bytes is the total size of the appended records, in bytes.
	Bytes int `json:"bytes"`
	// RateLimited is the number of appends rejected by the rate limit.
	RateLimited int `json:"capped"`
	// Reads is the number of successful reads.
	Reads int `json:"reads"`
}

// Server is a simulated log. It is an http.Handler.
type Server struct {
	config    Config
	clock     clockwork.Clock
	disrupter *disrupter.Disrupter
	handler   http.Handler

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	limiter *rate.Limiter
	stats   Stats
}

// New returns a log without records and faults.
func New(config Config, clock clockwork.Clock) *Server {
	if config.ReadRecords == 0 {
		config.ReadRecords = DefaultReadRecords
	}
	l := &Server{
		config:    config,
		clock:     clock,
		disrupter: disrupter.New(clock),
		streams:   make(map[string]*stream),
		limiter:   rate.NewLimiter(rate.Inf, 0),
	}
	l.handler = l.routes()
	return l
}

func (l *Server) routes() http.Handler {
	log := http.NewServeMux()
	log.HandleFunc("POST /v1/streams/{stream}/append", l.serveAppend)
	log.HandleFunc("GET /v1/streams/{stream}", l.serveRead)
	mux := http.NewServeMux()
	mux.Handle("/v1/", l.disrupter.Wrap(log))
	mux.HandleFunc("POST /faults", l.serveFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		disrupter.WriteJSON(w, l.Stats())
	})
	return mux
}

// ServeHTTP serves the log under /v1/, sets its faults at POST /faults and returns its Stats at
// GET /stats.
func (l *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	l.handler.ServeHTTP(w, request)
}

// SetFaults replaces the faults in force.
func (l *Server) SetFaults(faults Faults) {
	l.mu.Lock()
	l.faults = faults
	l.limiter = newLimiter(faults.AppendsPerSecond)
	for _, expiry := range faults.Expire {
		l.stream(expiry.Stream).expireBefore(expiry.Before)
	}
	l.applyRetention()
	l.mu.Unlock()
	l.disrupter.Set(faults.Faults)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// Stats returns the current counters.
func (l *Server) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Append adds records to a stream, regardless of faults, and returns the offset of the first one.
func (l *Server) Append(name string, records [][]byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(name, records)
}

// Records returns the records that a stream still holds, regardless of faults.
func (l *Server) Records(name string) []messenger.LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.read(s.earliest, math.MaxInt, math.MaxInt)
}

func (l *Server) append(name string, records [][]byte) int {
	s := l.stream(name)
	offset := s.append(l.clock.Now(), records)
	l.stats.Appends++
	l.stats.Records += len(records)
	for _, record := range records {
		l.stats.Bytes += len(record)
	}
	s.applyRetention(l.faults, l.clock.Now())
	return offset
}

// stream returns the stream called name and creates it if necessary; l.mu is held.
func (l *Server) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Server) applyRetention() {
	now := l.clock.Now()
	for _, s := range l.streams {
		s.applyRetention(l.faults, now)
	}
}

func (l *Server) serveAppend(w http.ResponseWriter, request *http.Request) {
	var body messenger.LogAppend
	if err := disrupter.ReadJSON(request, &body); err != nil {
		disrupter.WriteError(w, err)
		return
	}
	if len(body.Records) == 0 {
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Invalid, "records: the list is empty"))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.AllowN(l.clock.Now(), 1) {
		l.stats.RateLimited++
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.QuotaExceeded, "more than %g appends per second", l.faults.AppendsPerSecond))
		return
	}
	offset := l.append(request.PathValue("stream"), body.Records)
	disrupter.WriteJSON(w, messenger.LogAppendReply{Offset: offset})
}

func (l *Server) serveRead(w http.ResponseWriter, request *http.Request) {
	from, err := queryInt(request, "from")
	if err != nil {
		disrupter.WriteError(w, err)
		return
	}
	waitMillis, err := queryInt(request, "waitMillis")
	if err != nil {
		disrupter.WriteError(w, err)
		return
	}
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWait)
	name := request.PathValue("stream")
	l.awaitRecord(request, name, from, wait)
	if l.readsDown(name) {
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Unreachable, "reads of %s are down", name))
		return
	}
	disrupter.WriteJSON(w, l.read(name, from))
}

func (l *Server) readsDown(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.faults.ReadsDown, name)
}

// awaitRecord waits until the stream holds a record at or after offset from, for at most wait.
func (l *Server) awaitRecord(request *http.Request, name string, from int, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		s := l.stream(name)
		next, appended := s.next(), s.appended
		l.mu.Unlock()
		if next > from {
			return
		}
		select {
		case <-appended:
		case <-timer.Chan():
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (l *Server) read(name string, from int) messenger.LogReadReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	s := l.stream(name)
	s.applyRetention(l.faults, l.clock.Now())
	return messenger.LogReadReply{
		Earliest: s.earliest,
		Next:     s.next(),
		Records:  s.read(from, l.config.ReadRecords, maxReadBytes),
	}
}

func (l *Server) serveFaults(w http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := disrupter.ReadJSON(request, &faults); err != nil {
		disrupter.WriteError(w, err)
		return
	}
	l.SetFaults(faults)
	disrupter.WriteJSON(w, struct{}{})
}

func queryInt(request *http.Request, name string) (int, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %q is not a non-negative integer", name, text)
	}
	return value, nil
}
