package peering

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a payload that reaches the handler changed or under another sender.
func TestTopicMessageRoundTrip(t *testing.T) {
	payload := []byte{0, 1, 255}
	datagram, err := encodeTopicMessage(TopicFleetLoad, Sender{"front-a", "p1"}, payload)
	assert.NilError(t, err)
	topic, from, decoded, err := decodeTopicMessage(datagram)
	assert.NilError(t, err)
	assert.Equal(t, topic, TopicFleetLoad)
	assert.Equal(t, from, Sender{"front-a", "p1"})
	assert.DeepEqual(t, decoded, payload)
}

// Guards against a datagram that is cut off, or whose lengths are wrong, being read beyond its
// end or taken for a message of a daemon without a name.
func TestTopicMessageRejectsInvalidDatagrams(t *testing.T) {
	for name, datagram := range map[string]string{
		"empty":            "",
		"marker only":      "\x01",
		"no sender":        "\x01\x01",
		"name cut off":     "\x01\x01\x05abc",
		"no process":       "\x01\x01\x01a",
		"process cut off":  "\x01\x01\x01a\x02p",
		"unnamed sender":   "\x01\x01\x00\x01p",
		"name too long":    "\x01\x01\xff" + strings.Repeat("a", 300),
		"payload too long": "\x01\x01\x01a\x01p" + strings.Repeat("x", MaxPayloadBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := decodeTopicMessage([]byte(datagram))
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a payload that does not fit in one packet.
func TestTopicMessageBoundsPayload(t *testing.T) {
	_, err := encodeTopicMessage(TopicUpstreamState, Sender{"a", "p"}, make([]byte, MaxPayloadBytes+1))
	assert.Assert(t, err != nil)
}
