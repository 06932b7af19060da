package cli

import (
	"fmt"
	"io"
)

// Env is the part of the process environment that the tool uses.
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
