package cli

import (
	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// The exit codes of the tool. ExitConflict means that an object changed since it
// was read, ExitMoveUndone that a version move was undone, and ExitUnavailable
// that the system could not be reached, did not confirm a change, or has not recorded
// the outcome of a move.
const (
	ExitOK          = subcommands.ExitStatus(0)
	ExitFailure     = subcommands.ExitStatus(1)
	ExitUsage       = subcommands.ExitStatus(2)
	ExitConflict    = subcommands.ExitStatus(3)
	ExitMoveUndone  = subcommands.ExitStatus(4)
	ExitUnavailable = subcommands.ExitStatus(5)
)

// ErrNoResponse is the type of the error returned when no daemon responded.
const ErrNoResponse = errors.ConstError("no daemon responded")

// ErrNoOutcome is the type of the error returned when the system responds but has
// not recorded the outcome of a move.
const ErrNoOutcome = errors.ConstError("no outcome is recorded")

// ErrUsage is the type of errors in the arguments of the tool.
const ErrUsage = errors.ConstError("usage")

// exitCode returns the exit code for err.
func exitCode(err error) subcommands.ExitStatus {
	var conflict *admin.Conflict
	var p *problem.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, ErrNoResponse), errors.Is(err, ErrNoOutcome):
		return ExitUnavailable
	case errors.As(err, &p) && isUnavailable(p):
		return ExitUnavailable
	}
	return ExitFailure
}

// isUnavailable reports whether p means that the daemon cannot serve the call at
// the moment.
func isUnavailable(p *problem.Problem) bool {
	return p.Code == problem.CodeObjectAPIUnavailable || p.Code == problem.CodeLeaving
}

// moreSevereCode returns the more severe of two exit codes, for commands in which
// several calls can fail.
func moreSevereCode(a, b subcommands.ExitStatus) subcommands.ExitStatus {
	rank := map[subcommands.ExitStatus]int{
		ExitOK: 0, ExitFailure: 1, ExitMoveUndone: 2, ExitConflict: 3, ExitUnavailable: 4, ExitUsage: 5,
	}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
