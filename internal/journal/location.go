package journal

// Location is where a record was found: exactly one field is set.
type Location struct {
	// Record is held by this daemon.
	Record *Record
	// Holder is the address of the living daemon that holds it.
	Holder string
}
