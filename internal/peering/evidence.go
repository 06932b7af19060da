package peering

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEvidence bounds the daemons that a response gives evidence of. They are chosen
	// at random, so that over several responses every daemon is included.
	maxEvidence = 96
	// maxEvidenceAge bounds the age of evidence that is passed on.
	maxEvidenceAge = 2 * time.Second
	// evidenceAgeUnit is the unit of the age in an encoded evidence.
	evidenceAgeUnit = 10 * time.Millisecond
	// evidenceBytes is the size of an encoded evidence: an IPv4 address, a hash of the
	// process, the flags, and the age in two bytes.
	evidenceBytes = 4 + 2 + 1 + 2
)

// The flags of an encoded evidence.
const (
	flagReady = 1 << iota
	flagLeaving
)

// evidence states that a process of a daemon was alive some time ago. Whoever receives
// it in a response may pass it on: ages add up, so that it never becomes newer.
type evidence struct {
	ip      netip.Addr
	process uint16
	ready   bool
	leaving bool
	age     time.Duration
}

// processHash shortens the identifier of a process. Two processes of one daemon may have
// the same hash; the readiness of the new one is then taken for that of the old one until
// its first own response.
func processHash(process string) uint16 { return uint16(xxhash.Sum64String(process)) }

// appendEvidence appends the encoded form of e to buf.
func appendEvidence(buf []byte, e evidence) []byte {
	ip := e.ip.As4()
	buf = append(buf, ip[:]...)
	buf = binary.BigEndian.AppendUint16(buf, e.process)
	flags := byte(0)
	if e.ready {
		flags |= flagReady
	}
	if e.leaving {
		flags |= flagLeaving
	}
	buf = append(buf, flags)
	// Rounding up keeps the evidence from becoming newer.
	return binary.BigEndian.AppendUint16(buf, uint16((e.age+evidenceAgeUnit-1)/evidenceAgeUnit))
}

// decodeEvidence calls fn for each evidence in data. It ignores an incomplete last one.
func decodeEvidence(data []byte, fn func(evidence)) {
	for len(data) >= evidenceBytes {
		flags := data[6]
		fn(evidence{
			ip: netip.AddrFrom4([4]byte(data[:4])), process: binary.BigEndian.Uint16(data[4:6]),
			ready: flags&flagReady != 0, leaving: flags&flagLeaving != 0,
			age: time.Duration(binary.BigEndian.Uint16(data[7:9])) * evidenceAgeUnit,
		})
		data = data[evidenceBytes:]
	}
}

// encodeEvidence returns evidence of daemons that were alive a short time ago. n.mu must
// be held.
func (n *Node) encodeEvidence(now time.Time) []byte {
	var buf []byte
	for _, i := range rand.Perm(len(n.requestOrder)) {
		p := n.peers[n.requestOrder[i]]
		age := now.Sub(p.confirmedAt)
		if !p.hasReport || p.confirmedAt.IsZero() || age < 0 || age > maxEvidenceAge || !p.addr.Is4() {
			continue
		}
		buf = appendEvidence(buf, evidence{ip: p.addr, process: p.process, ready: p.report.Ready, leaving: p.report.Leaving, age: age})
		if len(buf) >= maxEvidence*evidenceBytes {
			break
		}
	}
	return buf
}

// applyEvidence applies the evidence of a response whose request was sent at sentAt: a
// daemon that was alive some time before the response was so at most that time before
// sentAt. n.mu must be held.
func (n *Node) applyEvidence(data []byte, sentAt, now time.Time) {
	decodeEvidence(data, func(e evidence) {
		p := n.addPeer(e.ip.String())
		confirmedAt := sentAt.Add(-e.age)
		if p == nil || !confirmedAt.After(p.confirmedAt) {
			return
		}
		if !p.hasReport || p.process != e.process {
			// Only a response of the process itself shows how callers reach it.
			n.queueContact(p, now)
			return
		}
		p.confirmedAt = confirmedAt
		// A process that is leaving never stops leaving.
		p.report.Leaving = p.report.Leaving || e.leaving
		if confirmedAt.After(p.reportedAt) {
			p.report.Ready, p.reportedAt = e.ready, confirmedAt
		}
		n.updateAvailability(p, now)
	})
}
