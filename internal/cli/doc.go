// Package cli implements the subcommands of rattantide, the operators' command
// line tool: apply, get, describe, delete, move, status, explain, logs, burn,
// drain and demo.
package cli
