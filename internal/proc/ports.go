package proc

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/juju/errors"
)

// firstFreePort and freePortCount are the ports that FreePorts chooses from. They are below those
// that outgoing connections get: another process could get such a one before the caller listens.
const (
	firstFreePort    = 15_000
	freePortCount    = 15_000
	freePortAttempts = 50
)

// FreePorts returns the first of count consecutive TCP ports that no process uses on an IP
// address; the empty address stands for all.
func FreePorts(ip string, count int) (int, error) {
	for range freePortAttempts {
		port := firstFreePort + rand.IntN(freePortCount)
		if areFree(ip, port, count) {
			return port, nil
		}
	}
	return 0, errors.Errorf("no range of %d free ports found in %d attempts", count, freePortAttempts)
}

// areFree reports whether count ports from the given one on can be listened on.
func areFree(ip string, port, count int) bool {
	for i := range count {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port+i)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
