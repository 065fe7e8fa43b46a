package messenger

import "apricotwinch"

// Value returns the amount in the core vocabulary.
func (r Resources) Value() apricotwinch.Resources {
	return apricotwinch.NewResources(int64(r.ProcessorMillis), int64(r.MemoryBytes), int64(r.Accelerators))
}

// FromResources returns an amount in the form of messages.
func FromResources(r apricotwinch.Resources) Resources {
	return Resources{
		ProcessorMillis: int(r.ProcessorMillis()),
		MemoryBytes:     int(r.MemoryBytes()),
		Accelerators:    int(r.Accelerators()),
	}
}
