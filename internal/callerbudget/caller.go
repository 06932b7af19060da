package callerbudget

import "strings"

// Caller names whom a reservation is charged to. An empty field is not charged.
type Caller struct {
	// Address is the caller's IP address without the port.
	Address string
	// Workspace is the workspace of the caller's key.
	Workspace string
}

// AddressOf returns the address of a caller from the IP:PORT of its connection.
func AddressOf(remote string) string {
	if colon := strings.LastIndexByte(remote, ':'); colon >= 0 {
		return remote[:colon]
	}
	return remote
}
