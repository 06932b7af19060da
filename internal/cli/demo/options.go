package demo

import "io"

// Options configures Run.
type Options struct {
	// Bin is the directory that contains the programs rattantide, rattantided
	// and standin.
	Bin string
	// Stay makes Run only apply the configuration and leave all processes running,
	// on fixed ports, until the context ends.
	Stay bool
	// Out receives one line per feature. Err is for error messages.
	Out io.Writer
	Err io.Writer
}
