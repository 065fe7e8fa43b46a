// Package archiver stands in for the platform's store: a log whose keyed topics keep
// the newest record of each key, with conditional appends and fenced producers.
//
// An Archiver is an http.Handler. Its faults are those of a disrupter around it.
package archiver

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// keyedPrefix begins the name of a topic whose records have keys.
	keyedPrefix = "keyed."
	// operatorTopic is the topic of the operator, which callers may not write.
	operatorTopic = keyedPrefix + "op"
	// lengthBytes is the length of a record's own length.
	lengthBytes = 4
	// pageItems is the greatest number of keys in a page.
	pageItems = 500
	// pageBytes is the length of values, in bytes, after which a page ends.
	pageBytes = 1 << 20
	// maxRecordBytes and maxCallBytes bound a record and the records of a call.
	maxRecordBytes = 256 << 10
	maxCallBytes   = 2 << 20
	// remembered is the number of appends of a producer whose repeats get their first
	// answer.
	remembered = 5
	// maxWait bounds the wait of a read.
	maxWait = 30 * time.Second
)

// Archiver is the state of the store.
type Archiver struct {
	clock clockwork.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// topic is the single partition of one topic.
type topic struct {
	records   [][]byte
	first     int64
	newest    map[string]keyed
	producers map[string]*producer
}

// keyed is the newest record of a key.
type keyed struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// producer is what is remembered of a writer.
type producer struct {
	epoch   int64
	next    int64
	answers []remembrance
}

// remembrance is the answer to one append.
type remembrance struct {
	sequence int64
	answer   appended
}

// appended answers an append.
type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// New returns an empty store.
func New(clock clockwork.Clock) *Archiver {
	a := &Archiver{clock: clock, mux: http.NewServeMux(), topics: map[string]*topic{}, changed: make(chan struct{})}
	a.mux.HandleFunc("POST /apricotwinch/log-append", a.append)
	a.mux.HandleFunc("GET /apricotwinch/log-read", a.read)
	a.mux.HandleFunc("GET /apricotwinch/log-newest", a.list)
	return a
}

// ServeHTTP answers one call.
func (a *Archiver) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Publish writes a record of the operator; no value drops the key.
func (a *Archiver) Publish(key string, value []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	a.add(a.topic(operatorTopic), operatorTopic, append(record, value...))
}

// Expire deletes the records of every topic; the newest of each key stay.
func (a *Archiver) Expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.topics {
		t.first = t.end()
		t.records = nil
	}
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (a *Archiver) topic(name string) *topic {
	t := a.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}}
		a.topics[name] = t
	}
	return t
}

// add appends one record; a.mu is held.
func (a *Archiver) add(t *topic, name string, record []byte) {
	if len(name) > len(keyedPrefix) && name[:len(keyedPrefix)] == keyedPrefix {
		length := int(record[0])
		key, value := string(record[1:1+length]), record[1+length:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{Key: key, Value: value, Offset: t.end()}
		}
	}
	t.records = append(t.records, record)
	close(a.changed)
	a.changed = make(chan struct{})
}

// split returns the records of a body.
func split(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if length > maxRecordBytes || length > len(body) {
			return nil, false
		}
		records = append(records, body[:length])
		body = body[length:]
	}
	return records, true
}

func (a *Archiver) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	records, ok := split(body)
	query := r.URL.Query()
	name := query.Get("topic")
	if err != nil || !ok || name == "" {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if name == operatorTopic {
		answer(w, http.StatusForbidden, struct{}{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.topic(name)
	if at := query.Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end": t.end()})
		return
	}
	p, sequence := t.producers[query.Get("producer")], number(query.Get("seq_num"))
	if query.Get("producer") != "" {
		if p == nil {
			p = &producer{}
			t.producers[query.Get("producer")] = p
		}
		if status, refusal := p.admit(number(query.Get("epoch")), sequence); refusal != nil {
			answer(w, status, refusal)
			return
		}
	}
	result := appended{Offset: t.end()}
	for _, record := range records {
		a.add(t, name, record)
	}
	result.End = t.end()
	if p != nil {
		p.remember(sequence, result)
	}
	answer(w, http.StatusOK, result)
}

// refused answers an append of a fenced producer or one out of sequence.
type refused struct {
	Reason   string `json:"reason"`
	Epoch    int64  `json:"epoch,omitempty"`
	Sequence int64  `json:"seq_num,omitempty"`
}

// admit takes the epoch and sequence number of an append. It returns the answer to
// one that is not carried out.
func (p *producer) admit(epoch, sequence int64) (int, any) {
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, refused{Reason: "fenced", Epoch: p.epoch}
	case epoch > p.epoch:
		p.epoch, p.next, p.answers = epoch, sequence, nil
	}
	for _, known := range p.answers {
		if known.sequence == sequence {
			return http.StatusOK, known.answer
		}
	}
	if sequence != p.next {
		return http.StatusConflict, refused{Reason: "seq", Sequence: p.next}
	}
	return 0, nil
}

func (p *producer) remember(sequence int64, result appended) {
	p.next = sequence + 1
	p.answers = append(p.answers, remembrance{sequence: sequence, answer: result})
	if len(p.answers) > remembered {
		p.answers = p.answers[1:]
	}
}

func (a *Archiver) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := number(query.Get("from"))
	wait := min(maxWait, time.Duration(number(query.Get("wait_ms")))*time.Millisecond)
	deadline := a.clock.After(wait)
	for {
		a.mu.Lock()
		t, changed := a.topic(query.Get("topic")), a.changed
		body, first := t.from(from)
		a.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(body) > 2*8 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// from returns the answer to a read from an offset, and the first offset that is kept.
func (t *topic) from(offset int64) ([]byte, int64) {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for n := max(offset, t.first); n < t.end(); n++ {
		record := t.records[n-t.first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, t.first
}

// page answers a listing of the newest records.
type page struct {
	Items []keyed `json:"items"`
	More  bool    `json:"has_more"`
	End   int64   `json:"end"`
}

func (a *Archiver) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	result := page{Items: []keyed{}, End: t.end()}
	size := 0
	for _, key := range keys {
		if len(result.Items) == pageItems || size > pageBytes {
			result.More = true
			break
		}
		result.Items = append(result.Items, t.newest[key])
		size += len(t.newest[key].Value)
	}
	answer(w, http.StatusOK, result)
}

// number returns a number of a query; anything else counts as 0.
func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
