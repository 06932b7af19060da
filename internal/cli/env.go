package cli

import (
	"fmt"
	"io"
)

// Env is what a run of the tool uses of its process.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

func (e *Env) printf(format string, args ...any) { fmt.Fprintf(e.Stdout, format, args...) }

func (e *Env) errorf(format string, args ...any) {
	fmt.Fprintf(e.Stderr, "rattantide: "+format+"\n", args...)
}
