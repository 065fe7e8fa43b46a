// Package archiver simulates the platform's store for tests: a log of topics, with conditional
// appends and fenced producers. Keyed topics also keep the newest record of each key.
//
// An Archiver is an http.Handler. To inject faults, wrap it in a disrupter.
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
	// keyedPrefix is the prefix of the name of a topic whose records have keys.
	keyedPrefix = "keyed."
	// operatorTopic is the operator's topic; only Publish appends to it.
	operatorTopic = keyedPrefix + "op"
	// lengthBytes is the size of the length that precedes each record, in bytes.
	lengthBytes = 4
	// pageItems is the largest number of keys in a page.
	pageItems = 500
	// pageBytes is the total size of values, in bytes, after which a page ends.
	pageBytes = 1 << 20
	// maxRecordBytes and maxAppendBytes bound a record and the body of an append, in bytes.
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
	// rememberedAppends is the number of a producer's latest appends that can be repeated: a
	// repeat gets the reply to the first append and adds nothing.
	rememberedAppends = 5
	// maxWait is the longest time that a read waits for a record.
	maxWait = 30 * time.Second
)

// Archiver is a simulated store.
type Archiver struct {
	clock clockwork.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// topic holds the only partition of a topic: its records from offset first on.
type topic struct {
	records   [][]byte
	first     int64
	newest    map[string]keyedRecord
	producers map[string]*producer
}

// keyedRecord is the newest record of a key.
type keyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// producer holds the epoch, the next sequence number and the latest appends of a producer.
type producer struct {
	epoch  int64
	next   int64
	recent []answeredAppend
}

// answeredAppend is the reply to the append with a sequence number.
type answeredAppend struct {
	sequence int64
	reply    appendReply
}

// appendReply is the JSON reply to an append.
type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// New returns an empty store.
func New(clock clockwork.Clock) *Archiver {
	a := &Archiver{clock: clock, mux: http.NewServeMux(), topics: map[string]*topic{}, changed: make(chan struct{})}
	a.mux.HandleFunc("POST /apricotwinch/log-append", a.append)
	a.mux.HandleFunc("GET /apricotwinch/log-read", a.read)
	a.mux.HandleFunc("GET /apricotwinch/log-newest", a.listNewest)
	return a
}

// ServeHTTP serves appends, reads and listings of the newest records.
func (a *Archiver) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Publish appends a record to the operator's topic; an empty value deletes the key.
func (a *Archiver) Publish(key string, value []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	a.add(a.topic(operatorTopic), operatorTopic, append(record, value...))
}

// Expire deletes the records of every topic. Keyed topics keep the newest record of each key.
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
		t = &topic{newest: map[string]keyedRecord{}, producers: map[string]*producer{}}
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
			t.newest[key] = keyedRecord{Key: key, Value: value, Offset: t.end()}
		}
	}
	t.records = append(t.records, record)
	close(a.changed)
	a.changed = make(chan struct{})
}

// splitRecords returns the length-prefixed records of a body; it returns false if the body is
// malformed or a record is too large.
func splitRecords(body []byte) ([][]byte, bool) {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	records, ok := splitRecords(body)
	query := r.URL.Query()
	name := query.Get("topic")
	if err != nil || !ok || name == "" {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if name == operatorTopic {
		writeJSON(w, http.StatusForbidden, struct{}{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.topic(name)
	if at := query.Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": t.end()})
		return
	}
	p, sequence := t.producers[query.Get("producer")], parseNumber(query.Get("seq_num"))
	if query.Get("producer") != "" {
		if p == nil {
			p = &producer{}
			t.producers[query.Get("producer")] = p
		}
		if status, reply := p.admit(parseNumber(query.Get("epoch")), sequence); reply != nil {
			writeJSON(w, status, reply)
			return
		}
	}
	result := appendReply{Offset: t.end()}
	for _, record := range records {
		a.add(t, name, record)
	}
	result.End = t.end()
	if p != nil {
		p.remember(sequence, result)
	}
	writeJSON(w, http.StatusOK, result)
}

// rejection is the JSON reply to an append of a fenced producer or one out of sequence.
type rejection struct {
	Reason   string `json:"reason"`
	Epoch    int64  `json:"epoch,omitempty"`
	Sequence int64  `json:"seq_num,omitempty"`
}

// admit checks the epoch and the sequence number of an append. If the append must not be executed,
// it returns the status and the reply: a rejection, or the first reply to a repeated append. Else
// the reply is nil.
func (p *producer) admit(epoch, sequence int64) (int, any) {
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, rejection{Reason: "fenced", Epoch: p.epoch}
	case epoch > p.epoch:
		p.epoch, p.next, p.recent = epoch, sequence, nil
	}
	for _, previous := range p.recent {
		if previous.sequence == sequence {
			return http.StatusOK, previous.reply
		}
	}
	if sequence != p.next {
		return http.StatusConflict, rejection{Reason: "seq", Sequence: p.next}
	}
	return 0, nil
}

func (p *producer) remember(sequence int64, result appendReply) {
	p.next = sequence + 1
	p.recent = append(p.recent, answeredAppend{sequence: sequence, reply: result})
	if len(p.recent) > rememberedAppends {
		p.recent = p.recent[1:]
	}
}

func (a *Archiver) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := parseNumber(query.Get("from"))
	wait := min(maxWait, time.Duration(parseNumber(query.Get("wait_ms")))*time.Millisecond)
	deadline := a.clock.After(wait)
	for {
		a.mu.Lock()
		t, changed := a.topic(query.Get("topic")), a.changed
		body, first := t.encodeFrom(from)
		a.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		// A body without records holds only the two 64-bit offsets.
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

// encodeFrom returns the response to a read from offset, and the first offset that is kept. The
// response starts with the end and the first offset, as 64-bit numbers.
func (t *topic) encodeFrom(offset int64) ([]byte, int64) {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for n := max(offset, t.first); n < t.end(); n++ {
		record := t.records[n-t.first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, t.first
}

// page is the JSON reply to a listing of the newest records.
type page struct {
	Items []keyedRecord `json:"items"`
	More  bool          `json:"has_more"`
	End   int64         `json:"end"`
}

func (a *Archiver) listNewest(w http.ResponseWriter, r *http.Request) {
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
	result := page{Items: []keyedRecord{}, End: t.end()}
	size := 0
	for _, key := range keys {
		if len(result.Items) == pageItems || size > pageBytes {
			result.More = true
			break
		}
		result.Items = append(result.Items, t.newest[key])
		size += len(t.newest[key].Value)
	}
	writeJSON(w, http.StatusOK, result)
}

// parseNumber parses the number in a query parameter; it returns 0 for any other text.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
