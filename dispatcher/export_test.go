package dispatcher

// Evacuated reports whether the entry evicts what runs in a data centre.
func (e *Entry) Evacuated(dataCentre string) bool { return e.members.out(dataCentre) }
