package peering

// Topic identifies the component that owns a binary message.
type Topic byte

// The topics. Their numbers are part of the protocol between daemons.
const (
	// TopicUpstreamState is for the state of upstreams.
	TopicUpstreamState Topic = 1
	// TopicFleetLoad is for the demand and the capacity of the fleet.
	TopicFleetLoad Topic = 2
)

// Sender identifies the process that sent a binary message.
type Sender struct {
	Name    string
	Process string
}

// TopicHandler handles the payload of a binary message. It is called by the goroutine that
// receives messages and must return quickly. The payload is valid only during the call.
type TopicHandler func(from Sender, payload []byte)

// Subscribe makes handler receive the messages of a topic. It must be called before Run, at
// most once for each topic.
func (n *Node) Subscribe(topic Topic, handler TopicHandler) { n.topicHandlers[topic] = handler }

// Publish sends a payload of at most MaxPayloadBytes to the named daemons. Messages may be
// lost, repeated, late and out of order. Unknown names are ignored.
func (n *Node) Publish(topic Topic, payload []byte, names ...string) {
	datagram, err := encodeTopicMessage(topic, Sender{n.opts.Name, n.opts.Process}, payload)
	if err != nil {
		n.opts.Logger.Error("message of a topic could not be encoded", "topic", topic, "bytes", len(payload), "error", err)
		return
	}
	n.mu.Lock()
	ips := n.addressesOf(names...)
	n.mu.Unlock()
	for _, ip := range ips {
		n.write(ip, datagram)
	}
}

// handleTopicMessage passes a binary message to the handler of its topic.
func (n *Node) handleTopicMessage(datagram []byte) {
	topic, from, payload, err := decodeTopicMessage(datagram)
	if err != nil {
		n.opts.Scope.Counter("peer_bad_messages").Inc(1)
		return
	}
	handler := n.topicHandlers[topic]
	if handler == nil {
		n.opts.Scope.Counter("peer_unknown_topics").Inc(1)
		return
	}
	n.opts.Scope.Counter("peer_topic_bytes").Inc(int64(len(datagram)))
	handler(from, payload)
}
