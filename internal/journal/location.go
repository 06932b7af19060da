package journal

// Location is where a record was found: either Record or Holder is set.
type Location struct {
	// Record is held by this daemon.
	Record *Record
	// Holder is the address of the living daemon that holds it.
	Holder string
	// Workspace is the record's, if Holder is set.
	Workspace string
}
