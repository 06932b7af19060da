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

// headerTimeout bounds the time for a request's header.
const headerTimeout = 10 * time.Second

// listener holds the flags that all stand-ins have.
type listener struct {
	listen      string
	addressFile string
	logFile     string
}

func (l *listener) register(flags *flag.FlagSet) {
	flags.StringVar(&l.listen, "listen", "127.0.0.1:0", "`address` to listen on; port 0 takes a free port")
	flags.StringVar(&l.addressFile, "address-file", "", "`file` that receives the address listened on")
	flags.StringVar(&l.logFile, "log-file", "", "`file` to which executed calls are appended as JSON lines")
}

// logged is a stand-in that logs what it executes.
type logged interface{ Log() *control.Log }

// serve runs handler until ctx ends. A stand-in stops at once, as an instance
// that is taken away does.
func (l *listener) serve(ctx context.Context, kind string, handler http.Handler) subcommands.ExitStatus {
	if err := l.run(ctx, kind, handler); err != nil {
		fmt.Fprintln(os.Stderr, errors.ErrorStack(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (l *listener) run(ctx context.Context, kind string, handler http.Handler) error {
	if with, ok := handler.(logged); ok && l.logFile != "" {
		file, err := os.OpenFile(l.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = file.Close() }()
		with.Log().SetOutput(file)
	}
	socket, err := net.Listen("tcp", l.listen)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(socket) }()
	if err := l.announce(kind, socket.Addr().String()); err != nil {
		_ = server.Close()
		return errors.Trace(err)
	}
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
		return errors.Trace(server.Close())
	}
}

// announce prints the address and writes it to the address file, which appears
// with its full content.
func (l *listener) announce(kind, address string) error {
	line, err := json.Marshal(map[string]string{"msg": "listening", "standin": kind, "address": address})
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Println(string(line))
	if l.addressFile == "" {
		return nil
	}
	part, err := os.CreateTemp(filepath.Dir(l.addressFile), ".address-*")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.Remove(part.Name()) }()
	if _, err := part.WriteString(address); err != nil {
		_ = part.Close()
		return errors.Trace(err)
	}
	if err := part.Close(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(part.Name(), l.addressFile))
}
