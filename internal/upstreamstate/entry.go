package upstreamstate

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

const (
	// ageUnit is the resolution of ages in messages, and maxAge the largest age. It exceeds
	// the time between two messages; state that is older is not sent.
	ageUnit  = 16 * time.Millisecond
	ageBits  = 6
	maxAge   = (1<<ageBits - 1) * ageUnit
	ageMask  = 1<<ageBits - 1
	hasWait  = 1 << ageBits
	hasExtra = 1 << (ageBits + 1)
	// maxCount bounds the counts of an entry.
	maxCount = 1 << 20
	// maxEntryBytes is the size of an entry with all parts and the largest counts.
	maxEntryBytes = keyBytes + 2 + 3*3 + 1
)

// entry is the state of one process in a message: the key, the age and the presence of the
// optional parts in one byte, the pace and the number of running requests; then the number of
// waiting ones unless it is 0, and slots and slowness if hasExtra is set.
type entry struct {
	key              key
	age              time.Duration
	pace             ratioCode
	running, waiting int
	hasExtra         bool
	slots            int
	// slowness is how long work takes at the upstream at its usual pace, relative to its pool.
	slowness ratioCode
}

// append appends the encoded entry.
func (e *entry) append(dst []byte) []byte {
	// The age is rounded up, so that an entry never appears to be newer than it is.
	flags := byte(min((e.age+ageUnit-1)/ageUnit, ageMask))
	if e.waiting > 0 {
		flags |= hasWait
	}
	if e.hasExtra {
		flags |= hasExtra
	}
	dst = append(dst, byte(e.key), byte(e.key>>8), byte(e.key>>16), flags, byte(e.pace))
	dst = binary.AppendUvarint(dst, uint64(min(e.running, maxCount)))
	if e.waiting > 0 {
		dst = binary.AppendUvarint(dst, uint64(min(e.waiting, maxCount)))
	}
	if e.hasExtra {
		dst = binary.AppendUvarint(dst, uint64(min(e.slots, maxCount)))
		dst = append(dst, byte(e.slowness))
	}
	return dst
}

// decodeEntry decodes the first entry of data and returns the rest. An error means that the
// rest cannot be decoded either. An entry with values out of their range is not valid, but
// the next one can be decoded.
func decodeEntry(data []byte) (e entry, isValid bool, rest []byte, err error) {
	if len(data) < keyBytes+2 {
		return entry{}, false, nil, errors.NotValidf("entry of %d bytes", len(data))
	}
	e.key = key(data[0]) | key(data[1])<<8 | key(data[2])<<16
	flags := data[keyBytes]
	e.age = time.Duration(flags&ageMask) * ageUnit
	e.pace = ratioCode(data[keyBytes+1])
	rest, isValid = data[keyBytes+2:], e.pace != 0
	e.hasExtra = flags&hasExtra != 0
	counts := [...]struct {
		value     *int
		isPresent bool
	}{{&e.running, true}, {&e.waiting, flags&hasWait != 0}, {&e.slots, e.hasExtra}}
	for _, count := range counts {
		if !count.isPresent {
			continue
		}
		value, size := binary.Uvarint(rest)
		if size <= 0 {
			return entry{}, false, nil, errors.NotValidf("count in an entry")
		}
		isValid = isValid && value <= maxCount
		*count.value, rest = int(min(value, maxCount)), rest[size:]
	}
	if e.hasExtra {
		if len(rest) == 0 {
			return entry{}, false, nil, errors.NotValidf("entry without its last part")
		}
		e.slowness, rest = ratioCode(rest[0]), rest[1:]
	}
	return e, isValid, rest, nil
}
