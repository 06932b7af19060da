package cli

import (
	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// The exit codes of the tool.
const (
	ExitOK          = subcommands.ExitStatus(0)
	ExitFailure     = subcommands.ExitStatus(1)
	ExitUsage       = subcommands.ExitStatus(2)
	ExitConflict    = subcommands.ExitStatus(3)
	ExitMoveUndone  = subcommands.ExitStatus(4)
	ExitUnavailable = subcommands.ExitStatus(5)
)

// ErrNoAnswer means that no daemon answered.
const ErrNoAnswer = errors.ConstError("no daemon answered")

// ErrNoOutcome means that the system answers but cannot tell an outcome.
const ErrNoOutcome = errors.ConstError("no outcome is recorded")

// ErrUsage marks an error in how the tool was called.
const ErrUsage = errors.ConstError("usage")

// exitOf returns the exit code that tells what err means.
func exitOf(err error) subcommands.ExitStatus {
	var conflict *admin.Conflict
	var p *problem.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, ErrNoAnswer), errors.Is(err, ErrNoOutcome):
		return ExitUnavailable
	case errors.As(err, &p) && unavailable(p):
		return ExitUnavailable
	}
	return ExitFailure
}

func unavailable(p *problem.Problem) bool {
	return p.Code == problem.CodeObjectAPIUnavailable || p.Code == problem.CodeLeaving
}

// worse returns the exit code to report when several things failed.
func worse(a, b subcommands.ExitStatus) subcommands.ExitStatus {
	rank := map[subcommands.ExitStatus]int{
		ExitOK: 0, ExitFailure: 1, ExitMoveUndone: 2, ExitConflict: 3, ExitUnavailable: 4, ExitUsage: 5,
	}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
