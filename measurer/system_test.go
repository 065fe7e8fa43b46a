package measurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// cost is what one process has used so far, as the system tells it.
type cost struct {
	at        time.Time
	processor time.Duration
	read      int64
	written   int64
	resident  int64
}

// costOf reads the cost of a process.
func costOf(b *testing.B, pid int) cost {
	b.Helper()
	c := cost{at: time.Now()}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		b.Fatalf("process %d: no threads: %v", pid, err)
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		if err != nil {
			continue
		}
		nanos, _, _ := strings.Cut(string(data), " ")
		c.processor += time.Duration(number(b, nanos))
	}
	io := fields(b, fmt.Sprintf("/proc/%d/io", pid))
	c.read = number(b, io["rchar"])
	c.written = number(b, io["wchar"])
	status := fields(b, fmt.Sprintf("/proc/%d/status", pid))
	c.resident = number(b, strings.TrimSuffix(status["VmRSS"], " kB")) * 1024
	return c
}

// fields reads a file of lines "name: value".
func fields(b *testing.B, path string) map[string]string {
	b.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	values := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		values[name] = strings.TrimSpace(value)
	}
	return values
}

func number(b *testing.B, text string) int64 {
	b.Helper()
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// rates is what processes of one role use on average.
type rates struct {
	corePercent float64
	readRate    float64
	writeRate   float64
	megabytes   float64
}

// ratesOf returns the mean use of processes between two readings of each.
func ratesOf(before, after []cost) rates {
	var r rates
	for i := range before {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		r.corePercent += 100 * (after[i].processor - before[i].processor).Seconds() / seconds
		r.readRate += float64(after[i].read-before[i].read) / seconds
		r.writeRate += float64(after[i].written-before[i].written) / seconds
		r.megabytes += float64(after[i].resident) / 1e6
	}
	n := float64(len(before))
	return rates{r.corePercent / n, r.readRate / n, r.writeRate / n, r.megabytes / n}
}

// report adds the use of a role to the benchmark's figures.
func (r rates) report(b *testing.B, role string) {
	b.ReportMetric(r.corePercent, role+"-%core")
	b.ReportMetric(r.readRate, role+"-readB/s")
	b.ReportMetric(r.writeRate, role+"-writeB/s")
	b.ReportMetric(r.megabytes, role+"-MB")
}
