package apricotwinch

import "fmt"

// MillisPerProcessor is the number of thousandths, the unit of ProcessorMillis, in one processor.
const MillisPerProcessor = 1000

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	processorMillis int64
	memoryBytes     int64
	accelerators    int64
}

// NewResources returns the given amounts: processorMillis in thousandths of a processor,
// memoryBytes in bytes, accelerators in whole accelerators.
func NewResources(processorMillis, memoryBytes, accelerators int64) Resources {
	return Resources{processorMillis: processorMillis, memoryBytes: memoryBytes, accelerators: accelerators}
}

// ProcessorMillis returns the processors in thousandths of a processor.
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

// Sub returns r minus o; a field of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		processorMillis: r.processorMillis - o.processorMillis,
		memoryBytes:     r.memoryBytes - o.memoryBytes,
		accelerators:    r.accelerators - o.accelerators,
	}
}

// WithoutProcessors returns r with no processors. Best-effort work reserves this, since it runs
// only on idle processors.
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

// String returns r as text for logs, with the units m (thousandths of a processor), B and a.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dB/%da", r.processorMillis, r.memoryBytes, r.accelerators)
}
