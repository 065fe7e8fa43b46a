package apricotwinch

import "fmt"

// MillisPerProcessor is the number of processor millis in one processor.
const MillisPerProcessor = 1000

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	processorMillis int64
	memoryBytes     int64
	accelerators    int64
}

// NewResources returns an amount of processorMillis thousandths of a
// processor, memoryBytes bytes of memory and accelerators whole accelerators.
func NewResources(processorMillis, memoryBytes, accelerators int64) Resources {
	return Resources{processorMillis: processorMillis, memoryBytes: memoryBytes, accelerators: accelerators}
}

// ProcessorMillis returns the processors in thousandths.
func (r Resources) ProcessorMillis() int64 { return r.processorMillis }

// MemoryBytes returns the memory in bytes.
func (r Resources) MemoryBytes() int64 { return r.memoryBytes }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		processorMillis: r.processorMillis + o.processorMillis,
		memoryBytes:     r.memoryBytes + o.memoryBytes,
		accelerators:    r.accelerators + o.accelerators,
	}
}

// Sub returns r less o; a field of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		processorMillis: r.processorMillis - o.processorMillis,
		memoryBytes:     r.memoryBytes - o.memoryBytes,
		accelerators:    r.accelerators - o.accelerators,
	}
}

// WithoutProcessors returns r with no processors: what work that only fills sets
// aside.
func (r Resources) WithoutProcessors() Resources {
	r.processorMillis = 0
	return r
}

// Fits reports whether r is at most o in every field.
func (r Resources) Fits(o Resources) bool {
	return r.processorMillis <= o.processorMillis &&
		r.memoryBytes <= o.memoryBytes &&
		r.accelerators <= o.accelerators
}

// Negative reports whether a field of r is below zero.
func (r Resources) Negative() bool {
	return r.processorMillis < 0 || r.memoryBytes < 0 || r.accelerators < 0
}

// Zero reports whether every field of r is zero.
func (r Resources) Zero() bool { return r == Resources{} }

// String returns r in a form for logs.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dB/%da", r.processorMillis, r.memoryBytes, r.accelerators)
}
