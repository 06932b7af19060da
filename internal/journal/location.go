package journal

// Location is where a record is held. Either Record or Holder is set.
type Location struct {
	// Record is the record if this daemon holds it.
	Record *Record
	// Holder is the address of the live daemon that holds the record.
	Holder string
	// Workspace is the record's workspace, if Holder is set.
	Workspace string
}
