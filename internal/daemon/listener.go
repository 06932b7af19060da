package daemon

import (
	"net"
	"os"

	"github.com/juju/errors"

	"rattantide/internal/settings"
)

// listen opens the listener and publishes its address.
func listen(s *settings.Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	if s.Advertise == "" {
		s.Advertise = listener.Addr().String()
	}
	if s.AddressFile == "" {
		return listener, nil
	}
	// The rename makes the file appear whole, so a script that waits for it
	// never reads a part.
	temporary := s.AddressFile + ".tmp"
	if err := os.WriteFile(temporary, []byte(s.Advertise), 0o600); err != nil {
		return nil, errors.Annotate(err, "address-file")
	}
	return listener, errors.Annotate(os.Rename(temporary, s.AddressFile), "address-file")
}
