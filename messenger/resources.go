package messenger

import "apricotwinch"

// Value converts r from its message form.
func (r Resources) Value() apricotwinch.Resources {
	return apricotwinch.NewResources(int64(r.ProcessorMillis), int64(r.MemoryBytes), int64(r.Accelerators))
}

// FromResources converts r to its message form.
func FromResources(r apricotwinch.Resources) Resources {
	return Resources{
		ProcessorMillis: int(r.ProcessorMillis()),
		MemoryBytes:     int(r.MemoryBytes()),
		Accelerators:    int(r.Accelerators()),
	}
}
