package api

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON as a Go duration string,
// such as "1.3s" or "55ms".
type Duration time.Duration

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String returns the duration as a Go duration string.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler. It rejects numbers, because their
// unit is ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration must be a string with a unit such as \"1.3s\", got %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q needs a number and a unit such as \"1.3s\"", text)
	}
	*d = Duration(parsed)
	return nil
}
