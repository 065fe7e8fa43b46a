// Package journaler writes and reads the journals of the stand-ins: what each simulated worker and
// target really ran, as JSON lines.
package journaler

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"apricotwinch"
)

// Events of a journal.
const (
	TaskStarted    = "task_started"    // A worker started an attempt.
	TaskEnded      = "task_ended"      // A worker ended an attempt.
	RequestStarted = "request_started" // A target started a request.
	RequestEnded   = "request_ended"   // A target ended a request.
	Leaving        = "leaving"         // A target announced that it will stop.
	Killed         = "killed"          // The test killed the host; its work ended.
)

// Entry is one line of a journal.
type Entry struct {
	// Event is one of the events of this package.
	Event string `json:"event"`
	// Host is the name of the host.
	Host string `json:"host"`
	// DataCentre is the data centre of the host.
	DataCentre string `json:"dataCentre,omitempty"`
	// At is the time of the event.
	At time.Time `json:"at"`
	// Job is the id of the job of an attempt.
	Job string `json:"job,omitempty"`
	// Task is the number of the task.
	Task int `json:"task,omitempty"`
	// Attempt is the number of the attempt.
	Attempt int `json:"attempt,omitempty"`
	// Watch is true if the task runs until it is stopped.
	Watch bool `json:"watch,omitempty"`
	// ResumedFrom names the attempt whose checkpoint this one resumed.
	ResumedFrom string `json:"resumedFrom,omitempty"`
	// ProgressMillis is the work done so far, in milliseconds.
	ProgressMillis int `json:"progressMillis,omitempty"`
	// ProcessorMillis is what the task may use, in thousandths of a processor.
	ProcessorMillis int `json:"processorMillis,omitempty"`
	// MemoryBytes is what the task may use, in bytes.
	MemoryBytes int `json:"memoryBytes,omitempty"`
	// Accelerators is what the task may use.
	Accelerators int `json:"accelerators,omitempty"`
	// Phase is the phase of an attempt, or how a request ended.
	Phase string `json:"phase,omitempty"`
	// Service is the name of the service of a request.
	Service string `json:"service,omitempty"`
	// Request is the id of a request.
	Request string `json:"request,omitempty"`
	// BodyHash is the Hash of the request's body or of the job's payload.
	BodyHash string `json:"bodyHash,omitempty"`
}

// AttemptID returns the attempt that the entry is about.
func (e Entry) AttemptID() apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(e.Job, e.Task, e.Attempt)
}

// Hash returns the SHA-256 of body in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Journal receives the entries of one stand-in in order.
type Journal func(Entry)

// Discard drops every entry.
func Discard(Entry) {}

// New returns a journal that writes each entry immediately as a line of JSON to w. It calls fail
// with the error of a failed write.
func New(w io.Writer, fail func(error)) Journal {
	var mu sync.Mutex
	encoder := json.NewEncoder(w)
	return func(entry Entry) {
		mu.Lock()
		defer mu.Unlock()
		if err := encoder.Encode(entry); err != nil {
			fail(err)
		}
	}
}

// Read returns the entries in r. It omits an incomplete last line, which a writer leaves when it is
// killed. It fails with kind Invalid on a malformed line.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return entries, err
		}
		var entry Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			return entries, apricotwinch.Errorf(apricotwinch.Invalid, "line %d: %w", len(entries)+1, err)
		}
		entries = append(entries, entry)
	}
}

// ReadFile returns the entries of the journal at path.
func ReadFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}
