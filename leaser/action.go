package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Actions lists the calls that the driver must make. The driver passes the result of each call
// to the method of Leaser that is named with it.
type Actions struct {
	// Starts are sent to the worker; the result goes to Started.
	Starts []messenger.WorkerStart
	// Leases are sent to the worker; the result goes to LeasesRenewed.
	Leases []Lease
	// Stops are sent to the worker; the result goes to Stopped.
	Stops []messenger.WorkerStop
	// Forgets are sent to the worker; the result goes to Forgotten.
	Forgets []messenger.AttemptRef
	// List requests the list of tasks from the worker; the result goes to Listed.
	List bool
	// Renewals are sent to the owners of partitions; the result goes to Renewed.
	Renewals []Renewal
}

// Empty reports whether there is no call to make.
func (a Actions) Empty() bool {
	return len(a.Starts)+len(a.Leases)+len(a.Stops)+len(a.Forgets)+len(a.Renewals) == 0 && !a.List
}

// Lease is the new end of an attempt's lease, to be sent to the worker.
type Lease struct {
	id         apricotwinch.AttemptID
	until      time.Time
	unixMillis int
}

// ID returns the ID of the attempt that holds the lease.
func (l Lease) ID() apricotwinch.AttemptID { return l.id }

// Until returns the end of the lease.
func (l Lease) Until() time.Time { return l.until }

// Message returns the lease in the form that is sent to the worker.
func (l Lease) Message() messenger.WorkerLease {
	return messenger.WorkerLease{Attempt: refOf(l.id), LeaseUntilUnixMillis: l.unixMillis}
}

// Renewal is a request to the owner of a partition to renew leases and to record final reports.
// The driver adds the host's name, address and incarnation.
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

// Epoch returns the greatest epoch of the partition that the agent has seen.
func (r Renewal) Epoch() int { return r.epoch }

// Ticket returns the time of the renewal, in milliseconds since the origin.
func (r Renewal) Ticket() int { return r.ticket }

// Reports returns a report on each attempt of the partition on the host.
func (r Renewal) Reports() []messenger.TaskReport { return r.reports }
