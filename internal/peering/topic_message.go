package peering

import "github.com/juju/errors"

const (
	// MaxPayloadBytes bounds the payload of a binary message, so that it fits in one packet of
	// a network with the usual maximum of 1,500 bytes.
	MaxPayloadBytes = 1200
	// topicMarker is the first byte of a binary message. A JSON message starts with '{'.
	topicMarker = 0x01
	// maxSenderBytes bounds the name and the process of a sender, each.
	maxSenderBytes = 64
)

// encodeTopicMessage encodes a binary message: the marker, the topic, the length and the text
// of the sender's name and of its process, and the payload.
func encodeTopicMessage(topic Topic, from Sender, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, errors.NotValidf("payload of %d bytes", len(payload))
	}
	datagram := make([]byte, 0, 4+len(from.Name)+len(from.Process)+len(payload))
	datagram = append(datagram, topicMarker, byte(topic))
	for _, text := range []string{from.Name, from.Process} {
		if len(text) > maxSenderBytes {
			return nil, errors.NotValidf("sender %q", text)
		}
		datagram = append(datagram, byte(len(text)))
		datagram = append(datagram, text...)
	}
	return append(datagram, payload...), nil
}

// isTopicMessage reports whether a datagram is a binary message.
func isTopicMessage(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == topicMarker }

// decodeTopicMessage decodes a binary message. The payload refers to the datagram.
func decodeTopicMessage(datagram []byte) (topic Topic, from Sender, payload []byte, err error) {
	if len(datagram) < 2 || !isTopicMessage(datagram) {
		return 0, Sender{}, nil, errors.NotValidf("binary message of %d bytes", len(datagram))
	}
	topic, rest := Topic(datagram[1]), datagram[2:]
	for _, text := range []*string{&from.Name, &from.Process} {
		if len(rest) == 0 || int(rest[0]) > maxSenderBytes || len(rest) <= int(rest[0]) {
			return 0, Sender{}, nil, errors.NotValidf("sender in a binary message")
		}
		length := int(rest[0])
		*text, rest = string(rest[1:1+length]), rest[1+length:]
	}
	if from.Name == "" || len(rest) > MaxPayloadBytes {
		return 0, Sender{}, nil, errors.NotValidf("binary message with a payload of %d bytes", len(rest))
	}
	return topic, from, rest, nil
}
