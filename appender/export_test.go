package appender

// Waiting returns the number of records that wait for their first send.
func Waiting(a *Appender) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting.records)
}
