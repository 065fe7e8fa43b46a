package appender

import "apricotwinch"

// settled is the end of one pending record.
type settled struct {
	offset int64
	err    error
}

// pending is a record whose append is not settled.
type pending struct {
	id        string
	data      []byte
	sent      bool
	abandoned bool
	done      chan settled
}

func newPending(id string, data []byte) *pending {
	return &pending{id: id, data: data, done: make(chan settled, 1)}
}

func (p *pending) resolve(offset int64) { p.done <- settled{offset: offset} }

func (p *pending) reject(err error) { p.done <- settled{err: err} }

// queue holds the records that wait for their first send, in order of arrival.
type queue struct {
	records []*pending
	bytes   int
}

// add puts p at the end; it fails with kind Overloaded when the queue is full.
func (q *queue) add(p *pending) error {
	if len(q.records) >= maxQueueRecords || q.bytes+len(p.data) > maxQueueBytes {
		return apricotwinch.Errorf(apricotwinch.Overloaded, "%d records of %d bytes wait for the log", len(q.records), q.bytes)
	}
	q.records = append(q.records, p)
	q.bytes += len(p.data)
	return nil
}

// take removes and returns the longest head that one append may carry.
func (q *queue) take() []*pending {
	n, size := 0, 0
	for n < len(q.records) && n < maxBatchRecords {
		size += len(q.records[n].data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	head := append([]*pending(nil), q.records[:n]...)
	q.drop(n)
	return head
}

// drain removes and returns everything.
func (q *queue) drain() []*pending {
	all := q.records
	*q = queue{}
	return all
}

// remove takes p out of the queue.
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
