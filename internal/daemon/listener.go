package daemon

import (
	"net"
	"os"

	"github.com/juju/errors"

	"rattantide/internal/settings"
)

// listen opens the listener. It sets s.Advertise to the listener's address if
// it is empty, and writes it to the address file if one is configured.
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
	// The file is renamed into place, so a script that waits for it never reads
	// an incomplete address.
	temporary := s.AddressFile + ".tmp"
	if err := os.WriteFile(temporary, []byte(s.Advertise), 0o600); err != nil {
		return nil, errors.Annotate(err, "address-file")
	}
	return listener, errors.Annotate(os.Rename(temporary, s.AddressFile), "address-file")
}
