package upstreamstate

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Process identifies a process of an upstream. State never passes from one process to another.
type Process struct {
	Pool       string
	Name       string
	Address    string
	Version    string
	Generation int64
}

// identity distinguishes the processes of upstreams.
type identity struct {
	name, address string
	generation    int64
}

func (p *Process) identity() identity { return identity{p.Name, p.Address, p.Generation} }

// key identifies a process in messages by the lower keyBytes bytes of a hash. With 1,000
// upstreams, two of them have the same key with a probability of 3%; both are then left out of
// the exchange.
type key uint32

const keyBytes = 3

func (p *Process) key() key {
	h := xxhash.New()
	_, _ = h.WriteString(p.Name)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(p.Address)
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(p.Generation)))
	return key(h.Sum64() & (1<<(8*keyBytes) - 1))
}
