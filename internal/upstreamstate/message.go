package upstreamstate

import "github.com/juju/errors"

// messageKind is the first byte of a message. Its upper bits are the version of the format.
type messageKind byte

const (
	// kindObservations is what a daemon observed since its last message; the slowness of an
	// entry is the mean of the answers since then.
	kindObservations messageKind = 0x10
	// kindMerged is the state that a collector has merged; the slowness is its estimate from
	// all daemons.
	kindMerged messageKind = 0x11
)

// decodeMessage calls apply for each valid entry of a message and returns the number of
// invalid ones. What follows an entry that cannot be decoded counts as one.
func decodeMessage(payload []byte, apply func(messageKind, *entry)) (invalid int, err error) {
	if len(payload) == 0 {
		return 0, errors.NotValidf("empty message")
	}
	kind := messageKind(payload[0])
	if kind != kindObservations && kind != kindMerged {
		return 0, errors.NotValidf("message of kind %d", kind)
	}
	for rest := payload[1:]; len(rest) > 0; {
		e, isValid, next, err := decodeEntry(rest)
		if err != nil {
			return invalid + 1, nil
		}
		if isValid {
			apply(kind, &e)
		} else {
			invalid++
		}
		rest = next
	}
	return invalid, nil
}
