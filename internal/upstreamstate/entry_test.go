package upstreamstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry that is changed on its way, or that appears to be newer than it is.
func TestEntryRoundTrip(t *testing.T) {
	for _, e := range []entry{
		{key: 0x010203, pace: 128, running: 3},
		{key: 0xfffefd, age: 5 * ageUnit, pace: 1, running: 300, waiting: 70000},
		{key: 1, age: maxAge, pace: 255, running: maxCount, waiting: maxCount, hasExtra: true, slots: maxCount, slowness: 200},
		{key: 2, pace: 130, hasExtra: true, slots: 16},
	} {
		encoded := e.append(nil)
		assert.Assert(t, len(encoded) <= maxEntryBytes)
		decoded, isValid, rest, err := decodeEntry(append(encoded, 0xaa))
		assert.NilError(t, err)
		assert.Assert(t, isValid)
		assert.Equal(t, decoded, e)
		assert.Equal(t, len(rest), 1)
	}
	late := entry{key: 1, age: ageUnit + 1, pace: 128}
	decoded, _, _, err := decodeEntry(late.append(nil))
	assert.NilError(t, err)
	assert.Equal(t, decoded.age, 2*ageUnit)
	old := entry{key: 1, age: time.Hour, pace: 128}
	decoded, _, _, err = decodeEntry(old.append(nil))
	assert.NilError(t, err)
	assert.Equal(t, decoded.age, maxAge)
}

// Guards against a typical entry that outgrows the bytes per second that the fleet allows.
func TestEntryIsSmall(t *testing.T) {
	e := entry{key: 1, age: time.Second / 4, pace: 140, running: 15, waiting: 2, hasExtra: true, slots: 16, slowness: 130}
	assert.Equal(t, len(e.append(nil)), 9)
	e = entry{key: 1, age: time.Second / 4, pace: 140, running: 15}
	assert.Equal(t, len(e.append(nil)), 6)
}

// Guards against an odd or huge entry that costs the entries beside it.
func TestInvalidEntryCostsOnlyItself(t *testing.T) {
	good := entry{key: 7, pace: 128, running: 1}
	message := []byte{byte(kindMerged)}
	message = good.append(message)
	message = append(message, 1, 0, 0, 0, 0, 5)                                 // Without pace.
	message = append(message, 1, 0, 0, 0, 128, 0xff, 0xff, 0xff, 1)             // Too many running requests.
	message = append(message, 1, 0, 0, hasWait, 128, 1, 0x80, 0x80, 0x80, 0x01) // Too many waiting ones.
	message = good.append(message)
	message = append(message, 1, 0)
	count := 0
	invalid, err := decodeMessage(message, func(_ messageKind, e *entry) {
		assert.Equal(t, *e, good)
		count++
	})
	assert.NilError(t, err)
	assert.Equal(t, count, 2)
	assert.Equal(t, invalid, 4)
	for _, message := range []string{"", "\x00", "\x12abc", "{}"} {
		_, err := decodeMessage([]byte(message), func(messageKind, *entry) { t.Fatal("entry") })
		assert.Assert(t, err != nil, "%q", message)
	}
}

// Guards against a ratio that is off by more than the resolution, or known although it is not.
func TestRatioCode(t *testing.T) {
	for ratio := 0.01; ratio < 100; ratio *= 1.07 {
		got := newRatioCode(ratio).ratio()
		assert.Assert(t, got > ratio*0.978 && got < ratio*1.0225, "%g became %g", ratio, got)
	}
	assert.Equal(t, newRatioCode(1).ratio(), 1.0)
	for _, unknown := range []float64{0, -1} {
		assert.Equal(t, newRatioCode(unknown).ratio(), 0.0)
	}
	assert.Assert(t, newRatioCode(1e300).ratio() < 300)
}
