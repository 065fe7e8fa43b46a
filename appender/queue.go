package appender

import "apricotwinch"

// appendResult is the result of the append of one record: its offset, or an error.
type appendResult struct {
	offset int64
	err    error
}

// pending is a record whose append has no result yet.
type pending struct {
	id        string
	data      []byte
	sent      bool
	abandoned bool
	done      chan appendResult
}

func newPending(id string, data []byte) *pending {
	return &pending{id: id, data: data, done: make(chan appendResult, 1)}
}

func (p *pending) resolve(offset int64) { p.done <- appendResult{offset: offset} }

func (p *pending) reject(err error) { p.done <- appendResult{err: err} }

// queue holds the records that have not been sent, in order of arrival.
type queue struct {
	records []*pending
	bytes   int
}

// add adds p at the end. It fails with kind Overloaded if the queue is full.
func (q *queue) add(p *pending) error {
	if len(q.records) >= maxQueueRecords || q.bytes+len(p.data) > maxQueueBytes {
		return apricotwinch.Errorf(apricotwinch.Overloaded, "%d records of %d bytes wait for the log", len(q.records), q.bytes)
	}
	q.records = append(q.records, p)
	q.bytes += len(p.data)
	return nil
}

// take removes and returns the longest prefix of the queue that fits in one append. A record longer
// than maxBatchBytes would be sent alone.
func (q *queue) take() []*pending {
	n, size := 0, 0
	for n < len(q.records) && n < maxBatchRecords {
		size += len(q.records[n].data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := append([]*pending(nil), q.records[:n]...)
	q.drop(n)
	return batch
}

// drain removes and returns all records.
func (q *queue) drain() []*pending {
	all := q.records
	*q = queue{}
	return all
}

// remove removes p, if it is in the queue.
func (q *queue) remove(p *pending) {
	for i, other := range q.records {
		if other == p {
			q.records = append(q.records[:i], q.records[i+1:]...)
			q.bytes -= len(p.data)
			return
		}
	}
}

// drop removes the first n records.
func (q *queue) drop(n int) {
	for _, p := range q.records[:n] {
		q.bytes -= len(p.data)
	}
	q.records = append(q.records[:0], q.records[n:]...)
}
