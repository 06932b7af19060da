package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/standin/control"
)

// headerTimeout is the timeout for reading the header of a request.
const headerTimeout = 10 * time.Second

// serverFlags holds the flags that all stand-ins have.
type serverFlags struct {
	listen      string
	addressFile string
	logFile     string
}

func (f *serverFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "`address` to listen on; port 0 selects a free port")
	flags.StringVar(&f.addressFile, "address-file", "", "`file` to write the listen address to")
	flags.StringVar(&f.logFile, "log-file", "", "`file` to which executed calls are appended as JSON lines")
}

// executionLogger is a stand-in that logs the calls it executes.
type executionLogger interface{ Log() *control.Log }

// serve runs handler until ctx ends. It then stops immediately, without waiting
// for open requests, to simulate an instance that is reclaimed.
func (f *serverFlags) serve(ctx context.Context, kind string, handler http.Handler) subcommands.ExitStatus {
	if err := f.run(ctx, kind, handler); err != nil {
		fmt.Fprintln(os.Stderr, errors.ErrorStack(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (f *serverFlags) run(ctx context.Context, kind string, handler http.Handler) error {
	if logger, ok := handler.(executionLogger); ok && f.logFile != "" {
		file, err := os.OpenFile(f.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = file.Close() }()
		logger.Log().SetOutput(file)
	}
	socket, err := net.Listen("tcp", f.listen)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(socket) }()
	if err := f.publishAddress(kind, socket.Addr().String()); err != nil {
		_ = server.Close()
		return errors.Trace(err)
	}
	select {
	case err := <-serveErr:
		return errors.Trace(err)
	case <-ctx.Done():
		return errors.Trace(server.Close())
	}
}

// publishAddress prints the address as a JSON line and writes it to the address
// file. The file is renamed into place, so that a reader never finds it incomplete.
func (f *serverFlags) publishAddress(kind, address string) error {
	line, err := json.Marshal(map[string]string{"msg": "listening", "standin": kind, "address": address})
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Println(string(line))
	if f.addressFile == "" {
		return nil
	}
	tempFile, err := os.CreateTemp(filepath.Dir(f.addressFile), ".address-*")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.Remove(tempFile.Name()) }()
	if _, err := tempFile.WriteString(address); err != nil {
		_ = tempFile.Close()
		return errors.Trace(err)
	}
	if err := tempFile.Close(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(tempFile.Name(), f.addressFile))
}
