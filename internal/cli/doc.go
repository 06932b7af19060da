// Package cli has the sub-commands of the operators' tool: apply, get,
// describe, delete, move, status, explain, burn and drain.
package cli
