package demo

import "io"

// Options are what a demo runs with.
type Options struct {
	// Bin is the directory with the programs rattantide, rattantided and
	// standin.
	Bin string
	// Stay leaves everything up until the context ends, on fixed ports.
	Stay bool
	// Out receives one line per feature, Err what went wrong.
	Out io.Writer
	Err io.Writer
}
