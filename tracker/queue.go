package tracker

import "container/heap"

// queue is a heap of records ordered by deadline, then host name.
type queue []*record

// Len returns the number of records.
func (q queue) Len() int { return len(q) }

// Less orders records by deadline, then by the host's name.
func (q queue) Less(i, j int) bool {
	if q[i].deadline.Equal(q[j].deadline) {
		return q[i].host.Name() < q[j].host.Name()
	}
	return q[i].deadline.Before(q[j].deadline)
}

// Swap exchanges two records.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queuePosition = i
	q[j].queuePosition = j
}

// Push adds a record at the end; for package heap only.
func (q *queue) Push(x any) {
	r := x.(*record)
	r.queuePosition = len(*q)
	*q = append(*q, r)
}

// Pop removes the last record; for package heap only.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

func (q *queue) add(r *record)    { heap.Push(q, r) }
func (q *queue) fix(r *record)    { heap.Fix(q, r.queuePosition) }
func (q *queue) remove(r *record) { heap.Remove(q, r.queuePosition) }
