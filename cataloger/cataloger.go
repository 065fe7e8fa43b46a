// Package cataloger holds the queues that operators configured and finds the queue of a
// request.
package cataloger

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"apricotwinch"
)

// Queue is a queue to which workloads of one kind are submitted. Its fields are encoded under
// their own names.
type Queue struct {
	Name string
	// Host and Prefix select the queue: Host is the host of a request, and Prefix the longest
	// matching prefix of its path.
	Host, Prefix string
	// Service names the executors that run the queue's tasks.
	Service string
	// Priority is the rank of the queue; queues with a lower number come first, from 0.
	Priority int
	// MaxAttempts is the number of failed runs after which a task has failed.
	MaxAttempts int
	// A workload may take Stretch times its longest chain of work, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Advised is set when executors accept the queue's tasks only with a ticket of an advice
	// service. The service needs AdviceDecide, plus AdviceEach for each executor in question, to
	// answer. A ticket is valid for TicketLife.
	Advised                              bool
	AdviceDecide, AdviceEach, TicketLife time.Duration
	// Timeout bounds the answer to a request.
	Timeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	version   int
	bodyBytes int64
	byName    map[string]*Queue
	byHost    map[string][]*Queue
}

// New returns the catalog of version with queues. BodyBytes is the greatest length of a
// request's body, in bytes.
func New(version int, bodyBytes int64, queues []Queue) *Catalog {
	c := &Catalog{version: version, bodyBytes: bodyBytes, byName: map[string]*Queue{}, byHost: map[string][]*Queue{}}
	for i := range queues {
		q := &queues[i]
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// document is the form in which entries send a catalog to each other.
type document struct {
	Version   int     `json:"version"`
	BodyBytes int64   `json:"bodyBytes"`
	Queues    []Queue `json:"queues"`
}

// Encode returns the catalog in the form that Decode accepts, with the queues ordered by name.
func (c *Catalog) Encode() (string, error) {
	d := document{Version: c.version, BodyBytes: c.bodyBytes}
	for _, q := range c.byName {
		d.Queues = append(d.Queues, *q)
	}
	slices.SortFunc(d.Queues, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	data, err := json.Marshal(d)
	return string(data), err
}

// Decode returns the catalog that Encode encoded. Its error is of the kind Invalid.
func Decode(encoded string) (*Catalog, error) {
	var d document
	if err := json.Unmarshal([]byte(encoded), &d); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "catalog: %w", err)
	}
	return New(d.Version, d.BodyBytes, d.Queues), nil
}

// Version returns the version, which rises with each change.
func (c *Catalog) Version() int { return c.version }

// MaxBodyBytes returns the greatest length of a request's body, in bytes.
func (c *Catalog) MaxBodyBytes() int64 { return c.bodyBytes }

// Match returns the queue of a request, the rest of its path after the prefix, and whether
// there is such a queue.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// HasObjective reports whether a workload of any queue has a time within which it should end.
func (c *Catalog) HasObjective() bool {
	for _, q := range c.byName {
		if q.Objective > 0 {
			return true
		}
	}
	return false
}

// Queue returns the queue with the given name, and whether there is one.
func (c *Catalog) Queue(name string) (*Queue, bool) {
	q, ok := c.byName[name]
	return q, ok
}
