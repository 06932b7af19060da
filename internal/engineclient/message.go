package engineclient

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Message is a message of a chat completion.
type Message struct {
	Role string `json:"role"`
	// Content is the text. When structured content is decoded, its text parts are
	// concatenated and parts of other types are dropped.
	Content string `json:"content"`
}

// UnmarshalJSON implements json.Unmarshaler. The content may be a string, null, a
// list of parts, or missing.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Trace(err)
	}
	*m = Message{Role: raw.Role}
	if len(raw.Content) == 0 || raw.Content[0] != '[' {
		if raw.Content == nil {
			return nil
		}
		return errors.Trace(json.Unmarshal(raw.Content, &m.Content))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return errors.Trace(err)
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}
