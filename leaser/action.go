package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Actions are what the driver must do; it answers each with an event.
type Actions struct {
	// Starts go to the worker; the answer is the event Started.
	Starts []messenger.WorkerStart
	// Leases go to the worker; the answer is the event LeasesTold.
	Leases []Lease
	// Stops go to the worker; the answer is the event Stopped.
	Stops []messenger.WorkerStop
	// Forgets go to the worker; the answer is the event Forgotten.
	Forgets []messenger.AttemptRef
	// List asks the worker for its tasks; the answer is the event Listed.
	List bool
	// Renewals go to owners of partitions; the answer is the event Renewed.
	Renewals []Renewal
}

// Empty reports whether there is nothing to do.
func (a Actions) Empty() bool {
	return len(a.Starts)+len(a.Leases)+len(a.Stops)+len(a.Forgets)+len(a.Renewals) == 0 && !a.List
}

// Lease is the end of an attempt's lease that the worker must be told.
type Lease struct {
	id         apricotwinch.AttemptID
	until      time.Time
	unixMillis int
}

// ID returns the attempt that holds the lease.
func (l Lease) ID() apricotwinch.AttemptID { return l.id }

// Until returns the end of the lease.
func (l Lease) Until() time.Time { return l.until }

// Message returns the lease as the worker takes it.
func (l Lease) Message() messenger.WorkerLease {
	return messenger.WorkerLease{Attempt: refOf(l.id), LeaseUntilUnixMillis: l.unixMillis}
}

// Renewal is a request to the owner of a partition. The driver fills in the
// host's name, address and incarnation.
type Renewal struct {
	address   string
	partition int
	epoch     int
	ticket    int
	reports   []messenger.TaskReport
}

// Address returns the address of the owner.
func (r Renewal) Address() string { return r.address }

// Partition returns the number of the partition.
func (r Renewal) Partition() int { return r.partition }

// Epoch returns the greatest epoch of the partition that was seen.
func (r Renewal) Epoch() int { return r.epoch }

// Ticket returns the time of the renewal, in milliseconds since the origin.
func (r Renewal) Ticket() int { return r.ticket }

// Reports returns a report on each attempt of the partition on the host.
func (r Renewal) Reports() []messenger.TaskReport { return r.reports }
