package server

import "rattantide/internal/journal"

// Location is where a record was found: exactly one field is set.
type Location struct {
	// Record was taken over and is held here now.
	Record *journal.Record
	// Holder is the address of the living daemon that holds it.
	Holder string
}
