// Package tcplink simulates the network between clients and one server: a TCP proxy whose
// connections can be delayed, held, silenced, reset or refused.
package tcplink
